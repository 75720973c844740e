#include "OutlierEjection.h"
#include <algorithm>

namespace Hornbeam {

static constexpr int kMaxDoublings = 10;

bool
IsEjected(OutlierState const& aState, MonotonicTime aNow)
{
  return aNow < aState.ejectedUntil;
}

void
OnCallSucceeded(OutlierState& aState)
{
  aState.consecutiveFailures = 0;
  aState.ejections = std::max(0, aState.ejections - 1);
}

bool
OnCallFailed(OutlierState& aState,
             std::span<OutlierState const* const> aPool,
             OutlierSettings const& aSettings,
             MonotonicTime aNow)
{
  ++aState.consecutiveFailures;
  if (aState.consecutiveFailures < aSettings.failuresToEject || IsEjected(aState, aNow))
    return false;
  auto const ejected = std::ranges::count_if(aPool, [&](auto const* aOther) { return IsEjected(*aOther, aNow); });
  auto const remaining = static_cast<std::int64_t>(aPool.size()) - ejected - 1;
  if (remaining * 100 < static_cast<std::int64_t>(aPool.size()) * aSettings.minRemainingPercent)
    return false;
  int const doublings = std::min(aState.ejections, kMaxDoublings);
  auto const duration = std::min<Duration>(aSettings.initialEjection * (1 << doublings), aSettings.maxEjection);
  aState.ejectedUntil = aNow + duration;
  aState.consecutiveFailures = 0;
  ++aState.ejections;
  return true;
}

}
