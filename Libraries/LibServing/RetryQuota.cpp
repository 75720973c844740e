#include "RetryQuota.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// Fraction of the slack that fronts use. The rest covers fronts that disagree about the number of fronts.
static constexpr double kSlackFraction = 0.7;

/// Slices per window. The evaluated window is one slice longer, because it slides.
static constexpr std::int64_t kSlicesPerWindow = RetryQuota::kSlices - 2;

static std::int64_t
SliceNumber(RetryRules const& aRules, MonotonicTime aNow)
{
  return aNow.time_since_epoch() / (aRules.window / kSlicesPerWindow);
}

static RetryQuota::Slice&
CurrentSlice(RetryQuota& aQuota, std::int64_t aNumber)
{
  auto& slice = aQuota.slices[std::size_t(aNumber) % RetryQuota::kSlices];
  if (slice.number != aNumber)
    slice = { aNumber, 0, 0 };
  return slice;
}

void
CountRequest(RetryQuota& aQuota, RetryRules const& aRules, MonotonicTime aNow)
{
  ++CurrentSlice(aQuota, SliceNumber(aRules, aNow)).requests;
}

bool
TakeRetry(RetryQuota& aQuota, RetryRules const& aRules, std::size_t aFronts, MonotonicTime aNow)
{
  auto const number = SliceNumber(aRules, aNow);
  double requests = 0;
  double retries = 0;
  for (auto const& slice : aQuota.slices) {
    auto const age = number - slice.number;
    if (slice.number < 0 || age > kSlicesPerWindow)
      continue;
    retries += slice.retries;
    // The oldest slice is partly outside the window.
    if (age < kSlicesPerWindow)
      requests += slice.requests;
  }
  double const slack = kSlackFraction * aRules.slack / double(std::max<std::size_t>(1, aFronts));
  if (retries + 1 > aRules.ratio * requests + slack)
    return false;
  ++CurrentSlice(aQuota, number).retries;
  return true;
}

}
