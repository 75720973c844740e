#pragma once

#include <cstdint>
#include <exception>
#include <string_view>

namespace Hornbeam {

/// Logs and counts an exception that ended the action of an event source.
void
NoteException(std::string_view aSource, std::exception const& aException);

/// The number of exceptions that were caught since the process started.
std::uint64_t
CaughtExceptions();

/// Runs the action of an event. An exception ends this action only, not the process and the work of others in it.
/// Returns whether the action ran to its end.
template<typename Action>
bool
RunGuarded(std::string_view aSource, Action const& aAction)
{
  try {
    aAction();
    return true;
  } catch (std::exception const& exception) {
    NoteException(aSource, exception);
    return false;
  }
}

}
