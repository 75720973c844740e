#include "Admission.h"
#include <algorithm>

namespace Hornbeam {

/// Each observation moves the mean by 1/8 and the deviation by 1/4 of the difference.
static constexpr int kMeanDivisor = 8;
static constexpr int kDeviationDivisor = 4;

void
ObserveService(ServiceEstimate& aEstimate, Duration aObserved)
{
  auto const difference = aObserved - aEstimate.mean;
  auto const distance = difference < Duration::zero() ? -difference : difference;
  aEstimate.mean += difference / kMeanDivisor;
  aEstimate.deviation += (distance - aEstimate.deviation) / kDeviationDivisor;
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
