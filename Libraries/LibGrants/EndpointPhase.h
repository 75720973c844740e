#pragma once

#include <LibTable/LibTable.h>

namespace Hornbeam {

enum class Phase
{
  /// Takes no more than the pool's cold limit.
  Cold,
  /// Its limit is being raised step by step.
  Ramping,
  Warm,
};

/// What the fronts saw of an endpoint's work since they last reported.
struct WorkObservation
{
  int succeeded{ 0 };
  /// Connections refused or reset, wrong or missing answers. A call that a front abandoned is no failure.
  int failed{ 0 };
  /// The sum over the succeeded calls.
  Duration totalLatency{ 0 };
};

/// What an earlier owner knew of the endpoint, carried by the holders of its grants.
struct PhaseHint
{
  std::uint64_t incarnation{ 0 };
  int limit{ 0 };
};

/// The endpoint's own report. It lags.
struct EndpointReport
{
  std::uint64_t incarnation{ 0 };
  int running{ 0 };
  int waiting{ 0 };
};

struct PhaseSettings
{
  /// Mean latency up to this many times the baseline lets the limit rise.
  double healthyLatencyRatio{ 1.5 };
  /// Mean latency above this many times the baseline makes the endpoint cold.
  double coldLatencyRatio{ 4.0 };
  /// Calls that must succeed at one limit before it is raised; at least the limit itself.
  int leastEvidence{ 4 };
  /// Factor of one step up.
  double rampFactor{ 1.5 };
  Duration leastStepTime{ 300ms };
  /// Calls over which a mean latency is judged.
  int judgedCalls{ 3 };
};

/// How much one endpoint can take, as its owner believes. Only the functions below change it.
struct EndpointPhase
{
  Phase phase{ Phase::Cold };
  double limit{ 0 };
  /// Zero until a report or a hint tells it.
  std::uint64_t incarnation{ 0 };
  /// The usual latency while warm; zero until it is known.
  Duration baseline{ 0 };
  int evidence{ 0 };
  int judged{ 0 };
  Duration judgedLatency{ 0 };
  MonotonicTime steppedAt{};
};

/// Takes in what the fronts saw. Any failure makes the endpoint cold at once; warmth returns only by evidence.
void
OnWorkObserved(EndpointPhase& aPhase,
               WorkObservation const& aObservation,
               PoolRow const& aPool,
               PhaseSettings const& aSettings,
               MonotonicTime aNow);

/// Takes in the endpoint's report: another incarnation is a restart and so cold.
void
OnReport(EndpointPhase& aPhase, EndpointReport const& aReport, PoolRow const& aPool, MonotonicTime aNow);

/// Takes over what an earlier owner knew, unless this owner has seen the endpoint in another incarnation.
void
OnHint(EndpointPhase& aPhase, PhaseHint const& aHint, PoolRow const& aPool, MonotonicTime aNow);

void
MakeCold(EndpointPhase& aPhase, PoolRow const& aPool, MonotonicTime aNow);

/// The number of concurrent requests that the endpoint may get, within the pool's row of the table.
int
LimitOf(EndpointPhase const& aPhase, PoolRow const& aPool);

}
