#include "Admission.h"
#include <algorithm>

namespace Hornbeam {

/// One observation moves the mean by one eighth and the deviation by one quarter of the difference.
static constexpr int kMeanShare = 8;
static constexpr int kDeviationShare = 4;

void
ObserveService(ServiceEstimate& aEstimate, Duration aObserved)
{
  auto const difference = aObserved - aEstimate.mean;
  auto const distance = difference < Duration::zero() ? -difference : difference;
  aEstimate.mean += difference / kMeanShare;
  aEstimate.deviation += (distance - aEstimate.deviation) / kDeviationShare;
}

Duration
PredictRemainingTime(std::span<StageOutlook const> aStages)
{
  Duration sum{ 0 };
  for (auto const& stage : aStages) {
    auto const queue = stage.service.mean * stage.waiting / std::max(1, stage.slots);
    sum += queue + stage.service.mean + stage.service.deviation;
  }
  return sum;
}

}
