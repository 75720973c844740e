#pragma once

#include <cstdlib>
#include <glog/logging.h>

/// Aborts the process if an invariant is violated. Conditions that input can cause are reported as return values
/// instead.
#define VERIFY(condition) CHECK(condition)

namespace Hornbeam {

/// Aborts the process at a point that is unreachable while the invariants hold.
[[noreturn]] inline void
VerifyNotReached()
{
  LOG(FATAL) << "unreachable code was reached: an invariant is violated";
  std::abort();
}

}
