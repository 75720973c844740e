#include "StopPlan.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// Number of requests that an estimate is based on; a longer memory would keep the times of an overload.
static constexpr std::size_t kRememberedRequests = 64;
/// Bounds the memory for routes that the table does not have any more.
static constexpr std::size_t kMaxRoutes = 1024;
/// With fewer requests, the estimate is a multiple of the route's target latency.
static constexpr std::size_t kMinRequestsForEstimate = 8;
static constexpr unsigned kTargetLatencyFactor = 2;
/// Safety factor above the longest of the remembered requests.
static constexpr double kEstimateFactor = 1.25;
/// The platform counts a stop from the signal, the front from when it handles it. It excuses what an endpoint still
/// computes at the end only for requests sent up to 3 s after the signal.
static constexpr Duration kEstimatePeriod = 2500ms;
/// Until then, the directories of the other fronts no longer name this one.
static constexpr Duration kDeregistrationTime = 300ms;
/// Time for the last responses to reach their callers, and for a busy machine to end the process.
static constexpr Duration kClosingTime = 400ms;
static constexpr Duration kExitMargin = 300ms;
/// Most other fronts can serve the request at once.
static constexpr Duration kRetryElsewhere = 100ms;
/// By then, the caller has a directory response that does not name the fronts that are stopping.
static constexpr Duration kRetryWithNewAddress = 700ms;
/// A front that was started again serves after about this time.
static constexpr Duration kRetryAfterRestart = 1s;

static void
Remember(std::deque<Duration>& aDurations, Duration aDuration)
{
  aDurations.push_back(aDuration);
  if (aDurations.size() > kRememberedRequests)
    aDurations.pop_front();
}

void
RecordDurations(DurationHistory& aHistory, std::string const& aRoute, Duration aWhole, Duration aAnswering)
{
  if (aHistory.size() >= kMaxRoutes && !aHistory.contains(aRoute))
    aHistory.clear();
  auto& durations = aHistory[aRoute];
  Remember(durations.whole, aWhole);
  Remember(durations.answering, aAnswering);
}

/// The durations of enough requests of the route for an estimate; null if there are too few.
static RouteDurations const*
FindDurations(DurationHistory const& aHistory, RemainingWork const& aWork)
{
  auto const found = aHistory.find(aWork.route);
  bool const enough = found != aHistory.end() && found->second.whole.size() >= kMinRequestsForEstimate;
  return enough ? &found->second : nullptr;
}

static Duration
Estimate(DurationHistory const& aHistory, RemainingWork const& aWork, std::deque<Duration> RouteDurations::*aPart)
{
  auto const* const durations = FindDurations(aHistory, aWork);
  if (durations == nullptr)
    return aWork.targetLatency * kTargetLatencyFactor;
  return FromSeconds(Seconds(*std::ranges::max_element(durations->*aPart)) * kEstimateFactor);
}

Duration
EstimateWhole(DurationHistory const& aHistory, RemainingWork const& aWork)
{
  return Estimate(aHistory, aWork, &RouteDurations::whole);
}

Duration
EstimateAnswering(DurationHistory const& aHistory, RemainingWork const& aWork)
{
  return Estimate(aHistory, aWork, &RouteDurations::answering);
}

StopPlan
PlanStop(Duration aGraceTime, Duration aAddressLifetime, MonotonicTime aNow)
{
  auto const available = std::max<Duration>(Duration::zero(), aGraceTime - kExitMargin);
  auto const forRequests = std::max<Duration>(Duration::zero(), available - kClosingTime);
  StopPlan plan;
  plan.began = aNow;
  plan.requestsEnd = aNow + forRequests;
  plan.processEnd = aNow + available;
  plan.estimatesUntil = std::min(aNow + kEstimatePeriod, plan.requestsEnd);
  plan.callersGone = std::min(aNow + aAddressLifetime + kDeregistrationTime, plan.requestsEnd);
  return plan;
}

Duration
EstimateDuringStop(StopPlan const& aPlan,
                   DurationHistory const& aHistory,
                   RemainingWork const& aWork,
                   Duration aOldest,
                   MonotonicTime aNow)
{
  bool const excused = aNow < aPlan.estimatesUntil;
  if (excused || FindDurations(aHistory, aWork) != nullptr)
    return std::max<Duration>(EstimateWhole(aHistory, aWork), FromSeconds(Seconds(aOldest) * kEstimateFactor));
  return aWork.deadline - aNow;
}

bool
AcceptsDuringStop(StopPlan const& aPlan,
                  RemainingWork const& aWork,
                  Duration aNeeded,
                  OtherFronts aOthers,
                  MonotonicTime aNow)
{
  if (aWork.deadline <= aPlan.requestsEnd)
    return true;
  if (aNow < aPlan.estimatesUntil)
    return aNow + aNeeded <= aPlan.requestsEnd;
  return aOthers == OtherFronts::None && aNow + 2 * aNeeded <= aPlan.requestsEnd;
}

bool
CanFinishBeforeStop(StopPlan const& aPlan, RemainingWork const& aWork, Duration aNeeded, MonotonicTime aNow)
{
  return aWork.deadline <= aPlan.requestsEnd || aNow + aNeeded <= aPlan.requestsEnd;
}

Duration
RetryAfterDuringStop(OtherFronts aOthers)
{
  switch (aOthers) {
    case OtherFronts::None:
      return kRetryAfterRestart;
    case OtherFronts::Few:
      return kRetryWithNewAddress;
    case OtherFronts::Most:
      return kRetryElsewhere;
  }
  VerifyNotReached();
}

StopStep
NextStopStep(StopPlan const& aPlan, StopProgress const& aProgress, MonotonicTime aNow)
{
  if (aProgress.step == StopStep::EndProcess || aNow >= aPlan.processEnd)
    return StopStep::EndProcess;
  if (aProgress.step == StopStep::CloseConnections)
    return aProgress.connections == 0 ? StopStep::EndProcess : StopStep::CloseConnections;
  if (aNow >= aPlan.requestsEnd)
    return StopStep::CloseConnections;
  bool const busy = aProgress.requests > 0 || aProgress.hasForeignWork;
  return busy || aNow < aPlan.callersGone ? StopStep::Serve : StopStep::CloseConnections;
}

}
