#include "StageQueue.h"
#include <algorithm>
#include <span>
#include <tuple>

namespace Hornbeam::Gateway {

/// Orders wait as long again as is expected: later arrivals go before them, and later stages have queues as well.
static constexpr int kWaitReserve = 1;
/// Overloads with a shorter gap between them are one.
static constexpr Duration kOverloadGap = 1s;

Duration
CallTime(StageLimits const& aLimits, std::size_t aPieces)
{
  return aLimits.callTime + aLimits.itemTime * std::int64_t(aPieces);
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
  double const full = Seconds(CallTime(aPool.limits, aPool.limits.batch));
  return UsableEndpoints(aPool) * aPool.limits.slots * aPool.limits.batch / std::max(0.001, full);
}

/// Orders are served by this: those that can no longer be on time after all that can, as serving them costs the others
/// their time; then by rank; then by the time at which the first answer is due.
struct ServiceKey
{
  bool late{ false };
  int rank{ 0 };
  MonotonicTime due{};

  auto Sequence() const { return std::tuple(this->late, this->rank, this->due); }
};

static ServiceKey
KeyOf(StagePool const& aPool, StageJob const& aOrder, std::size_t aPieces, MonotonicTime aNow)
{
  auto const ready = aNow + CallTime(aPool.limits, aPieces) + aOrder.timeAfterStage;
  return { ready > aOrder.target, aOrder.priority, aOrder.target };
}

Duration
ExpectedWait(StagePool const& aPool, StageJob const& aOrder, MonotonicTime aNow)
{
  auto const own = KeyOf(aPool, aOrder, aOrder.items, aNow).Sequence();
  double ahead = 0;
  for (auto const& [id, pending] : aPool.jobs)
    if (!pending.waiting.empty() && KeyOf(aPool, pending.job, pending.waiting.size(), aNow).Sequence() <= own)
      ahead += double(pending.waiting.size());
  double const rate = PiecesPerSecond(aPool);
  if (rate <= 0)
    return 1s;
  // Work that runs now keeps the endpoints for half of a call on average.
  bool const busy =
    std::ranges::all_of(aPool.endpoints, [&](auto const& aEntry) { return aEntry.second.calls >= aPool.limits.slots; });
  auto const running = busy ? CallTime(aPool.limits, aPool.limits.batch) / 2 : Duration::zero();
  return running + FromSeconds(ahead / rate);
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

/// Whether an order that is expected to be ready at aReady, aReserve later at the worst, will miss its deadline. What
/// can no longer be on time gets its turn after the overload.
static bool
IsHopeless(StagePool const& aPool, StageJob const& aOrder, MonotonicTime aReady, Duration aReserve, MonotonicTime aNow)
{
  bool const late = aReady + aReserve > aOrder.target;
  return aReady + (late ? OverloadForecast(aPool, aNow) : Duration::zero()) > aOrder.deadline;
}

static Duration
RetryAfter(StagePool const& aPool, Duration aExpectedWait, MonotonicTime aNow)
{
  return std::max(aExpectedWait, OverloadForecast(aPool, aNow));
}

Duration
RetryAfter(StagePool const& aPool, StageJob const& aOrder, MonotonicTime aNow)
{
  return RetryAfter(aPool, ExpectedWait(aPool, aOrder, aNow), aNow);
}

std::optional<Duration>
RefusalOf(StagePool const& aPool, StageJob const& aOrder, MonotonicTime aNow)
{
  auto const wait = ExpectedWait(aPool, aOrder, aNow);
  auto const ready =
    aNow + wait + CallTime(aPool.limits, std::min(aOrder.items, aPool.limits.batch)) + aOrder.timeAfterStage;
  if (!IsHopeless(aPool, aOrder, ready, kWaitReserve * wait, aNow))
    return std::nullopt;
  return RetryAfter(aPool, wait, aNow);
}

std::vector<StageJobId>
HopelessOrders(StagePool const& aPool, MonotonicTime aNow)
{
  std::vector<StageJobId> hopeless;
  for (auto const& [id, pending] : aPool.jobs) {
    if (pending.cancelled || pending.waiting.empty())
      continue;
    auto const pieces = std::min<std::size_t>(pending.waiting.size(), aPool.limits.batch);
    auto const ready = aNow + CallTime(aPool.limits, pieces) + pending.job.timeAfterStage;
    if (IsHopeless(aPool, pending.job, ready, Duration::zero(), aNow))
      hopeless.push_back(id);
  }
  return hopeless;
}

using KeyedOrder = std::pair<ServiceKey, StageJobId>;

/// Whether all orders of one rank, in the order of their keys, can be on time behind aAhead pieces. Adds their pieces.
static bool
CanAllBeOnTime(StagePool const& aPool, std::span<KeyedOrder const> aOrders, double& aAhead, MonotonicTime aNow)
{
  double const rate = std::max(1.0, PiecesPerSecond(aPool));
  bool onTime = true;
  for (auto const& [key, id] : aOrders) {
    auto const& pending = aPool.jobs.at(id);
    auto const wait = FromSeconds(aAhead / rate);
    auto const ready = aNow + wait + CallTime(aPool.limits, pending.waiting.size()) + pending.job.timeAfterStage;
    onTime = onTime && ready + kWaitReserve * wait <= key.due;
    aAhead += double(pending.waiting.size());
  }
  return onTime;
}

/// Turns the ranks around in which not all can be on time: served by the time at which they are due, all of them would
/// be late by a little; served newest first, those that are served are on time and have time left for later stages.
/// Notes the overload, and the backlog of what can be on time.
static void
ArrangeForOverload(StagePool& aPool, std::vector<KeyedOrder>& aOrders, MonotonicTime aNow)
{
  double ahead = 0;
  for (auto begin = aOrders.begin(); begin != aOrders.end() && !begin->first.late;) {
    auto const end = std::find_if(begin, aOrders.end(), [&](KeyedOrder const& aOrder) {
      return aOrder.first.late || aOrder.first.rank != begin->first.rank;
    });
    if (!CanAllBeOnTime(aPool, { begin, end }, ahead, aNow)) {
      std::reverse(begin, end);
      NoteOverload(aPool, aNow);
    }
    begin = end;
  }
  aPool.backlog = FromSeconds(ahead / std::max(1.0, PiecesPerSecond(aPool)));
}

std::vector<StageJobId>
ServiceOrder(StagePool& aPool, MonotonicTime aNow)
{
  std::vector<KeyedOrder> keys;
  for (auto const& [id, pending] : aPool.jobs)
    if (!pending.waiting.empty() && !pending.cancelled)
      keys.emplace_back(KeyOf(aPool, pending.job, pending.waiting.size(), aNow), id);
  std::ranges::sort(
    keys, {}, [](KeyedOrder const& aOrder) { return std::pair(aOrder.first.Sequence(), aOrder.second); });
  ArrangeForOverload(aPool, keys, aNow);
  std::vector<StageJobId> result;
  result.reserve(keys.size());
  for (auto const& [key, id] : keys)
    result.push_back(id);
  return result;
}

}
