#include "StageQueue.h"
#include <algorithm>
#include <span>
#include <tuple>

namespace Hornbeam::Gateway {

/// Margin on a job's expected wait, as a multiple of it: later arrivals may take precedence, and later stages have
/// queues as well.
static constexpr int kWaitMargin = 1;
/// Late jobs follow all others for this part of the time between their target and their deadline.
static constexpr int kPatienceDivisor = 4;
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

/// Returns whether an overload of jobs at least as urgent as aPriority goes on.
static bool
IsOverloaded(StagePool const& aPool, int aPriority, MonotonicTime aNow)
{
  return std::ranges::any_of(aPool.overloads, [&](auto const& aEntry) {
    return aEntry.first <= aPriority && aNow - aEntry.second.lastSeen <= kOverloadGap;
  });
}

/// Determines the service order: by priority, then by the time at which the first response is due. Late jobs follow all
/// that can be on time, because serving them would delay those. From a quarter of the time between their target and
/// their deadline on, they follow only those of their own or a more urgent priority, unless these exceed the capacity:
/// late jobs of an urgent kind must not miss their deadline for a less urgent kind.
struct ServiceKey
{
  bool last{ false };
  int priority{ 0 };
  bool late{ false };
  MonotonicTime due{};

  auto SortKey() const { return std::tuple(this->last, this->priority, this->late, this->due); }
};

static ServiceKey
KeyOf(StagePool const& aPool, StageJob const& aJob, std::size_t aItems, MonotonicTime aNow)
{
  auto const ready = aNow + CallTime(aPool.limits, aItems) + aJob.timeAfterStage;
  bool const late = ready > aJob.target;
  bool const patient = ready < aJob.target + (aJob.deadline - aJob.target) / kPatienceDivisor;
  bool const last = late && (patient || IsOverloaded(aPool, aJob.priority, aNow));
  return { last, aJob.priority, late, aJob.target };
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
RecordOverload(StagePool& aPool, int aPriority, MonotonicTime aNow)
{
  auto& overload = aPool.overloads[aPriority];
  if (aNow - overload.lastSeen > kOverloadGap)
    overload.started = aNow;
  overload.lastSeen = aNow;
}

/// Predicts the remaining duration of the overload by jobs at least as urgent as aPriority: as long as it has lasted so
/// far.
static Duration
OverloadForecast(StagePool const& aPool, int aPriority, MonotonicTime aNow)
{
  Duration longest{ 0 };
  for (auto const& [priority, overload] : aPool.overloads)
    if (priority <= aPriority && aNow - overload.lastSeen <= kOverloadGap)
      longest = std::max<Duration>(longest, overload.lastSeen - overload.started);
  return longest;
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
  return aReady + (late ? OverloadForecast(aPool, aJob.priority, aNow) : Duration::zero()) > aJob.deadline;
}

static Duration
RetryAfter(StagePool const& aPool, StageJob const& aJob, Duration aExpectedWait, MonotonicTime aNow)
{
  return std::max(aExpectedWait, OverloadForecast(aPool, aJob.priority, aNow));
}

Duration
RetryAfter(StagePool const& aPool, StageJob const& aJob, MonotonicTime aNow)
{
  return RetryAfter(aPool, aJob, ExpectedWait(aPool, aJob, aNow), aNow);
}

std::optional<Duration>
RefusalRetryAfter(StagePool const& aPool, StageJob const& aJob, MonotonicTime aNow)
{
  auto const wait = ExpectedWait(aPool, aJob, aNow);
  auto const ready =
    aNow + wait + CallTime(aPool.limits, std::min(aJob.items, aPool.limits.batch)) + aJob.timeAfterStage;
  if (!CannotMeetDeadline(aPool, aJob, ready, kWaitMargin * wait, aNow))
    return std::nullopt;
  return RetryAfter(aPool, aJob, wait, aNow);
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
  for (auto begin = aJobs.begin(); begin != aJobs.end() && !begin->first.last;) {
    auto const end = std::find_if(begin, aJobs.end(), [&](KeyedJob const& aJob) {
      return aJob.first.last || aJob.first.late != begin->first.late || aJob.first.priority != begin->first.priority;
    });
    if (begin->first.late) {
      for (auto job = begin; job != end; ++job)
        ahead += double(aPool.jobs.at(job->second).waiting.size());
    } else if (!CanAllBeOnTime(aPool, { begin, end }, ahead, aNow)) {
      std::reverse(begin, end);
      RecordOverload(aPool, begin->first.priority, aNow);
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
