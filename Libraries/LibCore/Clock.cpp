#include "Clock.h"
#include "Guard.h"
#include "Verify.h"
#include <ctime>

namespace Hornbeam {

/// An event loop that completed no iteration for this long is assumed to have been paused. In normal operation the
/// timers of the services wake it much more often.
static constexpr Duration kPauseThreshold = 300ms;
/// How long after a pause the loop may still be reading messages that arrived during it.
static constexpr Duration kBacklogWindow = 200ms;

static MonotonicTime
TimeSinceBoot()
{
  timespec value{};
  VERIFY(clock_gettime(CLOCK_BOOTTIME, &value) == 0);
  auto const sinceBoot = std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec);
  return MonotonicTime(std::chrono::duration_cast<Duration>(sinceBoot));
}

Clock::Clock(ClockMode aMode)
  : mode(aMode)
{
  this->startedAt = this->Now();
  this->lastIterationAt = this->startedAt;
  bool const running = aMode == ClockMode::Running;
  this->wallAtStart = running ? std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())
                              : WallTime(std::chrono::hours(24 * 365 * 50));
}

MonotonicTime
Clock::Now() const
{
  if (this->mode == ClockMode::Paused)
    return this->pausedAt;
  return TimeSinceBoot();
}

WallTime
Clock::WallNow() const
{
  return this->wallAtStart + (this->Now() - this->startedAt);
}

TimerId
Clock::Schedule(Duration aDelay, std::function<void()> aAction)
{
  auto const timer = ++this->lastTimer;
  auto const due = this->Now() + aDelay;
  this->timers.emplace(std::pair(due, timer), std::move(aAction));
  this->dueTimes.emplace(timer, due);
  return timer;
}

void
Clock::Cancel(TimerId aTimer)
{
  auto const found = this->dueTimes.find(aTimer);
  if (found == this->dueTimes.end())
    return;
  this->timers.erase(std::pair(found->second, aTimer));
  this->dueTimes.erase(found);
}

std::optional<MonotonicTime>
Clock::NextTimer() const
{
  if (this->timers.empty())
    return std::nullopt;
  return this->timers.begin()->first.first;
}

void
Clock::RecordIteration(MonotonicTime aNow)
{
  if (aNow - this->lastIterationAt > kPauseThreshold) {
    this->pauseBegan = this->lastIterationAt;
    this->pauseEnded = aNow;
  }
  this->lastIterationAt = aNow;
}

MonotonicTime
Clock::EarliestArrival() const
{
  auto const now = this->Now();
  if (now - this->lastIterationAt > kPauseThreshold)
    return this->lastIterationAt;
  bool const backlog = this->pauseEnded != MonotonicTime() && now - this->pauseEnded < kBacklogWindow;
  return backlog ? this->pauseBegan : now;
}

void
Clock::RunDue()
{
  auto const now = this->Now();
  this->RecordIteration(now);
  this->RunUntil(now);
}

void
Clock::Advance(Duration aStep)
{
  VERIFY(this->mode == ClockMode::Paused);
  auto const target = this->pausedAt + aStep;
  this->RunUntil(target);
  this->pausedAt = target;
  this->lastIterationAt = target;
}

void
Clock::Jump(Duration aStep)
{
  VERIFY(this->mode == ClockMode::Paused);
  this->pausedAt += aStep;
  this->RecordIteration(this->pausedAt);
  this->RunUntil(this->pausedAt);
}

void
Clock::RunUntil(MonotonicTime aLimit)
{
  while (!this->timers.empty() && this->timers.begin()->first.first <= aLimit) {
    auto const first = this->timers.begin();
    auto const [due, timer] = first->first;
    auto const action = std::move(first->second);
    this->timers.erase(first);
    this->dueTimes.erase(timer);
    if (this->mode == ClockMode::Paused && due > this->pausedAt)
      this->pausedAt = due;
    RunGuarded("timer", action);
  }
}

std::int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

}
