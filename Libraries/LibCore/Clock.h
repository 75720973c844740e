#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace Hornbeam {

using Duration = std::chrono::microseconds;
using MonotonicTime = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Calendar time, for values that other processes read. Within one process it never steps back.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;
using namespace std::chrono_literals;

/// Identifies a scheduled timer; zero never names one.
using TimerId = std::uint64_t;

enum class ClockMode
{
  Running,
  Paused,
};

/// The clock and the timers of one process. A running clock follows the time since boot, which also passes while the
/// VM is suspended. A paused clock moves only by Advance(), which runs each timer at its own instant.
class Clock
{
public:
  explicit Clock(ClockMode aMode);

  MonotonicTime Now() const;

  /// The earliest time at which a message that is read now can have arrived. After the process was paused, messages
  /// that came meanwhile are read late: for a short while the bound is the beginning of the pause.
  MonotonicTime ArrivalBound() const;

  /// The calendar time at the start of the process plus the time since.
  WallTime WallNow() const;

  /// Runs aAction once, aDelay from now.
  TimerId Schedule(Duration aDelay, std::function<void()> aAction);

  /// Forgets a timer; one that has run or was never scheduled is ignored.
  void Cancel(TimerId aTimer);

  std::optional<MonotonicTime> NextTimer() const;

  /// Runs the timers that are due now.
  void RunDue();

  /// Moves a paused clock.
  void Advance(Duration aStep);

  /// Moves a paused clock as a process sees it that was frozen meanwhile: first the time passes, then the timers run.
  void Jump(Duration aStep);

private:
  void RunUntil(MonotonicTime aLimit);
  void NoteTurn(MonotonicTime aNow);

  ClockMode mode;
  MonotonicTime pausedAt{ 1h };
  MonotonicTime startedAt{};
  WallTime wallAtStart{};
  MonotonicTime turnedAt{};
  MonotonicTime pauseBegan{};
  MonotonicTime pauseEnded{};
  TimerId lastTimer{ 0 };
  std::map<std::pair<MonotonicTime, TimerId>, std::function<void()>> timers;
  std::map<TimerId, MonotonicTime> dueTimes;
};

/// Whole milliseconds, for messages and logs.
std::int64_t
Milliseconds(Duration aDuration);

/// Seconds with their fraction.
double
Seconds(Duration aDuration);

Duration
FromSeconds(double aSeconds);

}
