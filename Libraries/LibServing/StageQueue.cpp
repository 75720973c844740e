#include "StageQueue.h"
#include <algorithm>
#include <span>
#include <tuple>

namespace Hornbeam::Gateway {

/// Margin on a job's expected wait, as a multiple of it: later arrivals may take precedence, and later stages have
/// queues as well.
static constexpr int kWaitMargin = 1;
/// Overloads with a shorter gap between them count as one.
static constexpr Duration kOverloadGap = 1s;

Duration
CallTime(StageLimits const& aLimits, std::size_t aItems)
{
  return aLimits.callTime + aLimits.itemTime * std::int64_t(aItems);
}

static unsigned
UsableEndpoints(StagePool const& aPool)
{
  auto const usable = std::ranges::count_if(aPool.endpoints, [](auto const& aEntry) {
    return !aEntry.second.leaving && aEntry.second.consecutiveFailures < 2;
  });
  return unsigned(usable);
}

/// Items per second that the pool completes with full batches.
static double
ItemsPerSecond(StagePool const& aPool)
{
  double const full = Seconds(CallTime(aPool.limits, aPool.limits.batch));
  return UsableEndpoints(aPool) * aPool.limits.slots * aPool.limits.batch / std::max(0.001, full);
}

/// Determines the service order. Jobs that can no longer be on time come after all that can, because serving them would
/// delay the others; then jobs are sorted by priority, then by the time at which the first response is due.
struct ServiceKey
{
  bool late{ false };
  int priority{ 0 };
  MonotonicTime due{};

  auto SortKey() const { return std::tuple(this->late, this->priority, this->due); }
};

static ServiceKey
KeyOf(StagePool const& aPool, StageJob const& aJob, std::size_t aItems, MonotonicTime aNow)
{
  auto const ready = aNow + CallTime(aPool.limits, aItems) + aJob.timeAfterStage;
  return { ready > aJob.target, aJob.priority, aJob.target };
}

Duration
ExpectedWait(StagePool const& aPool, StageJob const& aJob, MonotonicTime aNow)
{
  auto const own = KeyOf(aPool, aJob, aJob.items, aNow).SortKey();
  double ahead = 0;
  for (auto const& [id, pending] : aPool.jobs)
    if (!pending.waiting.empty() && KeyOf(aPool, pending.job, pending.waiting.size(), aNow).SortKey() <= own)
      ahead += double(pending.waiting.size());
  double const rate = ItemsPerSecond(aPool);
  if (rate <= 0)
    return 1s;
  // Calls in flight occupy the endpoints for another half of a call's duration on average.
  bool const busy =
    std::ranges::all_of(aPool.endpoints, [&](auto const& aEntry) { return aEntry.second.calls >= aPool.limits.slots; });
  auto const running = busy ? CallTime(aPool.limits, aPool.limits.batch) / 2 : Duration::zero();
  return running + FromSeconds(ahead / rate);
}

static void
RecordOverload(StagePool& aPool, MonotonicTime aNow)
{
  if (aNow - aPool.overloadLastSeen > kOverloadGap)
    aPool.overloadStarted = aNow;
  aPool.overloadLastSeen = aNow;
}

/// Predicts the remaining duration of an overload: as long as it has lasted so far.
static Duration
OverloadForecast(StagePool const& aPool, MonotonicTime aNow)
{
  if (aNow - aPool.overloadLastSeen > kOverloadGap)
    return Duration::zero();
  return aPool.overloadLastSeen - aPool.overloadStarted;
}

/// Returns whether a job that is expected to be ready at aReady, or aMargin later at worst, will miss its deadline.
/// Jobs that can no longer be on time are served after the overload.
static bool
CannotMeetDeadline(StagePool const& aPool,
                   StageJob const& aJob,
                   MonotonicTime aReady,
                   Duration aMargin,
                   MonotonicTime aNow)
{
  bool const late = aReady + aMargin > aJob.target;
  return aReady + (late ? OverloadForecast(aPool, aNow) : Duration::zero()) > aJob.deadline;
}

static Duration
RetryAfter(StagePool const& aPool, Duration aExpectedWait, MonotonicTime aNow)
{
  return std::max(aExpectedWait, OverloadForecast(aPool, aNow));
}

Duration
RetryAfter(StagePool const& aPool, StageJob const& aJob, MonotonicTime aNow)
{
  return RetryAfter(aPool, ExpectedWait(aPool, aJob, aNow), aNow);
}

std::optional<Duration>
RefusalRetryAfter(StagePool const& aPool, StageJob const& aJob, MonotonicTime aNow)
{
  auto const wait = ExpectedWait(aPool, aJob, aNow);
  auto const ready =
    aNow + wait + CallTime(aPool.limits, std::min(aJob.items, aPool.limits.batch)) + aJob.timeAfterStage;
  if (!CannotMeetDeadline(aPool, aJob, ready, kWaitMargin * wait, aNow))
    return std::nullopt;
  return RetryAfter(aPool, wait, aNow);
}

std::vector<StageJobId>
JobsMissingDeadline(StagePool const& aPool, MonotonicTime aNow)
{
  std::vector<StageJobId> missing;
  for (auto const& [id, pending] : aPool.jobs) {
    if (pending.cancelled || pending.waiting.empty())
      continue;
    auto const items = std::min<std::size_t>(pending.waiting.size(), aPool.limits.batch);
    auto const ready = aNow + CallTime(aPool.limits, items) + pending.job.timeAfterStage;
    if (CannotMeetDeadline(aPool, pending.job, ready, Duration::zero(), aNow))
      missing.push_back(id);
  }
  return missing;
}

using KeyedJob = std::pair<ServiceKey, StageJobId>;

/// Returns whether all jobs of one priority, in the order of their keys, can be on time behind aAhead items. Adds their
/// items to aAhead.
static bool
CanAllBeOnTime(StagePool const& aPool, std::span<KeyedJob const> aJobs, double& aAhead, MonotonicTime aNow)
{
  double const rate = std::max(1.0, ItemsPerSecond(aPool));
  bool onTime = true;
  for (auto const& [key, id] : aJobs) {
    auto const& pending = aPool.jobs.at(id);
    auto const wait = FromSeconds(aAhead / rate);
    auto const ready = aNow + wait + CallTime(aPool.limits, pending.waiting.size()) + pending.job.timeAfterStage;
    onTime = onTime && ready + kWaitMargin * wait <= key.due;
    aAhead += double(pending.waiting.size());
  }
  return onTime;
}

/// Reverses the order within each priority whose jobs cannot all be on time. Served by due time, all of them would be
/// slightly late; served newest first, those that are served are on time and have time left for later stages. Records
/// the overload and the backlog of jobs that can be on time.
static void
ArrangeForOverload(StagePool& aPool, std::vector<KeyedJob>& aJobs, MonotonicTime aNow)
{
  double ahead = 0;
  for (auto begin = aJobs.begin(); begin != aJobs.end() && !begin->first.late;) {
    auto const end = std::find_if(begin, aJobs.end(), [&](KeyedJob const& aJob) {
      return aJob.first.late || aJob.first.priority != begin->first.priority;
    });
    if (!CanAllBeOnTime(aPool, { begin, end }, ahead, aNow)) {
      std::reverse(begin, end);
      RecordOverload(aPool, aNow);
    }
    begin = end;
  }
  aPool.backlog = FromSeconds(ahead / std::max(1.0, ItemsPerSecond(aPool)));
}

std::vector<StageJobId>
JobsInServiceOrder(StagePool& aPool, MonotonicTime aNow)
{
  std::vector<KeyedJob> keys;
  for (auto const& [id, pending] : aPool.jobs)
    if (!pending.waiting.empty() && !pending.cancelled)
      keys.emplace_back(KeyOf(aPool, pending.job, pending.waiting.size(), aNow), id);
  std::ranges::sort(keys, {}, [](KeyedJob const& aJob) { return std::pair(aJob.first.SortKey(), aJob.second); });
  ArrangeForOverload(aPool, keys, aNow);
  std::vector<StageJobId> result;
  result.reserve(keys.size());
  for (auto const& [key, id] : keys)
    result.push_back(id);
  return result;
}

}
