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

/// All pieces of one stage of one request.
struct StageJob
{
  std::string requestId;
  /// The stage's position in its route.
  unsigned stage{ 0 };
  unsigned items{ 0 };
  /// Zero is the most urgent.
  int priority{ 0 };
  /// When the request's first answer is due, and when it is worth nothing.
  MonotonicTime target{};
  MonotonicTime deadline{};
  /// What the request still needs after this stage when nothing waits.
  Duration timeAfterStage{ 0 };
  std::size_t itemBytes{ 0 };
  /// Where the pieces are best made, next to their inputs or to the reader of their results.
  std::string dataCenter;
  /// What crosses between data centres, inputs and results together, when all pieces are made elsewhere.
  std::size_t crossDataCenterBytes{ 0 };
  /// What the pieces of a first stage are made from.
  std::string key;
  /// Results that the pieces of a later stage are made from.
  std::vector<std::string> inputs;
};

enum class StageEnd
{
  Completed,
  /// The deadline cannot be met.
  Late,
  /// An input no longer exists.
  InputsGone,
  /// Endpoints failed it too often.
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
  /// One for each piece, in order.
  std::vector<std::string> handles;
  /// When an order that was too late may be tried again.
  Duration retryAfter{ 0 };
  /// How long the pool needs for what waits there and can still be on time.
  Duration backlog{ 0 };
};

struct StagePiece
{
  StageJobId job{ 0 };
  unsigned segment{ 0 };
};

/// A call to be made now. The orders of its pieces are in the pool until the call has ended.
struct StageCall
{
  StageCallId id{ 0 };
  std::string endpoint;
  std::string address;
  std::vector<StagePiece> items;
  Duration timeout{ 0 };
};

/// What became of one piece.
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

/// How a call ended as a whole.
enum class StageCallEnd
{
  Responded,
  /// The endpoint was full; nothing was worked on.
  Refused,
  /// Another process has the address.
  Misdirected,
  /// No answer; pieces may have been made in vain.
  Failed,
};

struct StageDecisions
{
  std::vector<StageCall> calls;
  std::vector<StageResult> results;
  /// Results to be freed, by the address of their endpoint.
  std::map<std::string, std::vector<std::string>> releases;
};

/// One endpoint as its pool's owner sees it.
struct StageEndpoint
{
  EndpointEntry entry;
  unsigned calls{ 0 };
  std::size_t reservedBytes{ 0 };
  MonotonicTime blockedUntil{};
  unsigned failuresInARow{ 0 };
  /// Measured over expected time of its calls, smoothed.
  double slowness{ 1 };
  /// It left the pool while calls are under way.
  bool leaving{ false };
};

struct PendingOrder
{
  StageJob job;
  MonotonicTime submitted{};
  std::deque<unsigned> waiting;
  std::vector<std::string> handles;
  unsigned made{ 0 };
  unsigned errors{ 0 };
  bool cancelled{ false };
  unsigned underWay{ 0 };
};

struct RunningCall
{
  StageCall call;
  MonotonicTime began{};
  Duration expected{ 0 };
  std::size_t bytes{ 0 };
};

struct HeldResult
{
  std::string endpoint;
  std::size_t bytes{ 0 };
  MonotonicTime expires{};
};

/// The queue and the endpoints of one stage service, at the front that owns it. Patterns it answers: many small pieces
/// from many fronts (one queue forms full batches while calls run), overload (the most urgent that can still be on time
/// go first; what cannot be done is given up at once), little memory for results (it is reserved before a call).
struct StagePool
{
  StageLimits limits;
  std::map<std::string, StageEndpoint> endpoints;
  std::map<StageJobId, PendingOrder> jobs;
  std::map<StageCallId, RunningCall> running;
  std::unordered_map<std::string, HeldResult> held;
  StageJobId lastOrder{ 0 };
  StageCallId lastCall{ 0 };
  /// How long it needs for the waiting orders that can still be on time, when it was last scheduled.
  Duration backlog{ 0 };
  /// Since when, and until when, not all of those could be on time.
  MonotonicTime overloadBegan{};
  MonotonicTime overloadSeen{};
};

/// Takes the service's limits and its usable endpoints.
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

/// An order whose deadline passes before its expected end is given up at once: its caller can come back in time, and
/// the pool's work is not thrown away.
SubmitOutcome
SubmitJob(StagePool& aPool, StageJob aOrder, MonotonicTime aNow);

/// The request no longer needs it; results that come are freed.
StageDecisions
CancelJob(StagePool& aPool, StageJobId aOrder, MonotonicTime aNow);

/// aResults has one entry for each piece of the call when aEnd is Answered.
StageDecisions
OnCallEnd(StagePool& aPool,
          StageCallId aCall,
          StageCallEnd aEnd,
          std::vector<ItemResult> const& aResults,
          MonotonicTime aNow);

/// The request has read these results or no longer needs them. Their memory counts as taken until OnResultsFreed().
StageDecisions
ReleaseResults(std::vector<std::string> const& aHandles);

/// An endpoint has freed these results.
StageDecisions
OnResultsReleased(StagePool& aPool, std::vector<std::string> const& aHandles, MonotonicTime aNow);

/// Starts what can be started and gives up what came too late.
StageDecisions
Schedule(StagePool& aPool, MonotonicTime aNow);

/// Ends all waiting orders: another front takes over.
StageDecisions
HandOffJobs(StagePool& aPool);

}
