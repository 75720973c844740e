#pragma once

#include <LibCore/LibCore.h>
#include <span>

namespace Hornbeam {

struct OutlierSettings
{
  int failuresToEject{ 3 };
  Duration firstEjection{ 1s };
  Duration longestEjection{ 30s };
  /// At least this share of a pool stays, in percent, so that a pool that fails as a whole is not ejected whole.
  int floorPercent{ 50 };
};

/// One endpoint's recent failures as one front saw them.
struct OutlierState
{
  int failuresInARow{ 0 };
  int ejections{ 0 };
  MonotonicTime ejectedUntil{};
};

bool
IsEjected(OutlierState const& aState, MonotonicTime aNow);

void
OnCallSucceeded(OutlierState& aState);

/// Counts a failure and ejects the endpoint when the floor of its pool allows. The pool's states include this one.
/// True when it was ejected.
bool
OnCallFailed(OutlierState& aState,
             std::span<OutlierState const* const> aPool,
             OutlierSettings const& aSettings,
             MonotonicTime aNow);

}
