#pragma once

#include <string>

namespace Hornbeam {

/// Why an operation that returned an empty std::optional failed.
enum class ReasonCode
{
  None,
  InvalidInput,
  NotFound,
  Conflict,
  Unavailable,
  Timeout,
  Denied,
};

/// The last reason that accompanies an empty std::optional. Detail is one sentence for people.
struct LastReason
{
  ReasonCode code{ ReasonCode::None };
  std::string detail;
};

}
