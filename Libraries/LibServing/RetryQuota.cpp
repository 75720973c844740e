#include "RetryQuota.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// The part of the slack that fronts hand out; the rest covers fronts that count each other differently.
static constexpr double kSlackPart = 0.7;

/// Slices of a window; the window looked back over is one slice longer, as it slides.
static constexpr std::int64_t kSlicesPerWindow = RetryQuota::kSlices - 2;

static std::int64_t
SliceNumber(RetryRules const& aRules, MonotonicTime aNow)
{
  return aNow.time_since_epoch() / (aRules.window / kSlicesPerWindow);
}

static RetryQuota::Slice&
CurrentSlice(RetryQuota& aShare, std::int64_t aNumber)
{
  auto& slice = aShare.slices[std::size_t(aNumber) % RetryQuota::kSlices];
  if (slice.number != aNumber)
    slice = { aNumber, 0, 0 };
  return slice;
}

void
CountRequest(RetryQuota& aShare, RetryRules const& aRules, MonotonicTime aNow)
{
  ++CurrentSlice(aShare, SliceNumber(aRules, aNow)).requests;
}

bool
TakeRetry(RetryQuota& aShare, RetryRules const& aRules, std::size_t aFronts, MonotonicTime aNow)
{
  auto const number = SliceNumber(aRules, aNow);
  double requests = 0;
  double repeats = 0;
  for (auto const& slice : aShare.slices) {
    auto const age = number - slice.number;
    if (slice.number < 0 || age > kSlicesPerWindow)
      continue;
    repeats += slice.repeats;
    // The oldest slice lies partly outside of the window.
    if (age < kSlicesPerWindow)
      requests += slice.requests;
  }
  double const slack = kSlackPart * aRules.slack / double(std::max<std::size_t>(1, aFronts));
  if (repeats + 1 > aRules.ratio * requests + slack)
    return false;
  ++CurrentSlice(aShare, number).repeats;
  return true;
}

}
