#include "StagePool.h"
#include <algorithm>
#include <cmath>
#include <tuple>

namespace Hornbeam::Gateway {

/// How long an order waits for an endpoint of its own data centre before another may take its pieces, for each megabyte
/// that would cross. A megabyte that crosses costs about a thousandth of a large request; longer waits (50 ms) cost
/// more in late answers than the crossings, see docs/MEASUREMENTS.md.
static constexpr Duration kLocalityWaitPerMegabyte = 25ms;
/// The part of the time to spare that may be spent on that wait.
static constexpr int kLocalitySlackShare = 4;
/// A call is given up after this multiple of its expected time, and not before the least time.
static constexpr double kCallPatience = 4;
static constexpr Duration kLeastCallTimeout = 1200ms;
/// After a refusal or a lack of room the endpoint is left alone for a moment.
static constexpr Duration kRefusedPause = 40ms;
/// After a failed call; doubles with each failure in a row.
static constexpr Duration kFailedPause = 500ms;
static constexpr Duration kLongestPause = 4s;
static constexpr Duration kMisdirectedPause = 2s;
/// Errors of its pieces after which an order is given up.
static constexpr unsigned kMostErrors = 3;
/// The weight of the newest call in an endpoint's slowness.
static constexpr double kSlownessWeight = 0.4;
/// An endpoint this much slower than expected gets work only when the others cannot keep up.
static constexpr double kSlow = 2;
/// Orders wait as long again as is expected: later arrivals go before them, and later stages have queues as well.
static constexpr int kWaitReserve = 1;
/// Overloads with a shorter gap between them are one.
static constexpr Duration kOverloadGap = 1s;
/// Results may outlive their stated time a little; memory counts as taken until then.
static constexpr Duration kLifetimeMargin = 200ms;

std::string_view
ToString(StageEnd aEnd)
{
  switch (aEnd) {
    case StageEnd::Made:
      return "made";
    case StageEnd::Late:
      return "late";
    case StageEnd::InputsGone:
      return "inputs-gone";
    case StageEnd::Failed:
      return "failed";
    case StageEnd::Moved:
      return "moved";
  }
  VerifyNotReached();
}

static Duration
CallTime(StageLimits const& aLimits, std::size_t aPieces)
{
  return aLimits.callTime + aLimits.pieceTime * std::int64_t(aPieces);
}

static void
Append(StageDecisions& aTo, StageDecisions aFrom)
{
  std::ranges::move(aFrom.calls, std::back_inserter(aTo.calls));
  std::ranges::move(aFrom.results, std::back_inserter(aTo.results));
  for (auto& [address, handles] : aFrom.frees)
    std::ranges::move(handles, std::back_inserter(aTo.frees[address]));
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
  aDecisions.frees[AddressOf(aHandle)].push_back(aHandle);
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
      auto const calls = endpoint.calls;
      endpoint = {};
      endpoint.calls = calls;
    }
    endpoint.entry = entry;
    endpoint.leaving = false;
  }
  std::erase_if(aPool.endpoints, [](auto const& aEntry) { return aEntry.second.leaving && aEntry.second.calls == 0; });
  return Schedule(aPool, aNow);
}

static unsigned
UsableEndpoints(StagePool const& aPool)
{
  auto const usable = std::ranges::count_if(
    aPool.endpoints, [](auto const& aEntry) { return !aEntry.second.leaving && aEntry.second.failuresInARow < 2; });
  return unsigned(usable);
}

/// Pieces a second that the pool makes with full batches.
static double
PiecesPerSecond(StagePool const& aPool)
{
  std::chrono::duration<double> const full = CallTime(aPool.limits, aPool.limits.batch);
  return UsableEndpoints(aPool) * aPool.limits.slots * aPool.limits.batch / std::max(0.001, full.count());
}

/// Orders are served by this: those that can no longer be on time after all that can, as serving them costs the others
/// their time; then by rank; then by the time at which the first answer is due.
using ServiceKey = std::tuple<bool, int, MonotonicTime>;

static ServiceKey
KeyOf(StagePool const& aPool, StageOrder const& aOrder, std::size_t aPieces, MonotonicTime aNow)
{
  auto const ready = aNow + CallTime(aPool.limits, aPieces) + aOrder.later;
  return { ready > aOrder.target, aOrder.rank, aOrder.target };
}

Duration
ExpectedWait(StagePool const& aPool, StageOrder const& aOrder, MonotonicTime aNow)
{
  auto const own = KeyOf(aPool, aOrder, aOrder.pieces, aNow);
  double ahead = 0;
  for (auto const& [id, pending] : aPool.orders)
    if (!pending.waiting.empty() && KeyOf(aPool, pending.order, pending.waiting.size(), aNow) <= own)
      ahead += double(pending.waiting.size());
  double const rate = PiecesPerSecond(aPool);
  if (rate <= 0)
    return 1s;
  // Work that runs now keeps the endpoints for half of a call on average.
  bool const busy =
    std::ranges::all_of(aPool.endpoints, [&](auto const& aEntry) { return aEntry.second.calls >= aPool.limits.slots; });
  auto const running = busy ? CallTime(aPool.limits, aPool.limits.batch) / 2 : Duration::zero();
  return running + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / rate));
}

static void
EndOrder(StagePool& aPool, StageOrderId aOrder, StageEnd aEnd, Duration aRetryAfter, StageDecisions& aDecisions)
{
  auto const found = aPool.orders.find(aOrder);
  if (found == aPool.orders.end())
    return;
  auto& pending = found->second;
  if (aEnd == StageEnd::Made) {
    aDecisions.results.push_back({ aOrder, aEnd, std::move(pending.handles), Duration::zero(), aPool.backlog });
    aPool.orders.erase(found);
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
    aPool.orders.erase(found);
}

static void
NoteOverload(StagePool& aPool, MonotonicTime aNow)
{
  if (aNow - aPool.overloadSeen > kOverloadGap)
    aPool.overloadBegan = aNow;
  aPool.overloadSeen = aNow;
}

/// How long an overload will last: as long again as it has lasted.
static Duration
OverloadForecast(StagePool const& aPool, MonotonicTime aNow)
{
  if (aNow - aPool.overloadSeen > kOverloadGap)
    return Duration::zero();
  return aPool.overloadSeen - aPool.overloadBegan;
}

/// Whether an order that is expected to be ready at aReady, aReserve later at the worst, is not worth its place. What
/// can no longer be on time gets its turn after the overload.
static bool
IsHopeless(StagePool const& aPool,
           StageOrder const& aOrder,
           MonotonicTime aReady,
           Duration aReserve,
           MonotonicTime aNow)
{
  bool const late = aReady + aReserve > aOrder.target;
  return aReady + (late ? OverloadForecast(aPool, aNow) : Duration::zero()) > aOrder.deadline;
}

SubmitOutcome
SubmitOrder(StagePool& aPool, StageOrder aOrder, MonotonicTime aNow)
{
  auto const id = ++aPool.lastOrder;
  auto const wait = ExpectedWait(aPool, aOrder, aNow);
  auto const ready = aNow + wait + CallTime(aPool.limits, std::min(aOrder.pieces, aPool.limits.batch)) + aOrder.later;
  if (IsHopeless(aPool, aOrder, ready, kWaitReserve * wait, aNow)) {
    auto const retryAfter = std::max(wait, OverloadForecast(aPool, aNow));
    StageDecisions decisions;
    decisions.results.push_back({ id, StageEnd::Late, {}, retryAfter, aPool.backlog });
    return { id, std::move(decisions) };
  }
  auto& pending = aPool.orders[id];
  pending.submitted = aNow;
  pending.handles.resize(aOrder.pieces);
  for (unsigned segment = 0; segment < aOrder.pieces; ++segment)
    pending.waiting.push_back(segment);
  pending.order = std::move(aOrder);
  return { id, Schedule(aPool, aNow) };
}

StageDecisions
CancelOrder(StagePool& aPool, StageOrderId aOrder, MonotonicTime aNow)
{
  StageDecisions decisions;
  auto const found = aPool.orders.find(aOrder);
  if (found == aPool.orders.end())
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
OnResultsFreed(StagePool& aPool, std::vector<std::string> const& aHandles, MonotonicTime aNow)
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

/// Turns the ranks around in which not all can be on time: served by the time at which they are due, all of them would
/// be late by a little; served newest first, those that are served are on time and have time left for later stages.
static void
PutNewestFirstUnderOverload(StagePool& aPool,
                            std::vector<std::pair<ServiceKey, StageOrderId>>& aKeys,
                            MonotonicTime aNow)
{
  double const rate = std::max(1.0, PiecesPerSecond(aPool));
  double ahead = 0;
  for (auto begin = aKeys.begin(); begin != aKeys.end();) {
    auto const [late, rank, target] = begin->first;
    if (late)
      break;
    bool overloaded = false;
    auto end = begin;
    for (; end != aKeys.end() && std::get<0>(end->first) == late && std::get<1>(end->first) == rank; ++end) {
      auto const& pending = aPool.orders.at(end->second);
      auto const wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / rate));
      auto const ready = aNow + wait + CallTime(aPool.limits, pending.waiting.size()) + pending.order.later;
      overloaded = overloaded || ready + kWaitReserve * wait > std::get<2>(end->first);
      ahead += double(pending.waiting.size());
    }
    if (overloaded)
      std::reverse(begin, end);
    if (overloaded)
      NoteOverload(aPool, aNow);
    begin = end;
  }
  aPool.backlog = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(ahead / rate));
}

/// Orders with waiting pieces, the next to be served first.
static std::vector<StageOrderId>
ServiceOrder(StagePool& aPool, MonotonicTime aNow)
{
  std::vector<std::pair<ServiceKey, StageOrderId>> keys;
  for (auto const& [id, pending] : aPool.orders)
    if (!pending.waiting.empty() && !pending.cancelled)
      keys.emplace_back(KeyOf(aPool, pending.order, pending.waiting.size(), aNow), id);
  std::ranges::sort(keys);
  PutNewestFirstUnderOverload(aPool, keys, aNow);
  std::vector<StageOrderId> result;
  result.reserve(keys.size());
  for (auto const& [key, id] : keys)
    result.push_back(id);
  return result;
}

static void
GiveUpLate(StagePool& aPool, MonotonicTime aNow, StageDecisions& aDecisions)
{
  std::vector<StageOrderId> late;
  for (auto const& [id, pending] : aPool.orders) {
    if (pending.cancelled || pending.waiting.empty())
      continue;
    auto const pieces = std::min<std::size_t>(pending.waiting.size(), aPool.limits.batch);
    auto const ready = aNow + CallTime(aPool.limits, pieces) + pending.order.later;
    if (IsHopeless(aPool, pending.order, ready, Duration::zero(), aNow))
      late.push_back(id);
  }
  for (auto const id : late) {
    auto const wait = ExpectedWait(aPool, aPool.orders.at(id).order, aNow);
    EndOrder(aPool, id, StageEnd::Late, std::max(wait, OverloadForecast(aPool, aNow)), aDecisions);
  }
}

static Duration
LocalityWait(StagePool const& aPool, PendingOrder const& aPending, MonotonicTime aNow)
{
  auto const bySize = kLocalityWaitPerMegabyte * std::int64_t(aPending.order.crossingBytes) / 1'000'000;
  auto const ready = aNow + CallTime(aPool.limits, aPending.waiting.size()) + aPending.order.later;
  return std::clamp<Duration>((aPending.order.target - ready) / kLocalitySlackShare, Duration::zero(), bySize);
}

static std::vector<StagePiece>
TakePieces(StagePool& aPool,
           StageEndpoint const& aEndpoint,
           std::vector<StageOrderId> const& aOrder,
           MonotonicTime aNow)
{
  std::vector<StagePiece> pieces;
  auto room = aPool.limits.resultRoom - std::min(aPool.limits.resultRoom, aEndpoint.reservedBytes);
  auto const take = [&](bool aNear) {
    for (auto const id : aOrder) {
      auto const found = aPool.orders.find(id);
      if (found == aPool.orders.end())
        continue;
      auto& pending = found->second;
      bool const near = pending.order.dataCenter.empty() || pending.order.dataCenter == aEndpoint.entry.dataCenter;
      if (near != aNear || (!near && aNow - pending.submitted < LocalityWait(aPool, pending, aNow)))
        continue;
      while (!pending.waiting.empty() && pieces.size() < aPool.limits.batch && pending.order.pieceBytes <= room) {
        room -= pending.order.pieceBytes;
        pieces.push_back({ id, pending.waiting.front() });
        pending.waiting.pop_front();
      }
    }
  };
  take(true);
  take(false);
  return pieces;
}

static StageCall
StartCall(StagePool& aPool, StageEndpoint& aEndpoint, std::vector<StagePiece> aPieces, MonotonicTime aNow)
{
  StageCall call;
  call.id = ++aPool.lastCall;
  call.endpoint = aEndpoint.entry.id;
  call.address = aEndpoint.entry.address;
  call.pieces = std::move(aPieces);
  auto const expected = CallTime(aPool.limits, call.pieces.size());
  auto const patience =
    std::chrono::duration_cast<Duration>(expected * (kCallPatience * std::max(1.0, aEndpoint.slowness)));
  call.timeout = std::max<Duration>(kLeastCallTimeout, patience);
  std::size_t bytes = 0;
  for (auto const& piece : call.pieces) {
    auto& pending = aPool.orders.at(piece.order);
    ++pending.underWay;
    bytes += pending.order.pieceBytes;
  }
  ++aEndpoint.calls;
  aEndpoint.reservedBytes += bytes;
  aPool.running[call.id] = { call, aNow, expected, bytes };
  return call;
}

/// Whether the endpoints of usual speed can take all that waits at their next calls.
static bool
OthersKeepUp(StagePool const& aPool, std::size_t aWaiting)
{
  auto const fast = std::ranges::count_if(aPool.endpoints, [](auto const& aEntry) {
    return !aEntry.second.leaving && aEntry.second.slowness < kSlow && aEntry.second.failuresInARow == 0;
  });
  return aWaiting <= std::size_t(fast) * aPool.limits.batch;
}

static std::size_t
WaitingPieces(StagePool const& aPool)
{
  std::size_t waiting = 0;
  for (auto const& [id, pending] : aPool.orders)
    waiting += pending.waiting.size();
  return waiting;
}

StageDecisions
Schedule(StagePool& aPool, MonotonicTime aNow)
{
  StageDecisions decisions;
  ExpireResults(aPool, aNow);
  GiveUpLate(aPool, aNow, decisions);
  auto waiting = WaitingPieces(aPool);
  if (waiting == 0) {
    aPool.backlog = {};
    return decisions;
  }
  std::vector<StageEndpoint*> free;
  for (auto& [id, endpoint] : aPool.endpoints)
    if (!endpoint.leaving && endpoint.calls < aPool.limits.slots && endpoint.blockedUntil <= aNow)
      free.push_back(&endpoint);
  if (free.empty())
    return decisions;
  std::ranges::sort(
    free, {}, [](auto const* aEndpoint) { return std::pair(aEndpoint->slowness >= kSlow, aEndpoint->reservedBytes); });
  auto const order = ServiceOrder(aPool, aNow);
  for (auto* endpoint : free) {
    if (endpoint->slowness >= kSlow && OthersKeepUp(aPool, waiting))
      continue;
    auto pieces = TakePieces(aPool, *endpoint, order, aNow);
    if (pieces.empty())
      continue;
    waiting -= pieces.size();
    decisions.calls.push_back(StartCall(aPool, *endpoint, std::move(pieces), aNow));
  }
  return decisions;
}

static void
NoteCallEnd(StageEndpoint& aEndpoint, RunningCall const& aCall, StageCallEnd aEnd, MonotonicTime aNow)
{
  --aEndpoint.calls;
  switch (aEnd) {
    case StageCallEnd::Answered: {
      std::chrono::duration<double> const took = aNow - aCall.began;
      std::chrono::duration<double> const expected = aCall.expected;
      double const ratio = took.count() / std::max(0.001, expected.count());
      aEndpoint.slowness += kSlownessWeight * (ratio - aEndpoint.slowness);
      aEndpoint.failuresInARow = 0;
      return;
    }
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
      break;
    }
  }
  aEndpoint.reservedBytes -= std::min(aEndpoint.reservedBytes, aCall.bytes);
}

static void
OnPieceEnd(StagePool& aPool,
           StagePiece const& aPiece,
           PieceResult const& aResult,
           StageEndpoint* aEndpoint,
           MonotonicTime aNow,
           StageDecisions& aDecisions)
{
  auto& pending = aPool.orders.at(aPiece.order);
  auto const bytes = pending.order.pieceBytes;
  if (aResult.end == PieceEnd::Made) {
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
    case PieceEnd::Late:
      return EndOrder(aPool, aPiece.order, StageEnd::Late, ExpectedWait(aPool, pending.order, aNow), aDecisions);
    case PieceEnd::InputGone:
      return EndOrder(aPool, aPiece.order, StageEnd::InputsGone, Duration::zero(), aDecisions);
    case PieceEnd::NoRoom:
      if (aEndpoint != nullptr)
        aEndpoint->blockedUntil = aNow + kRefusedPause;
      break;
    default:
      ++pending.errors;
      break;
  }
  if (pending.errors >= kMostErrors)
    return EndOrder(aPool, aPiece.order, StageEnd::Failed, Duration::zero(), aDecisions);
  pending.waiting.push_front(aPiece.segment);
}

StageDecisions
OnCallEnd(StagePool& aPool,
          StageCallId aCall,
          StageCallEnd aEnd,
          std::vector<PieceResult> const& aResults,
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
  bool const answered = aEnd == StageCallEnd::Answered && aResults.size() == running.call.pieces.size();
  if (endpoint != nullptr)
    NoteCallEnd(*endpoint, running, answered || aEnd != StageCallEnd::Answered ? aEnd : StageCallEnd::Failed, aNow);
  std::vector<StageOrderId> touched;
  for (std::size_t index = 0; index < running.call.pieces.size(); ++index) {
    auto const& piece = running.call.pieces[index];
    auto& pending = aPool.orders.at(piece.order);
    --pending.underWay;
    touched.push_back(piece.order);
    if (answered)
      OnPieceEnd(aPool, piece, aResults[index], endpoint, aNow, decisions);
    else if (!pending.cancelled)
      pending.waiting.push_front(piece.segment);
  }
  for (auto const id : touched) {
    auto const left = aPool.orders.find(id);
    if (left == aPool.orders.end())
      continue;
    if (left->second.cancelled && left->second.underWay == 0)
      aPool.orders.erase(left);
    else if (!left->second.cancelled && left->second.made == left->second.order.pieces)
      EndOrder(aPool, id, StageEnd::Made, Duration::zero(), decisions);
  }
  if (endpoint != nullptr && endpoint->leaving && endpoint->calls == 0)
    aPool.endpoints.erase(running.call.endpoint);
  Append(decisions, Schedule(aPool, aNow));
  return decisions;
}

StageDecisions
HandOver(StagePool& aPool)
{
  StageDecisions decisions;
  std::vector<StageOrderId> waiting;
  for (auto const& [id, pending] : aPool.orders)
    if (pending.underWay == 0 && !pending.cancelled)
      waiting.push_back(id);
  for (auto const id : waiting)
    EndOrder(aPool, id, StageEnd::Moved, Duration::zero(), decisions);
  return decisions;
}

}
