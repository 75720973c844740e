#include "StageCalls.h"
#include "StageQueue.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// How long a job waits for an endpoint in its own data centre before an endpoint elsewhere may take its items, per
/// megabyte that would be transferred between data centres. Transferring a megabyte costs about a thousandth of a large
/// request; longer waits (50 ms) cost more in late responses than the transfers, see docs/MEASUREMENTS.md.
static constexpr Duration kLocalityWaitPerMegabyte = 25ms;
/// That wait is limited to the job's slack divided by this.
static constexpr int kLocalitySlackDivisor = 4;
/// A call times out after this multiple of its expected time, but not before the minimum timeout.
static constexpr double kCallTimeoutFactor = 4;
static constexpr Duration kMinCallTimeout = 1200ms;
/// An endpoint that is slower than expected by this factor receives work only if the others cannot keep up.
static constexpr double kSlowFactor = 2;

static Duration
LocalityWait(StagePool const& aPool, PendingJob const& aPending, MonotonicTime aNow)
{
  auto const bySize = kLocalityWaitPerMegabyte * std::int64_t(aPending.job.crossDataCenterBytes) / 1'000'000;
  auto const ready = aNow + CallTime(aPool.limits, aPending.waiting.size()) + aPending.job.timeAfterStage;
  return std::clamp<Duration>((aPending.job.target - ready) / kLocalitySlackDivisor, Duration::zero(), bySize);
}

static std::vector<StageItem>
TakeItems(StagePool& aPool,
          StageEndpoint const& aEndpoint,
          std::vector<StageJobId> const& aServiceOrder,
          MonotonicTime aNow)
{
  std::vector<StageItem> items;
  auto freeMemory = aPool.limits.resultMemory - std::min(aPool.limits.resultMemory, aEndpoint.reservedBytes);
  auto const take = [&](bool aNear) {
    for (auto const id : aServiceOrder) {
      auto const found = aPool.jobs.find(id);
      if (found == aPool.jobs.end())
        continue;
      auto& pending = found->second;
      bool const near = pending.job.dataCenter.empty() || pending.job.dataCenter == aEndpoint.entry.dataCenter;
      if (near != aNear || (!near && aNow - pending.submitted < LocalityWait(aPool, pending, aNow)))
        continue;
      while (!pending.waiting.empty() && items.size() < aPool.limits.batch && pending.job.itemBytes <= freeMemory) {
        freeMemory -= pending.job.itemBytes;
        items.push_back({ id, pending.waiting.front() });
        pending.waiting.pop_front();
      }
    }
  };
  take(true);
  take(false);
  return items;
}

static StageCall
StartCall(StagePool& aPool, StageEndpoint& aEndpoint, std::vector<StageItem> aItems, MonotonicTime aNow)
{
  StageCall call;
  call.id = ++aPool.lastCall;
  call.endpoint = aEndpoint.entry.id;
  call.address = aEndpoint.entry.address;
  call.items = std::move(aItems);
  auto const expected = CallTime(aPool.limits, call.items.size());
  auto const scaledTimeout =
    std::chrono::duration_cast<Duration>(expected * (kCallTimeoutFactor * std::max(1.0, aEndpoint.slowness)));
  call.timeout = std::max<Duration>(kMinCallTimeout, scaledTimeout);
  std::size_t bytes = 0;
  for (auto const& item : call.items) {
    auto& pending = aPool.jobs.at(item.job);
    ++pending.itemsInFlight;
    bytes += pending.job.itemBytes;
  }
  ++aEndpoint.calls;
  if (aEndpoint.callInterval > Duration::zero())
    aEndpoint.nextCall = aNow + aEndpoint.callInterval;
  aEndpoint.reservedBytes += bytes;
  aPool.running[call.id] = { call, aNow, expected, bytes };
  return call;
}

/// Returns whether the endpoints of normal speed can take all waiting items in their next calls.
static bool
FastEndpointsKeepUp(StagePool const& aPool, std::size_t aWaiting)
{
  auto const fast = std::ranges::count_if(aPool.endpoints, [](auto const& aEntry) {
    return !aEntry.second.leaving && aEntry.second.slowness < kSlowFactor && aEntry.second.consecutiveFailures == 0;
  });
  return aWaiting <= std::size_t(fast) * aPool.limits.batch;
}

static std::size_t
WaitingItems(StagePool const& aPool)
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
  auto waiting = WaitingItems(aPool);
  if (waiting == 0) {
    aPool.backlog = {};
    return calls;
  }
  std::vector<StageEndpoint*> free;
  for (auto& [id, endpoint] : aPool.endpoints)
    if (!endpoint.leaving && endpoint.calls < aPool.limits.slots && endpoint.blockedUntil <= aNow &&
        endpoint.nextCall <= aNow)
      free.push_back(&endpoint);
  if (free.empty())
    return calls;
  std::ranges::sort(free, {}, [](auto const* aEndpoint) {
    return std::pair(aEndpoint->slowness >= kSlowFactor, aEndpoint->reservedBytes);
  });
  auto const serviceOrder = JobsInServiceOrder(aPool, aNow);
  for (auto* endpoint : free) {
    if (endpoint->slowness >= kSlowFactor && FastEndpointsKeepUp(aPool, waiting))
      continue;
    auto items = TakeItems(aPool, *endpoint, serviceOrder, aNow);
    if (items.empty())
      continue;
    waiting -= items.size();
    calls.push_back(StartCall(aPool, *endpoint, std::move(items), aNow));
  }
  return calls;
}

}
