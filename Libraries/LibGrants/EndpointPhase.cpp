#include "EndpointPhase.h"
#include <algorithm>
#include <cmath>

namespace Hornbeam {

/// Weight of a new mean latency in the moving average of the baseline.
static constexpr double kBaselineWeight = 0.05;

void
ResetToCold(EndpointPhase& aPhase, PoolRow const& aPool, MonotonicTime aNow)
{
  aPhase.phase = Phase::Cold;
  aPhase.limit = aPool.coldLimit;
  aPhase.successfulCalls = 0;
  aPhase.sampledCalls = 0;
  aPhase.sampledLatency = Duration::zero();
  aPhase.limitChangedAt = aNow;
}

int
LimitOf(EndpointPhase const& aPhase, PoolRow const& aPool)
{
  if (aPhase.phase == Phase::Cold)
    return aPool.coldLimit;
  int const limit = static_cast<int>(std::floor(aPhase.limit));
  return std::clamp(limit, aPool.coldLimit, aPool.warmLimit);
}

/// The reference latency: the measured baseline, but at least the service time configured by the operators.
static Duration
BaselineOf(EndpointPhase const& aPhase, PoolRow const& aPool)
{
  return std::max(aPhase.baseline, aPool.expectedServiceTime);
}

static void
RaiseLimitIfDue(EndpointPhase& aPhase, PoolRow const& aPool, PhaseSettings const& aSettings, MonotonicTime aNow)
{
  int const needed = std::max(aSettings.minSuccessfulCalls, LimitOf(aPhase, aPool));
  if (aPhase.successfulCalls < needed || aNow - aPhase.limitChangedAt < aSettings.minStepInterval)
    return;
  aPhase.limit = std::max(aPhase.limit * aSettings.rampFactor, aPhase.limit + 1);
  aPhase.successfulCalls = 0;
  aPhase.limitChangedAt = aNow;
  aPhase.phase = aPhase.limit >= aPool.warmLimit ? Phase::Warm : Phase::Ramping;
  aPhase.limit = std::min<double>(aPhase.limit, aPool.warmLimit);
}

static void
EvaluateLatency(EndpointPhase& aPhase,
                Duration aMean,
                int aCalls,
                PoolRow const& aPool,
                PhaseSettings const& aSettings,
                MonotonicTime aNow)
{
  auto const baseline = BaselineOf(aPhase, aPool);
  double const ratio = static_cast<double>(aMean.count()) / static_cast<double>(baseline.count());
  if (ratio > aSettings.coldLatencyRatio) {
    if (aPhase.phase != Phase::Cold)
      ResetToCold(aPhase, aPool, aNow);
    aPhase.successfulCalls = 0;
    return;
  }
  // Hysteresis: between the two ratios, the limit is left unchanged.
  if (ratio > aSettings.healthyLatencyRatio)
    return;
  aPhase.successfulCalls += aCalls;
  if (aPhase.phase == Phase::Warm) {
    auto const mean = static_cast<double>(aMean.count());
    auto const old = static_cast<double>(baseline.count());
    aPhase.baseline = Duration(std::llround(old + kBaselineWeight * (mean - old)));
    return;
  }
  RaiseLimitIfDue(aPhase, aPool, aSettings, aNow);
}

void
OnWorkObserved(EndpointPhase& aPhase,
               WorkObservation const& aObservation,
               PoolRow const& aPool,
               PhaseSettings const& aSettings,
               MonotonicTime aNow)
{
  if (aObservation.failed > 0) {
    ResetToCold(aPhase, aPool, aNow);
    return;
  }
  aPhase.sampledCalls += aObservation.succeeded;
  aPhase.sampledLatency += aObservation.totalLatency;
  if (aPhase.sampledCalls < aSettings.sampleSize)
    return;
  int const calls = aPhase.sampledCalls;
  auto const mean = aPhase.sampledLatency / calls;
  aPhase.sampledCalls = 0;
  aPhase.sampledLatency = Duration::zero();
  EvaluateLatency(aPhase, mean, calls, aPool, aSettings, aNow);
}

void
OnReport(EndpointPhase& aPhase, EndpointReport const& aReport, PoolRow const& aPool, MonotonicTime aNow)
{
  bool const restarted = aPhase.incarnation != 0 && aReport.incarnation != aPhase.incarnation;
  aPhase.incarnation = aReport.incarnation;
  if (restarted)
    ResetToCold(aPhase, aPool, aNow);
}

void
OnHint(EndpointPhase& aPhase, PhaseHint const& aHint, PoolRow const& aPool, MonotonicTime aNow)
{
  bool const isOtherIncarnation = aPhase.incarnation != 0 && aPhase.incarnation != aHint.incarnation;
  if (aHint.incarnation == 0 || isOtherIncarnation || aHint.limit <= LimitOf(aPhase, aPool))
    return;
  aPhase.incarnation = aHint.incarnation;
  aPhase.limit = std::min(aHint.limit, aPool.warmLimit);
  aPhase.phase = aPhase.limit >= aPool.warmLimit ? Phase::Warm : Phase::Ramping;
  aPhase.limitChangedAt = aNow;
}

}
