#pragma once

#include <cstdlib>
#include <glog/logging.h>

/// Stops the process when an invariant is broken. Anything that input can cause is an outcome value instead.
#define VERIFY(condition) CHECK(condition)

namespace Hornbeam {

/// Stops the process at a place that cannot be reached while the invariants hold.
[[noreturn]] inline void
VerifyNotReached()
{
  LOG(FATAL) << "a place was reached that the invariants rule out";
  std::abort();
}

}
