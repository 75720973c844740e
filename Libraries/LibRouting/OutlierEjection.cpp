#include "OutlierEjection.h"
#include <algorithm>

namespace Hornbeam {

static constexpr int kMostDoublings = 10;

bool
IsEjected(OutlierState const& aState, MonotonicTime aNow)
{
  return aNow < aState.ejectedUntil;
}

void
OnCallSucceeded(OutlierState& aState)
{
  aState.failuresInARow = 0;
  aState.ejections = std::max(0, aState.ejections - 1);
}

bool
OnCallFailed(OutlierState& aState,
             std::span<OutlierState const* const> aPool,
             OutlierSettings const& aSettings,
             MonotonicTime aNow)
{
  ++aState.failuresInARow;
  if (aState.failuresInARow < aSettings.failuresToEject || IsEjected(aState, aNow))
    return false;
  auto const ejected = std::ranges::count_if(aPool, [&](auto const* aOther) { return IsEjected(*aOther, aNow); });
  auto const staying = static_cast<std::int64_t>(aPool.size()) - ejected - 1;
  if (staying * 100 < static_cast<std::int64_t>(aPool.size()) * aSettings.floorPercent)
    return false;
  int const doublings = std::min(aState.ejections, kMostDoublings);
  auto const duration = std::min<Duration>(aSettings.firstEjection * (1 << doublings), aSettings.longestEjection);
  aState.ejectedUntil = aNow + duration;
  aState.failuresInARow = 0;
  ++aState.ejections;
  return true;
}

}
