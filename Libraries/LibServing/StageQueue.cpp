#include "StageQueue.h"
#include <algorithm>
#include <tuple>

namespace Hornbeam::Gateway {

/// Orders wait as long again as is expected: later arrivals go before them, and later stages have queues as well.
static constexpr int kWaitReserve = 1;
/// Overloads with a shorter gap between them are one.
static constexpr Duration kOverloadGap = 1s;

Duration
CallTime(StageLimits const& aLimits, std::size_t aPieces)
{
  return aLimits.callTime + aLimits.pieceTime * std::int64_t(aPieces);
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

Duration
RetryAfter(StagePool const& aPool, StageOrder const& aOrder, MonotonicTime aNow)
{
  return std::max(ExpectedWait(aPool, aOrder, aNow), OverloadForecast(aPool, aNow));
}

std::optional<Duration>
RefusalOf(StagePool const& aPool, StageOrder const& aOrder, MonotonicTime aNow)
{
  auto const wait = ExpectedWait(aPool, aOrder, aNow);
  auto const ready = aNow + wait + CallTime(aPool.limits, std::min(aOrder.pieces, aPool.limits.batch)) + aOrder.later;
  if (!IsHopeless(aPool, aOrder, ready, kWaitReserve * wait, aNow))
    return std::nullopt;
  return std::max(wait, OverloadForecast(aPool, aNow));
}

std::vector<StageOrderId>
HopelessOrders(StagePool const& aPool, MonotonicTime aNow)
{
  std::vector<StageOrderId> hopeless;
  for (auto const& [id, pending] : aPool.orders) {
    if (pending.cancelled || pending.waiting.empty())
      continue;
    auto const pieces = std::min<std::size_t>(pending.waiting.size(), aPool.limits.batch);
    auto const ready = aNow + CallTime(aPool.limits, pieces) + pending.order.later;
    if (IsHopeless(aPool, pending.order, ready, Duration::zero(), aNow))
      hopeless.push_back(id);
  }
  return hopeless;
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

std::vector<StageOrderId>
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

}
