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

/// Explains an empty std::optional. The detail is one human-readable sentence.
struct LastReason
{
  ReasonCode code{ ReasonCode::None };
  std::string detail;
};

}
