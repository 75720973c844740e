#include "StagePool.h"
#include "StageCalls.h"
#include "StageQueue.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// After a refusal or a lack of room the endpoint is left alone for a moment.
static constexpr Duration kRefusedPause = 40ms;
/// After a call none of whose pieces found room: results that this owner does not know of go by and by.
static constexpr Duration kNoRoomPause = 150ms;
/// After a failed call; doubles with each failure in a row.
static constexpr Duration kFailedPause = 500ms;
static constexpr Duration kLongestPause = 4s;
static constexpr Duration kMisdirectedPause = 2s;
/// Errors of its pieces after which an order is given up.
static constexpr unsigned kMostErrors = 3;
/// The weight of the newest call in an endpoint's slowness.
static constexpr double kSlownessWeight = 0.4;
/// Results may outlive their stated time a little; memory counts as taken until then.
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

/// The endpoint's address is the part of a result's name before the slash.
static std::string
AddressOf(std::string const& aHandle)
{
  return aHandle.substr(0, aHandle.find('/'));
}

static void
FreeResult(std::string const& aHandle, StageDecisions& aDecisions)
{
  aDecisions.releases[AddressOf(aHandle)].push_back(aHandle);
}

static void
ForgetResult(StagePool& aPool, HeldResult const& aResult)
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
    ForgetResult(aPool, aEntry.second);
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
      // Its calls under way give their memory back when they end.
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

static void
EndOrder(StagePool& aPool, StageJobId aOrder, StageEnd aEnd, Duration aRetryAfter, StageDecisions& aDecisions)
{
  auto const found = aPool.jobs.find(aOrder);
  if (found == aPool.jobs.end())
    return;
  auto& pending = found->second;
  if (aEnd == StageEnd::Completed) {
    aDecisions.results.push_back({ aOrder, aEnd, std::move(pending.handles), Duration::zero(), aPool.backlog });
    aPool.jobs.erase(found);
    return;
  }
  for (auto const& handle : pending.handles)
    if (!handle.empty())
      FreeResult(handle, aDecisions);
  pending.handles.clear();
  pending.waiting.clear();
  if (!pending.cancelled)
    aDecisions.results.push_back({ aOrder, aEnd, {}, aRetryAfter, aPool.backlog });
  pending.cancelled = true;
  if (pending.underWay == 0)
    aPool.jobs.erase(found);
}

SubmitOutcome
SubmitJob(StagePool& aPool, StageJob aOrder, MonotonicTime aNow)
{
  auto const id = ++aPool.lastOrder;
  if (auto const retryAfter = RefusalOf(aPool, aOrder, aNow)) {
    StageDecisions decisions;
    decisions.results.push_back({ id, StageEnd::Late, {}, *retryAfter, aPool.backlog });
    return { id, std::move(decisions) };
  }
  auto& pending = aPool.jobs[id];
  pending.submitted = aNow;
  pending.handles.resize(aOrder.items);
  for (unsigned segment = 0; segment < aOrder.items; ++segment)
    pending.waiting.push_back(segment);
  pending.job = std::move(aOrder);
  return { id, Schedule(aPool, aNow) };
}

StageDecisions
CancelJob(StagePool& aPool, StageJobId aOrder, MonotonicTime aNow)
{
  StageDecisions decisions;
  auto const found = aPool.jobs.find(aOrder);
  if (found == aPool.jobs.end())
    return decisions;
  found->second.cancelled = true;
  EndOrder(aPool, aOrder, StageEnd::Failed, Duration::zero(), decisions);
  Append(decisions, Schedule(aPool, aNow));
  return decisions;
}

StageDecisions
ReleaseResults(std::vector<std::string> const& aHandles)
{
  StageDecisions decisions;
  for (auto const& handle : aHandles)
    FreeResult(handle, decisions);
  return decisions;
}

StageDecisions
OnResultsReleased(StagePool& aPool, std::vector<std::string> const& aHandles, MonotonicTime aNow)
{
  for (auto const& handle : aHandles) {
    auto const found = aPool.held.find(handle);
    if (found == aPool.held.end())
      continue;
    ForgetResult(aPool, found->second);
    aPool.held.erase(found);
  }
  return Schedule(aPool, aNow);
}

StageDecisions
Schedule(StagePool& aPool, MonotonicTime aNow)
{
  StageDecisions decisions;
  ExpireResults(aPool, aNow);
  for (auto const id : HopelessOrders(aPool, aNow)) {
    auto const retryAfter = RetryAfter(aPool, aPool.jobs.at(id).job, aNow);
    EndOrder(aPool, id, StageEnd::Late, retryAfter, decisions);
  }
  decisions.calls = StartCalls(aPool, aNow);
  return decisions;
}

/// The time of a call tells the endpoint's speed if it worked on a piece.
static void
NoteSpeed(StageEndpoint& aEndpoint,
          RunningCall const& aCall,
          std::vector<ItemResult> const& aResults,
          MonotonicTime aNow)
{
  auto const made = [](ItemResult const& aResult) { return aResult.end == ItemEnd::Completed; };
  auto const noRoom = [](ItemResult const& aResult) { return aResult.end == ItemEnd::NoMemory; };
  if (std::ranges::all_of(aResults, noRoom))
    aEndpoint.blockedUntil = aNow + kNoRoomPause;
  if (std::ranges::none_of(aResults, made))
    return;
  double const ratio = Seconds(aNow - aCall.began) / std::max(0.001, Seconds(aCall.expected));
  aEndpoint.slowness += kSlownessWeight * (ratio - aEndpoint.slowness);
}

/// An endpoint works on after its connection broke, and nothing names what it makes: the memory is taken until that
/// expires.
static void
HoldUnheardResults(StagePool& aPool, RunningCall const& aCall, MonotonicTime aNow)
{
  auto const expires = aNow + aPool.limits.resultLifetime + kLifetimeMargin;
  aPool.held["call " + std::to_string(aCall.call.id)] = { aCall.call.endpoint, aCall.bytes, expires };
}

static void
NoteCallEnd(StagePool& aPool,
            StageEndpoint& aEndpoint,
            RunningCall const& aCall,
            StageCallEnd aEnd,
            std::vector<ItemResult> const& aResults,
            MonotonicTime aNow)
{
  --aEndpoint.calls;
  switch (aEnd) {
    case StageCallEnd::Responded:
      NoteSpeed(aEndpoint, aCall, aResults, aNow);
      aEndpoint.failuresInARow = 0;
      return;
    case StageCallEnd::Refused:
      aEndpoint.blockedUntil = aNow + kRefusedPause;
      break;
    case StageCallEnd::Misdirected:
      aEndpoint.blockedUntil = aNow + kMisdirectedPause;
      break;
    case StageCallEnd::Failed: {
      auto const doublings = std::min(aEndpoint.failuresInARow, 4U);
      ++aEndpoint.failuresInARow;
      aEndpoint.blockedUntil = aNow + std::min<Duration>(kFailedPause * (1U << doublings), kLongestPause);
      HoldUnheardResults(aPool, aCall, aNow);
      return;
    }
  }
  aEndpoint.reservedBytes -= std::min(aEndpoint.reservedBytes, aCall.bytes);
}

static void
OnPieceEnd(StagePool& aPool,
           StagePiece const& aPiece,
           ItemResult const& aResult,
           StageEndpoint* aEndpoint,
           MonotonicTime aNow,
           StageDecisions& aDecisions)
{
  auto& pending = aPool.jobs.at(aPiece.job);
  auto const bytes = pending.job.itemBytes;
  if (aResult.end == ItemEnd::Completed) {
    auto const expires = aNow + aPool.limits.resultLifetime + kLifetimeMargin;
    if (aEndpoint != nullptr)
      aPool.held[aResult.handle] = { aEndpoint->entry.id, bytes, expires };
    if (pending.cancelled) {
      FreeResult(aResult.handle, aDecisions);
      return;
    }
    pending.handles[aPiece.segment] = aResult.handle;
    ++pending.made;
    return;
  }
  if (aEndpoint != nullptr)
    aEndpoint->reservedBytes -= std::min(aEndpoint->reservedBytes, bytes);
  if (pending.cancelled)
    return;
  switch (aResult.end) {
    case ItemEnd::Late:
      return EndOrder(aPool, aPiece.job, StageEnd::Late, ExpectedWait(aPool, pending.job, aNow), aDecisions);
    case ItemEnd::InputGone:
      return EndOrder(aPool, aPiece.job, StageEnd::InputsGone, Duration::zero(), aDecisions);
    case ItemEnd::NoMemory:
      if (aEndpoint != nullptr)
        aEndpoint->blockedUntil = std::max(aEndpoint->blockedUntil, aNow + kRefusedPause);
      break;
    default:
      ++pending.errors;
      break;
  }
  if (pending.errors >= kMostErrors)
    return EndOrder(aPool, aPiece.job, StageEnd::Failed, Duration::zero(), aDecisions);
  pending.waiting.push_front(aPiece.segment);
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
  bool const answered = aEnd == StageCallEnd::Responded && aResults.size() == running.call.items.size();
  if (endpoint != nullptr)
    NoteCallEnd(aPool,
                *endpoint,
                running,
                answered || aEnd != StageCallEnd::Responded ? aEnd : StageCallEnd::Failed,
                aResults,
                aNow);
  std::vector<StageJobId> touched;
  for (std::size_t index = 0; index < running.call.items.size(); ++index) {
    auto const& piece = running.call.items[index];
    auto& pending = aPool.jobs.at(piece.job);
    --pending.underWay;
    touched.push_back(piece.job);
    if (answered)
      OnPieceEnd(aPool, piece, aResults[index], endpoint, aNow, decisions);
    else if (!pending.cancelled)
      pending.waiting.push_front(piece.segment);
  }
  for (auto const id : touched) {
    auto const left = aPool.jobs.find(id);
    if (left == aPool.jobs.end())
      continue;
    if (left->second.cancelled && left->second.underWay == 0)
      aPool.jobs.erase(left);
    else if (!left->second.cancelled && left->second.made == left->second.job.items)
      EndOrder(aPool, id, StageEnd::Completed, Duration::zero(), decisions);
  }
  if (endpoint != nullptr && endpoint->leaving && endpoint->calls == 0)
    aPool.endpoints.erase(running.call.endpoint);
  Append(decisions, Schedule(aPool, aNow));
  return decisions;
}

StageDecisions
HandOffJobs(StagePool& aPool)
{
  StageDecisions decisions;
  std::vector<StageJobId> waiting;
  for (auto const& [id, pending] : aPool.jobs)
    if (pending.underWay == 0 && !pending.cancelled)
      waiting.push_back(id);
  for (auto const id : waiting)
    EndOrder(aPool, id, StageEnd::HandedOff, Duration::zero(), decisions);
  return decisions;
}

}
