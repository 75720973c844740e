#include "Clock.h"
#include "Verify.h"
#include <ctime>

namespace Hornbeam {

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
Clock::RunDue()
{
  this->RunUntil(this->Now());
}

void
Clock::Advance(Duration aStep)
{
  VERIFY(this->mode == ClockMode::Paused);
  auto const target = this->pausedAt + aStep;
  this->RunUntil(target);
  this->pausedAt = target;
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
    action();
  }
}

std::int64_t
Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

}
