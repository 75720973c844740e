#pragma once

#include <LibCore/LibCore.h>
#include <array>
#include <cstdint>

namespace Hornbeam::Gateway {

/// The platform's limit on retries of a service over all fronts.
struct RetryRules
{
  /// Retries per request.
  double ratio{ 0.2 };
  /// Retries beyond the ratio, over all fronts.
  double slack{ 0 };
  Duration window{ 10s };
};

/// This front's portion of a service's retry budget: the ratio of its own requests, plus an equal portion of the slack.
/// If endpoints fail under load, unlimited retries would multiply that load.
struct RetryQuota
{
  static constexpr std::size_t kSlices = 16;

  struct Slice
  {
    std::int64_t number{ -1 };
    std::uint32_t requests{ 0 };
    std::uint32_t retries{ 0 };
  };
  std::array<Slice, kSlices> slices;
};

void
CountRequest(RetryQuota& aQuota, RetryRules const& aRules, MonotonicTime aNow);

/// Takes one retry from the quota; returns false if the quota is exhausted. aFronts is the number of fronts among which
/// the slack is divided.
bool
TakeRetry(RetryQuota& aQuota, RetryRules const& aRules, std::size_t aFronts, MonotonicTime aNow);

}
