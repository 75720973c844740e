#pragma once

#include <LibCore/LibCore.h>
#include <span>

namespace Hornbeam {

/// A running estimate of how long one stage takes at a pool.
struct ServiceEstimate
{
  Duration mean{ 0 };
  Duration deviation{ 0 };
};

/// Takes in one observed duration.
void
ObserveService(ServiceEstimate& aEstimate, Duration aObserved);

/// What admission knows of one stage that is still to come.
struct StageOutlook
{
  ServiceEstimate service;
  /// Requests that wait for the pool here.
  int waiting{ 0 };
  /// Slots of the pool that this front holds.
  int slots{ 0 };
};

/// The time that the remaining stages need: each one's queue and its service with one deviation of margin.
Duration
PredictRemainingTime(std::span<StageOutlook const> aStages);

}
