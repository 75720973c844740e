#include "Guard.h"
#include "Log.h"

namespace Hornbeam {

// One loop on one thread runs all actions.
static std::uint64_t caught = 0;

void
NoteException(std::string_view aSource, std::exception const& aException)
{
  ++caught;
  LOG(ERROR) << "front: event=exception source=" << aSource << " what=\"" << aException.what() << "\"";
}

std::uint64_t
CaughtExceptions()
{
  return caught;
}

}
