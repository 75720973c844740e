#include "StageCalls.h"
#include "StageQueue.h"
#include <algorithm>

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
/// An endpoint this much slower than expected gets work only when the others cannot keep up.
static constexpr double kSlow = 2;

static Duration
LocalityWait(StagePool const& aPool, PendingOrder const& aPending, MonotonicTime aNow)
{
  auto const bySize = kLocalityWaitPerMegabyte * std::int64_t(aPending.job.crossDataCenterBytes) / 1'000'000;
  auto const ready = aNow + CallTime(aPool.limits, aPending.waiting.size()) + aPending.job.timeAfterStage;
  return std::clamp<Duration>((aPending.job.target - ready) / kLocalitySlackShare, Duration::zero(), bySize);
}

static std::vector<StagePiece>
TakePieces(StagePool& aPool, StageEndpoint const& aEndpoint, std::vector<StageJobId> const& aOrder, MonotonicTime aNow)
{
  std::vector<StagePiece> pieces;
  auto room = aPool.limits.resultMemory - std::min(aPool.limits.resultMemory, aEndpoint.reservedBytes);
  auto const take = [&](bool aNear) {
    for (auto const id : aOrder) {
      auto const found = aPool.jobs.find(id);
      if (found == aPool.jobs.end())
        continue;
      auto& pending = found->second;
      bool const near = pending.job.dataCenter.empty() || pending.job.dataCenter == aEndpoint.entry.dataCenter;
      if (near != aNear || (!near && aNow - pending.submitted < LocalityWait(aPool, pending, aNow)))
        continue;
      while (!pending.waiting.empty() && pieces.size() < aPool.limits.batch && pending.job.itemBytes <= room) {
        room -= pending.job.itemBytes;
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
  call.items = std::move(aPieces);
  auto const expected = CallTime(aPool.limits, call.items.size());
  auto const patience =
    std::chrono::duration_cast<Duration>(expected * (kCallPatience * std::max(1.0, aEndpoint.slowness)));
  call.timeout = std::max<Duration>(kLeastCallTimeout, patience);
  std::size_t bytes = 0;
  for (auto const& piece : call.items) {
    auto& pending = aPool.jobs.at(piece.job);
    ++pending.underWay;
    bytes += pending.job.itemBytes;
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
  for (auto const& [id, pending] : aPool.jobs)
    waiting += pending.waiting.size();
  return waiting;
}

std::vector<StageCall>
StartCalls(StagePool& aPool, MonotonicTime aNow)
{
  std::vector<StageCall> calls;
  auto waiting = WaitingPieces(aPool);
  if (waiting == 0) {
    aPool.backlog = {};
    return calls;
  }
  std::vector<StageEndpoint*> free;
  for (auto& [id, endpoint] : aPool.endpoints)
    if (!endpoint.leaving && endpoint.calls < aPool.limits.slots && endpoint.blockedUntil <= aNow)
      free.push_back(&endpoint);
  if (free.empty())
    return calls;
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
    calls.push_back(StartCall(aPool, *endpoint, std::move(pieces), aNow));
  }
  return calls;
}

}
