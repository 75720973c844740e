#pragma once

#include <LibCore/LibCore.h>
#include <array>
#include <cstdint>

namespace Hornbeam::Gateway {

/// The bound on repeats of a service over all fronts, from the platform's rules.
struct RetryRules
{
  /// Repeats for each request.
  double ratio{ 0.2 };
  /// Repeats beyond the ratio, over all fronts.
  double slack{ 0 };
  Duration window{ 10s };
};

/// This front's part of a service's retry budget: the ratio of its own requests, and an equal share of the slack. The
/// pattern it answers: endpoints that fail under load, where retries without a bound multiply that load.
struct RetryQuota
{
  static constexpr std::size_t kSlices = 16;

  struct Slice
  {
    std::int64_t number{ -1 };
    std::uint32_t requests{ 0 };
    std::uint32_t repeats{ 0 };
  };
  std::array<Slice, kSlices> slices;
};

void
CountRequest(RetryQuota& aShare, RetryRules const& aRules, MonotonicTime aNow);

/// Takes one repeat out of the share; false when it is spent. aFronts is the number of fronts that share the slack.
bool
TakeRetry(RetryQuota& aShare, RetryRules const& aRules, std::size_t aFronts, MonotonicTime aNow);

}
