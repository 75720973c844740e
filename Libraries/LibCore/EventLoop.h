#pragma once

#include "Clock.h"
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <uv.h>

namespace Hornbeam {

/// The single-threaded event loop of a process. KJ drives Cap'n Proto RPC, libwebsockets runs on an embedded libuv
/// loop, and the Clock provides the timers.
class EventLoop
{
public:
  explicit EventLoop(Clock& aClock);
  EventLoop(EventLoop const&) = delete;
  EventLoop& operator=(EventLoop const&) = delete;
  ~EventLoop() noexcept;

  /// Runs until Stop().
  void Run();

  /// Runs until Stop(), or until aCondition holds after an iteration of the loop.
  void RunUntil(std::function<bool()> const& aCondition);
  void Stop();

  /// Interrupts the wait of the loop. Must be called after a KJ callback has changed sockets or timers, so that the
  /// loop processes them before it waits.
  void Wake();

  kj::AsyncIoContext& Io() { return this->io; }
  /// The longest time for which signals and calls of other processes had to wait for the work of the embedded loop.
  Duration LongestTurn() const { return this->longestTurn; }

  uv_loop_t& UvLoop() { return this->embedded; }
  Clock& RuntimeClock() { return this->clock; }

private:
  Duration NextWait() const;
  /// Runs the embedded loop for a bounded number of turns; returns whether it has work left.
  bool RunEmbedded();
  bool HasEmbeddedWork() const;

  Clock& clock;
  kj::AsyncIoContext io;
  uv_loop_t embedded{};
  kj::Own<kj::UnixEventPort::FdObserver> observer;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> wake;
  bool stopped{ false };
  Duration longestTurn{ 0 };
};

}
