#include "StagePool.h"
#include "StageCalls.h"
#include "StageQueue.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// Pause after an endpoint refused a call or had no memory for an item.
static constexpr Duration kRefusedPause = 40ms;
/// Pause after a call for which the endpoint had no memory at all. Results that this owner does not know of are
/// released gradually.
static constexpr Duration kNoRoomPause = 150ms;
/// Pause after a failed call; doubles with each consecutive failure.
static constexpr Duration kFailedPause = 500ms;
static constexpr Duration kMaxPause = 4s;
static constexpr Duration kMisdirectedPause = 2s;
/// Number of item errors after which a job fails.
static constexpr unsigned kMaxItemErrors = 3;
/// Weight of the latest call in an endpoint's slowness.
static constexpr double kSlownessWeight = 0.4;
/// A job is handed off if less than this would remain between its expected completion and the stop of its owner: its
/// result must still be sent.
static constexpr Duration kStopMargin = 200ms;
/// Results may slightly outlive their stated lifetime; their memory stays reserved until then.
static constexpr Duration kLifetimeMargin = 200ms;

std::string_view
ToString(StageEnd aEnd)
{
  switch (aEnd) {
    case StageEnd::Completed:
      return "made";
    case StageEnd::Late:
      return "late";
    case StageEnd::InputsGone:
      return "inputs-gone";
    case StageEnd::Failed:
      return "failed";
    case StageEnd::HandedOff:
      return "moved";
  }
  VerifyNotReached();
}

static void
Append(StageDecisions& aTo, StageDecisions aFrom)
{
  std::ranges::move(aFrom.calls, std::back_inserter(aTo.calls));
  std::ranges::move(aFrom.results, std::back_inserter(aTo.results));
  for (auto& [address, handles] : aFrom.releases)
    std::ranges::move(handles, std::back_inserter(aTo.releases[address]));
}

/// The part of a result's handle before the slash is its endpoint's address.
static std::string
AddressOf(std::string const& aHandle)
{
  return aHandle.substr(0, aHandle.find('/'));
}

static void
ReleaseResult(std::string const& aHandle, StageDecisions& aDecisions)
{
  aDecisions.releases[AddressOf(aHandle)].push_back(aHandle);
}

static void
UnreserveResult(StagePool& aPool, HeldResult const& aResult)
{
  auto const endpoint = aPool.endpoints.find(aResult.endpoint);
  if (endpoint != aPool.endpoints.end())
    endpoint->second.reservedBytes -= std::min(endpoint->second.reservedBytes, aResult.bytes);
}

static void
ExpireResults(StagePool& aPool, MonotonicTime aNow)
{
  std::erase_if(aPool.held, [&](auto const& aEntry) {
    if (aEntry.second.expires > aNow)
      return false;
    UnreserveResult(aPool, aEntry.second);
    return true;
  });
}

StageDecisions
UpdatePool(StagePool& aPool,
           StageLimits const& aLimits,
           std::vector<EndpointEntry> const& aEndpoints,
           MonotonicTime aNow)
{
  aPool.limits = aLimits;
  for (auto& [id, endpoint] : aPool.endpoints)
    endpoint.leaving = true;
  for (auto const& entry : aEndpoints) {
    auto& endpoint = aPool.endpoints[entry.id];
    if (endpoint.entry.incarnation != entry.incarnation || endpoint.entry.address != entry.address) {
      std::erase_if(aPool.held, [&](auto const& aEntry) { return aEntry.second.endpoint == entry.id; });
      auto const calls = endpoint.calls;
      endpoint = {};
      endpoint.calls = calls;
      // Calls in flight return their memory when they end.
      for (auto const& [id, running] : aPool.running)
        if (running.call.endpoint == entry.id)
          endpoint.reservedBytes += running.bytes;
    }
    endpoint.entry = entry;
    endpoint.leaving = false;
  }
  std::erase_if(aPool.endpoints, [](auto const& aEntry) { return aEntry.second.leaving && aEntry.second.calls == 0; });
  return Schedule(aPool, aNow);
}

void
SetCallTimes(StagePool& aPool, std::string const& aEndpoint, EndpointSignals const& aSignals, MonotonicTime aNow)
{
  auto const found = aPool.endpoints.find(aEndpoint);
  if (found == aPool.endpoints.end())
    return;
  auto& endpoint = found->second;
  // One front, the owner of the pool, calls the endpoint.
  auto const interval = aSignals.limit ? SendInterval(*aSignals.limit, 1) : Duration::zero();
  if (interval == Duration::zero())
    endpoint.nextCall = {};
  else if (interval != endpoint.callInterval)
    endpoint.nextCall = aNow + interval;
  endpoint.callInterval = interval;
  endpoint.nextCall = std::max(endpoint.nextCall, aSignals.pausedUntil);
}

static void
EndJob(StagePool& aPool, StageJobId aJob, StageEnd aEnd, Duration aRetryAfter, StageDecisions& aDecisions)
{
  auto const found = aPool.jobs.find(aJob);
  if (found == aPool.jobs.end())
    return;
  auto& pending = found->second;
  if (aEnd == StageEnd::Completed) {
    aDecisions.results.push_back(
      { aJob, aEnd, std::move(pending.handles), Duration::zero(), aPool.backlog, pending.lastCallTime, {} });
    aPool.jobs.erase(found);
    return;
  }
  for (auto const& handle : pending.handles)
    if (!handle.empty())
      ReleaseResult(handle, aDecisions);
  pending.handles.clear();
  pending.waiting.clear();
  if (!pending.cancelled)
    aDecisions.results.push_back({ aJob, aEnd, {}, aRetryAfter, aPool.backlog });
  pending.cancelled = true;
  if (pending.itemsInFlight == 0)
    aPool.jobs.erase(found);
}

SubmitOutcome
SubmitJob(StagePool& aPool, StageJob aJob, MonotonicTime aNow)
{
  auto const id = ++aPool.lastJob;
  if (auto const retryAfter = RefusalRetryAfter(aPool, aJob, aNow)) {
    StageDecisions decisions;
    decisions.results.push_back({ id, StageEnd::Late, {}, *retryAfter, aPool.backlog });
    return { id, std::move(decisions) };
  }
  auto& pending = aPool.jobs[id];
  pending.submitted = aNow;
  pending.handles.resize(aJob.items);
  for (unsigned segment = 0; segment < aJob.items; ++segment)
    pending.waiting.push_back(segment);
  pending.job = std::move(aJob);
  return { id, Schedule(aPool, aNow) };
}

StageDecisions
CancelJob(StagePool& aPool, StageJobId aJob, MonotonicTime aNow)
{
  StageDecisions decisions;
  auto const found = aPool.jobs.find(aJob);
  if (found == aPool.jobs.end())
    return decisions;
  found->second.cancelled = true;
  EndJob(aPool, aJob, StageEnd::Failed, Duration::zero(), decisions);
  Append(decisions, Schedule(aPool, aNow));
  return decisions;
}

StageDecisions
ReleaseResults(std::vector<std::string> const& aHandles)
{
  StageDecisions decisions;
  for (auto const& handle : aHandles)
    ReleaseResult(handle, decisions);
  return decisions;
}

StageDecisions
OnResultsReleased(StagePool& aPool, std::vector<std::string> const& aHandles, MonotonicTime aNow)
{
  for (auto const& handle : aHandles) {
    auto const found = aPool.held.find(handle);
    if (found == aPool.held.end())
      continue;
    UnreserveResult(aPool, found->second);
    aPool.held.erase(found);
  }
  return Schedule(aPool, aNow);
}

StageDecisions
Schedule(StagePool& aPool, MonotonicTime aNow)
{
  StageDecisions decisions;
  ExpireResults(aPool, aNow);
  for (auto const id : JobsMissingDeadline(aPool, aNow)) {
    auto const retryAfter = RetryAfter(aPool, aPool.jobs.at(id).job, aNow);
    EndJob(aPool, id, StageEnd::Late, retryAfter, decisions);
  }
  decisions.calls = StartCalls(aPool, aNow);
  return decisions;
}

/// Updates the endpoint's slowness. A call's duration reflects the endpoint's speed only if it completed an item.
static void
RecordSpeed(StageEndpoint& aEndpoint,
            RunningCall const& aCall,
            std::vector<ItemResult> const& aResults,
            MonotonicTime aNow)
{
  auto const completed = [](ItemResult const& aResult) { return aResult.end == ItemEnd::Completed; };
  auto const noMemory = [](ItemResult const& aResult) { return aResult.end == ItemEnd::NoMemory; };
  if (std::ranges::all_of(aResults, noMemory))
    aEndpoint.blockedUntil = aNow + kNoRoomPause;
  if (std::ranges::none_of(aResults, completed))
    return;
  double const ratio = Seconds(aNow - aCall.started) / std::max(0.001, Seconds(aCall.expected));
  aEndpoint.slowness += kSlownessWeight * (ratio - aEndpoint.slowness);
}

/// An endpoint keeps working after its connection broke, and the handles of its results are never reported. Their
/// memory stays reserved until the results expire.
static void
ReserveUnreportedResults(StagePool& aPool, RunningCall const& aCall, MonotonicTime aNow)
{
  auto const expires = aNow + aPool.limits.resultLifetime + kLifetimeMargin;
  aPool.held["call " + std::to_string(aCall.call.id)] = { aCall.call.endpoint, aCall.bytes, expires };
}

static void
RecordCallEnd(StagePool& aPool,
              StageEndpoint& aEndpoint,
              RunningCall const& aCall,
              StageCallEnd aEnd,
              std::vector<ItemResult> const& aResults,
              MonotonicTime aNow)
{
  --aEndpoint.calls;
  switch (aEnd) {
    case StageCallEnd::Responded:
      RecordSpeed(aEndpoint, aCall, aResults, aNow);
      aEndpoint.consecutiveFailures = 0;
      return;
    case StageCallEnd::Refused:
      aEndpoint.blockedUntil = aNow + kRefusedPause;
      break;
    case StageCallEnd::Misdirected:
      aEndpoint.blockedUntil = aNow + kMisdirectedPause;
      break;
    case StageCallEnd::Failed: {
      auto const doublings = std::min(aEndpoint.consecutiveFailures, 4U);
      ++aEndpoint.consecutiveFailures;
      aEndpoint.blockedUntil = aNow + std::min<Duration>(kFailedPause * (1U << doublings), kMaxPause);
      ReserveUnreportedResults(aPool, aCall, aNow);
      return;
    }
  }
  aEndpoint.reservedBytes -= std::min(aEndpoint.reservedBytes, aCall.bytes);
}

static void
OnItemEnd(StagePool& aPool,
          StageItem const& aItem,
          ItemResult const& aResult,
          StageEndpoint* aEndpoint,
          MonotonicTime aNow,
          StageDecisions& aDecisions)
{
  auto& pending = aPool.jobs.at(aItem.job);
  auto const bytes = pending.job.itemBytes;
  if (aResult.end == ItemEnd::Completed) {
    auto const expires = aNow + aPool.limits.resultLifetime + kLifetimeMargin;
    if (aEndpoint != nullptr)
      aPool.held[aResult.handle] = { aEndpoint->entry.id, bytes, expires };
    if (pending.cancelled) {
      ReleaseResult(aResult.handle, aDecisions);
      return;
    }
    pending.handles[aItem.segment] = aResult.handle;
    ++pending.completed;
    return;
  }
  if (aEndpoint != nullptr)
    aEndpoint->reservedBytes -= std::min(aEndpoint->reservedBytes, bytes);
  if (pending.cancelled)
    return;
  switch (aResult.end) {
    case ItemEnd::Late:
      return EndJob(aPool, aItem.job, StageEnd::Late, ExpectedWait(aPool, pending.job, aNow), aDecisions);
    case ItemEnd::InputGone:
      return EndJob(aPool, aItem.job, StageEnd::InputsGone, Duration::zero(), aDecisions);
    case ItemEnd::NoMemory:
      if (aEndpoint != nullptr)
        aEndpoint->blockedUntil = std::max(aEndpoint->blockedUntil, aNow + kRefusedPause);
      break;
    default:
      ++pending.errors;
      break;
  }
  if (pending.errors >= kMaxItemErrors)
    return EndJob(aPool, aItem.job, StageEnd::Failed, Duration::zero(), aDecisions);
  pending.waiting.push_front(aItem.segment);
}

bool
HasKnownResult(StagePool const& aPool, std::vector<ItemResult> const& aResults)
{
  return std::ranges::any_of(aResults, [&](auto const& aResult) {
    return aResult.end == ItemEnd::Completed && aPool.held.contains(aResult.handle);
  });
}

StageDecisions
OnCallEnd(StagePool& aPool,
          StageCallId aCall,
          StageCallEnd aEnd,
          std::vector<ItemResult> const& aResults,
          MonotonicTime aNow)
{
  StageDecisions decisions;
  auto const found = aPool.running.find(aCall);
  if (found == aPool.running.end())
    return decisions;
  auto const running = std::move(found->second);
  aPool.running.erase(found);
  auto const position = aPool.endpoints.find(running.call.endpoint);
  auto* const endpoint = position == aPool.endpoints.end() ? nullptr : &position->second;
  bool const responded = aEnd == StageCallEnd::Responded && aResults.size() == running.call.items.size();
  if (endpoint != nullptr)
    RecordCallEnd(aPool,
                  *endpoint,
                  running,
                  responded || aEnd != StageCallEnd::Responded ? aEnd : StageCallEnd::Failed,
                  aResults,
                  aNow);
  std::vector<StageJobId> affected;
  for (std::size_t index = 0; index < running.call.items.size(); ++index) {
    auto const& item = running.call.items[index];
    auto& pending = aPool.jobs.at(item.job);
    --pending.itemsInFlight;
    pending.lastCallTime = aNow - running.started;
    affected.push_back(item.job);
    if (responded)
      OnItemEnd(aPool, item, aResults[index], endpoint, aNow, decisions);
    else if (!pending.cancelled)
      pending.waiting.push_front(item.segment);
  }
  for (auto const id : affected) {
    auto const left = aPool.jobs.find(id);
    if (left == aPool.jobs.end())
      continue;
    if (left->second.cancelled && left->second.itemsInFlight == 0)
      aPool.jobs.erase(left);
    else if (!left->second.cancelled && left->second.completed == left->second.job.items)
      EndJob(aPool, id, StageEnd::Completed, Duration::zero(), decisions);
  }
  if (endpoint != nullptr && endpoint->leaving && endpoint->calls == 0)
    aPool.endpoints.erase(running.call.endpoint);
  Append(decisions, Schedule(aPool, aNow));
  return decisions;
}

/// Returns when each job with items in flight is expected to be completed, waiting items included.
static std::map<StageJobId, MonotonicTime>
ExpectedCompletions(StagePool const& aPool, MonotonicTime aNow)
{
  std::map<StageJobId, MonotonicTime> completions;
  for (auto const& [id, running] : aPool.running) {
    auto const endpoint = aPool.endpoints.find(running.call.endpoint);
    double const slowness = endpoint == aPool.endpoints.end() ? 1 : std::max(1.0, endpoint->second.slowness);
    auto const end = std::max<MonotonicTime>(aNow, running.started + FromSeconds(Seconds(running.expected) * slowness));
    for (auto const& item : running.call.items)
      completions[item.job] = std::max(completions[item.job], end);
  }
  for (auto& [id, completion] : completions) {
    auto const& pending = aPool.jobs.at(id);
    if (pending.waiting.empty())
      continue;
    auto const items = std::min<std::size_t>(pending.waiting.size(), aPool.limits.batch);
    auto const ready = aNow + ExpectedWait(aPool, pending.job, aNow) + CallTime(aPool.limits, items);
    completion = std::max<MonotonicTime>(completion, ready);
  }
  return completions;
}

StageDecisions
HandOffJobs(StagePool& aPool, MonotonicTime aStop, MonotonicTime aNow)
{
  auto const completions = ExpectedCompletions(aPool, aNow);
  StageDecisions decisions;
  std::vector<StageJobId> leaving;
  for (auto const& [id, pending] : aPool.jobs)
    if (!pending.cancelled && (pending.itemsInFlight == 0 || completions.at(id) + kStopMargin > aStop))
      leaving.push_back(id);
  for (auto const id : leaving)
    EndJob(aPool, id, StageEnd::HandedOff, Duration::zero(), decisions);
  return decisions;
}

}
