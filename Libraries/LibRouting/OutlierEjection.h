#pragma once

#include <LibCore/LibCore.h>
#include <span>

namespace Hornbeam {

struct OutlierSettings
{
  int failuresToEject{ 3 };
  Duration initialEjection{ 1s };
  Duration maxEjection{ 30s };
  /// Minimum percentage of a pool that is not ejected, so that a failure of the whole pool does not eject all of it.
  int minRemainingPercent{ 50 };
};

/// Recent failures of one endpoint as observed by one front.
struct OutlierState
{
  int consecutiveFailures{ 0 };
  int ejections{ 0 };
  MonotonicTime ejectedUntil{};
};

bool
IsEjected(OutlierState const& aState, MonotonicTime aNow);

void
OnCallSucceeded(OutlierState& aState);

/// Records a failure. Ejects the endpoint after too many consecutive failures, unless too few endpoints of the pool
/// would remain. aPool includes aState. Returns whether the endpoint was ejected.
bool
OnCallFailed(OutlierState& aState,
             std::span<OutlierState const* const> aPool,
             OutlierSettings const& aSettings,
             MonotonicTime aNow);

}
