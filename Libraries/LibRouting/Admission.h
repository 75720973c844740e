#pragma once

#include <LibCore/LibCore.h>
#include <span>

namespace Hornbeam {

/// Smoothed estimate of how long one stage takes at a pool.
struct ServiceEstimate
{
  Duration mean{ 0 };
  Duration deviation{ 0 };
};

/// Updates the estimate with one observed duration.
void
ObserveService(ServiceEstimate& aEstimate, Duration aObserved);

/// Admission's view of one remaining stage.
struct StageOutlook
{
  ServiceEstimate service;
  /// Requests queued for the pool at this front.
  int waiting{ 0 };
  /// Slots of the pool that this front holds.
  int slots{ 0 };
};

/// Predicts how long the remaining stages take: for each, its queueing time plus the mean service time and one
/// deviation as a margin.
Duration
PredictRemainingTime(std::span<StageOutlook const> aStages);

}
