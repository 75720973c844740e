#include "Log.h"

namespace Hornbeam {

void
StartLogging(char const* aProgram)
{
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aProgram);
}

}
