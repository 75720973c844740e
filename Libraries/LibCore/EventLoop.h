#pragma once

#include "Clock.h"
#include <kj/async-io.h>
#include <kj/async-unix.h>
#include <uv.h>

namespace Hornbeam {

/// The one loop of a process, on one thread. KJ drives Cap'n Proto RPC; libwebsockets runs on an embedded libuv loop;
/// timers belong to the Clock.
class EventLoop
{
public:
  explicit EventLoop(Clock& aClock);
  EventLoop(EventLoop const&) = delete;
  EventLoop& operator=(EventLoop const&) = delete;
  ~EventLoop() noexcept;

  /// Runs until Stop().
  void Run();

  /// Runs until Stop(), or until aCondition holds after a turn of the loop.
  void RunUntil(std::function<bool()> const& aCondition);
  void Stop();

  /// Must be called after a KJ callback touched sockets or timers, so that the loop looks at them before it waits.
  void Wake();

  kj::AsyncIoContext& Io() { return this->io; }
  uv_loop_t& Embedded() { return this->embedded; }
  Clock& RuntimeClock() { return this->clock; }

private:
  Duration NextWait() const;
  void RunEmbedded();
  bool HasEmbeddedWork() const;

  Clock& clock;
  kj::AsyncIoContext io;
  uv_loop_t embedded{};
  kj::Own<kj::UnixEventPort::FdObserver> observer;
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> wake;
  bool stopped{ false };
};

}
