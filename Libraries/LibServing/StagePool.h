#pragma once

#include "EndpointSet.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam::Gateway {

using StageJobId = std::uint64_t;
using StageCallId = std::uint64_t;

/// All items of one stage of one request.
struct StageJob
{
  std::string requestId;
  /// The stage's position in its route.
  unsigned stage{ 0 };
  unsigned items{ 0 };
  /// Zero is the most urgent.
  int priority{ 0 };
  /// When the first response to the request is due, and when it becomes worthless.
  MonotonicTime target{};
  MonotonicTime deadline{};
  /// Expected time that the request still needs after this stage.
  Duration timeAfterStage{ 0 };
  std::size_t itemBytes{ 0 };
  /// Preferred data centre for the items, close to their inputs or to the reader of their results.
  std::string dataCenter;
  /// Bytes of inputs and results transferred between data centres if all items are computed elsewhere.
  std::size_t crossDataCenterBytes{ 0 };
  /// What the items of a first stage are computed from.
  std::string key;
  /// Results that the items of a later stage are computed from.
  std::vector<std::string> inputs;
};

enum class StageEnd
{
  Completed,
  /// The deadline cannot be met.
  Late,
  /// An input no longer exists.
  InputsGone,
  /// Too many items failed at endpoints.
  Failed,
  /// The owner is leaving; another front takes over.
  HandedOff,
};

std::string_view
ToString(StageEnd aEnd);

struct StageResult
{
  StageJobId job{ 0 };
  StageEnd end{ StageEnd::Failed };
  /// One handle per item, in item order.
  std::vector<std::string> handles;
  /// When a job that could not meet its deadline may be retried.
  Duration retryAfter{ 0 };
  /// How long the pool needs for its waiting jobs that can still be on time.
  Duration backlog{ 0 };
  /// The duration of the call that completed the last item.
  Duration computing{ 0 };
  /// The front whose pool served the job; set by the front that submitted it.
  std::string owner;
};

struct StageItem
{
  StageJobId job{ 0 };
  unsigned segment{ 0 };
};

/// A call to be made now. The jobs of its items stay in the pool until the call has ended.
struct StageCall
{
  StageCallId id{ 0 };
  std::string endpoint;
  std::string address;
  std::vector<StageItem> items;
  Duration timeout{ 0 };
};

/// Outcome of one item.
enum class ItemEnd
{
  Completed,
  Late,
  InputGone,
  NoMemory,
  Error,
};

struct ItemResult
{
  ItemEnd end{ ItemEnd::Error };
  std::string handle;
};

/// Outcome of a call as a whole.
enum class StageCallEnd
{
  Responded,
  /// The endpoint had no capacity; no item was processed.
  Refused,
  /// Another process has the address.
  Misdirected,
  /// No response; items may have been processed in vain.
  Failed,
};

struct StageDecisions
{
  std::vector<StageCall> calls;
  std::vector<StageResult> results;
  /// Results to be released, by the address of their endpoint.
  std::map<std::string, std::vector<std::string>> releases;
};

/// State of one endpoint at the owner of its pool.
struct StageEndpoint
{
  EndpointEntry entry;
  unsigned calls{ 0 };
  std::size_t reservedBytes{ 0 };
  MonotonicTime blockedUntil{};
  /// The earliest time of the next call, and the time between two calls, as the endpoint's answers say.
  MonotonicTime nextCall{};
  Duration callInterval{ 0 };
  unsigned consecutiveFailures{ 0 };
  /// Smoothed ratio of measured to expected call time.
  double slowness{ 1 };
  /// The endpoint left the pool while calls are in flight.
  bool leaving{ false };
};

struct PendingJob
{
  StageJob job;
  MonotonicTime submitted{};
  std::deque<unsigned> waiting;
  std::vector<std::string> handles;
  unsigned completed{ 0 };
  unsigned errors{ 0 };
  bool cancelled{ false };
  unsigned itemsInFlight{ 0 };
  /// The duration of the last call that contained an item of the job.
  Duration lastCallTime{ 0 };
};

struct RunningCall
{
  StageCall call;
  MonotonicTime started{};
  Duration expected{ 0 };
  std::size_t bytes{ 0 };
};

struct HeldResult
{
  std::string endpoint;
  std::size_t bytes{ 0 };
  MonotonicTime expires{};
};

/// The queue and the endpoints of one stage service, at the front that owns it. A single queue collects small items
/// from many fronts into full batches while calls run. Under overload, the most urgent jobs that can still be on time
/// are served first, and jobs that cannot meet their deadline are abandoned at once. Memory for results is scarce, so
/// it is reserved before a call.
struct StagePool
{
  StageLimits limits;
  std::map<std::string, StageEndpoint> endpoints;
  std::map<StageJobId, PendingJob> jobs;
  std::map<StageCallId, RunningCall> running;
  std::unordered_map<std::string, HeldResult> held;
  StageJobId lastJob{ 0 };
  StageCallId lastCall{ 0 };
  /// How long the waiting jobs that can still be on time will take, as of the last scheduling.
  Duration backlog{ 0 };
  /// When the latest overload, in which not all of those jobs could be on time, started and was last seen.
  MonotonicTime overloadStarted{};
  MonotonicTime overloadLastSeen{};
};

/// Sets what an endpoint's answers say about when it may be called.
void
SetCallTimes(StagePool& aPool, std::string const& aEndpoint, EndpointSignals const& aSignals, MonotonicTime aNow);

/// Updates the service's limits and its usable endpoints.
StageDecisions
UpdatePool(StagePool& aPool,
           StageLimits const& aLimits,
           std::vector<EndpointEntry> const& aEndpoints,
           MonotonicTime aNow);

struct SubmitOutcome
{
  StageJobId job{ 0 };
  StageDecisions decisions;
};

/// A job that is expected to miss its deadline is refused at once: its caller can retry in time, and the pool does no
/// wasted work.
SubmitOutcome
SubmitJob(StagePool& aPool, StageJob aJob, MonotonicTime aNow);

/// Cancels a job that its request no longer needs. Results that still arrive are released.
StageDecisions
CancelJob(StagePool& aPool, StageJobId aJob, MonotonicTime aNow);

/// Whether any of the results is one that an earlier call returned: endpoints make new handles for each call.
bool
HasKnownResult(StagePool const& aPool, std::vector<ItemResult> const& aResults);

/// aResults has one entry for each item of the call if aEnd is Responded.
StageDecisions
OnCallEnd(StagePool& aPool,
          StageCallId aCall,
          StageCallEnd aEnd,
          std::vector<ItemResult> const& aResults,
          MonotonicTime aNow);

/// Releases results that the request has read or no longer needs. Their memory stays reserved until
/// OnResultsReleased().
StageDecisions
ReleaseResults(std::vector<std::string> const& aHandles);

/// Records that an endpoint has released these results.
StageDecisions
OnResultsReleased(StagePool& aPool, std::vector<std::string> const& aHandles, MonotonicTime aNow);

/// Starts the calls that can be started and abandons jobs that can no longer meet their deadline.
StageDecisions
Schedule(StagePool& aPool, MonotonicTime aNow);

/// Ends the jobs that another front should take over from an owner that stops at aStop: those without items in flight,
/// and those that are not expected to be completed by then. To be called until then, as calls may be slow.
StageDecisions
HandOffJobs(StagePool& aPool, MonotonicTime aStop, MonotonicTime aNow);

}
