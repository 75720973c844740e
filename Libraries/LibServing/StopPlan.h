#pragma once

#include "FrontSet.h"
#include <deque>
#include <string>
#include <unordered_map>

namespace Hornbeam::Gateway {

/// How long the latest requests of one route took.
struct RouteDurations
{
  /// From the first byte of the request to the end of its response.
  std::deque<Duration> whole;
  /// From sending the last attempt to the end of the response.
  std::deque<Duration> answering;
};

/// Durations by the name of the route.
using DurationHistory = std::unordered_map<std::string, RouteDurations>;

/// Records a completed request. The number of routes is bounded: a new one may take the place of all others.
void
RecordDurations(DurationHistory& aHistory, std::string const& aRoute, Duration aWhole, Duration aAnswering);

/// What is known about the rest of a request.
struct RemainingWork
{
  std::string const& route;
  Duration targetLatency{ 0 };
  /// When the request ends at the latest, with whatever outcome.
  MonotonicTime deadline{};
};

/// Upper estimate of the time from reading a request to the end of its response, from recent ones of its route.
Duration
EstimateWhole(DurationHistory const& aHistory, RemainingWork const& aWork);

/// Upper estimate of the time from sending a request to an endpoint to the end of the response.
Duration
EstimateAnswering(DurationHistory const& aHistory, RemainingWork const& aWork);

/// The times that bound a planned stop.
struct StopPlan
{
  MonotonicTime began{};
  /// Until then, requests are accepted on an estimate. Later ones must end before the stop even at their deadline, or,
  /// if no other front can serve them, in twice the estimate.
  MonotonicTime estimatesUntil{};
  /// Callers with a cached address have asked for a new one by then.
  MonotonicTime callersGone{};
  /// All requests must have ended by then.
  MonotonicTime requestsEnd{};
  /// The process ends by then; until then, responses are sent and connections are closed.
  MonotonicTime processEnd{};
};

/// Plans a stop that begins now. The platform kills the process after aGraceTime; callers use an address for up to
/// aAddressLifetime after the directory has named it.
StopPlan
PlanStop(Duration aGraceTime, Duration aAddressLifetime, MonotonicTime aNow);

/// EstimateWhole() of a request that is read during a stop. Once wrong estimates cost an answer, a route without enough
/// recent requests is assumed to need all its time. aOldest is the age of the route's oldest request in progress: the
/// history of a young front holds only the short ones.
Duration
EstimateDuringStop(StopPlan const& aPlan,
                   DurationHistory const& aHistory,
                   RemainingWork const& aWork,
                   Duration aOldest,
                   MonotonicTime aNow);

/// Returns whether a request that was just read is accepted. aNeeded is its EstimateDuringStop().
bool
AcceptsDuringStop(StopPlan const& aPlan,
                  RemainingWork const& aWork,
                  Duration aNeeded,
                  OtherFronts aOthers,
                  MonotonicTime aNow);

/// Returns whether a request that was accepted and has not been sent to an endpoint can still end before the stop.
/// aNeeded is its EstimateAnswering().
bool
CanFinishBeforeStop(StopPlan const& aPlan, RemainingWork const& aWork, Duration aNeeded, MonotonicTime aNow);

/// Retry-After of a request that is refused because of the stop.
Duration
RetryAfterDuringStop(OtherFronts aOthers);

/// The lifetime of a directory response that names only the stopping front itself: until another one is back.
inline constexpr Duration kLifetimeWhileStopping = 100ms;

enum class StopStep
{
  /// Requests are still accepted or in progress.
  Serve,
  /// No request is accepted any more. Responses are sent and connections are closed.
  CloseConnections,
  EndProcess,
};

/// What remains to be done before the process may end.
struct StopProgress
{
  std::size_t requests{ 0 };
  /// Work for other fronts.
  bool hasForeignWork{ false };
  std::size_t connections{ 0 };
  StopStep step{ StopStep::Serve };
};

/// Returns the step that follows; it never goes back.
StopStep
NextStopStep(StopPlan const& aPlan, StopProgress const& aProgress, MonotonicTime aNow);

}
