#pragma once

#include <LibTable/LibTable.h>

namespace Hornbeam {

enum class Phase
{
  /// Limited to the pool's cold limit.
  Cold,
  /// Its limit is being raised step by step.
  Ramping,
  Warm,
};

/// The calls to an endpoint that the fronts have completed since their last report.
struct WorkObservation
{
  int succeeded{ 0 };
  /// Connections refused or reset, and invalid or missing responses. Calls abandoned by a front do not count.
  int failed{ 0 };
  /// The sum over all successful calls.
  Duration totalLatency{ 0 };
};

/// The state of the endpoint as last known to a previous owner, relayed by the holders of its grants.
struct PhaseHint
{
  std::uint64_t incarnation{ 0 };
  int limit{ 0 };
};

/// The endpoint's own report, which may be out of date.
struct EndpointReport
{
  std::uint64_t incarnation{ 0 };
  int running{ 0 };
  int waiting{ 0 };
};

struct PhaseSettings
{
  /// The limit is raised only if the mean latency is at most this multiple of the baseline.
  double healthyLatencyRatio{ 1.5 };
  /// The endpoint becomes cold if the mean latency exceeds this multiple of the baseline.
  double coldLatencyRatio{ 4.0 };
  /// Minimum number of successful calls before the limit is raised. At least as many calls as the current limit are
  /// required.
  int minSuccessfulCalls{ 4 };
  /// Factor by which one step raises the limit.
  double rampFactor{ 1.5 };
  Duration minStepInterval{ 300ms };
  /// Number of calls over which the mean latency is computed.
  int sampleSize{ 3 };
};

/// The owner's estimate of one endpoint's capacity. Modified only by the functions below.
struct EndpointPhase
{
  Phase phase{ Phase::Cold };
  double limit{ 0 };
  /// Zero until a report or a hint has been received.
  std::uint64_t incarnation{ 0 };
  /// Moving average of the latency while warm; zero until measured.
  Duration baseline{ 0 };
  int successfulCalls{ 0 };
  int sampledCalls{ 0 };
  Duration sampledLatency{ 0 };
  MonotonicTime limitChangedAt{};
};

/// Processes the calls that the fronts observed. Any failure makes the endpoint cold immediately; its limit is raised
/// again only after enough successful calls.
void
OnWorkObserved(EndpointPhase& aPhase,
               WorkObservation const& aObservation,
               PoolRow const& aPool,
               PhaseSettings const& aSettings,
               MonotonicTime aNow);

/// Processes the endpoint's report. A changed incarnation means that the endpoint has restarted and is cold.
void
OnReport(EndpointPhase& aPhase, EndpointReport const& aReport, PoolRow const& aPool, MonotonicTime aNow);

/// Adopts the limit known to a previous owner, unless this owner has seen another incarnation of the endpoint.
void
OnHint(EndpointPhase& aPhase, PhaseHint const& aHint, PoolRow const& aPool, MonotonicTime aNow);

void
ResetToCold(EndpointPhase& aPhase, PoolRow const& aPool, MonotonicTime aNow);

/// Returns the maximum number of concurrent requests for the endpoint, within the limits of its pool.
int
LimitOf(EndpointPhase const& aPhase, PoolRow const& aPool);

}
