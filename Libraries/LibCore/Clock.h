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
/// Wall-clock time, for values that other processes read. It is monotonic within one process.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;
using namespace std::chrono_literals;

/// Identifies a scheduled timer. Zero is never a valid id.
using TimerId = std::uint64_t;

enum class ClockMode
{
  Running,
  Paused,
};

/// The clock and the timers of one process. A running clock follows the time since boot (CLOCK_BOOTTIME), which
/// includes the time that the VM was suspended. A paused clock moves only by Advance(), which runs each timer at its
/// due time, and by Jump().
class Clock
{
public:
  explicit Clock(ClockMode aMode);

  MonotonicTime Now() const;

  /// The earliest time at which a message that is read now can have arrived. Messages that arrive while the process is
  /// paused are read late, so for a short time after a pause the bound is the start of that pause.
  MonotonicTime EarliestArrival() const;

  /// The wall-clock time at construction plus the time elapsed since then.
  WallTime WallNow() const;

  /// Runs aAction once, after aDelay.
  TimerId Schedule(Duration aDelay, std::function<void()> aAction);

  /// Cancels a timer. Does nothing if it has already run or was never scheduled.
  void Cancel(TimerId aTimer);

  std::optional<MonotonicTime> NextTimer() const;

  /// Runs all timers that are due.
  void RunDue();

  /// Advances a paused clock and runs each timer at its due time.
  void Advance(Duration aStep);

  /// Advances a paused clock as seen by a process that was frozen: the whole step elapses before any timer runs.
  void Jump(Duration aStep);

private:
  void RunUntil(MonotonicTime aLimit);
  void RecordIteration(MonotonicTime aNow);

  ClockMode mode;
  MonotonicTime pausedAt{ 1h };
  MonotonicTime startedAt{};
  WallTime wallAtStart{};
  MonotonicTime lastIterationAt{};
  MonotonicTime pauseBegan{};
  MonotonicTime pauseEnded{};
  TimerId lastTimer{ 0 };
  std::map<std::pair<MonotonicTime, TimerId>, std::function<void()>> timers;
  std::map<TimerId, MonotonicTime> dueTimes;
};

/// Converts to whole milliseconds, for messages and logs.
std::int64_t
Milliseconds(Duration aDuration);

/// Converts to fractional seconds.
double
Seconds(Duration aDuration);

Duration
FromSeconds(double aSeconds);

}
