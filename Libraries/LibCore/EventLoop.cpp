#include "EventLoop.h"
#include "Log.h"
#include "Verify.h"
#include <algorithm>
#include <poll.h>

namespace Hornbeam {

/// Upper bound on the wait of an idle loop.
static constexpr Duration kIdleWait = 1s;
/// How often the embedded loop runs before KJ gets its turn, however much work is left.
static constexpr unsigned kMaxEmbeddedTurns = 4;

EventLoop::EventLoop(Clock& aClock)
  : clock(aClock)
  , io(kj::setupAsyncIo())
{
  VERIFY(uv_loop_init(&this->embedded) == 0);
  this->observer = kj::heap<kj::UnixEventPort::FdObserver>(
    this->io.unixEventPort, uv_backend_fd(&this->embedded), kj::UnixEventPort::FdObserver::OBSERVE_READ);
}

EventLoop::~EventLoop() noexcept
{
  this->observer = nullptr;
  uv_loop_close(&this->embedded);
}

void
EventLoop::Run()
{
  this->RunUntil([] { return false; });
}

void
EventLoop::RunUntil(std::function<bool()> const& aCondition)
{
  auto& timer = this->io.provider->getTimer();
  while (!this->stopped) {
    auto const began = this->clock.Now();
    this->clock.RunDue();
    bool const workIsLeft = this->RunEmbedded();
    if (aCondition())
      return;
    FlushLog();
    this->longestTurn = std::max<Duration>(this->longestTurn, this->clock.Now() - began);
    auto ready = kj::newPromiseAndFulfiller<void>();
    this->wake = kj::mv(ready.fulfiller);
    // The wait polls for signals and for KJ's connections, even if it is zero.
    auto const wait = workIsLeft ? Duration::zero() : this->NextWait();
    auto event = this->observer->whenBecomesReadable()
                   .exclusiveJoin(kj::mv(ready.promise))
                   .exclusiveJoin(timer.afterDelay(wait.count() * kj::MICROSECONDS));
    event.wait(this->io.waitScope);
    this->wake = nullptr;
  }
}

bool
EventLoop::RunEmbedded()
{
  // KJ polls edge-triggered: events that are left unhandled here do not raise another edge.
  for (unsigned turn = 0; turn < kMaxEmbeddedTurns; ++turn) {
    uv_run(&this->embedded, UV_RUN_NOWAIT);
    this->clock.RunDue();
    if (this->stopped || !this->HasEmbeddedWork())
      return false;
  }
  return true;
}

bool
EventLoop::HasEmbeddedWork() const
{
  if (uv_loop_alive(&this->embedded) == 0)
    return false;
  if (uv_backend_timeout(&this->embedded) == 0)
    return true;
  // libuv stops reading after a short read, although the end of the stream may already be pending.
  pollfd descriptor{ uv_backend_fd(&this->embedded), POLLIN, 0 };
  return poll(&descriptor, 1, 0) > 0;
}

Duration
EventLoop::NextWait() const
{
  Duration wait = kIdleWait;
  // libuv reports a timeout of zero when it has no active handles.
  int const timeout = uv_loop_alive(&this->embedded) != 0 ? uv_backend_timeout(&this->embedded) : -1;
  if (timeout >= 0)
    wait = std::min<Duration>(wait, std::chrono::milliseconds(timeout));
  if (auto const next = this->clock.NextTimer())
    wait = std::min(wait, std::max(Duration::zero(), *next - this->clock.Now()));
  return this->stopped ? Duration::zero() : wait;
}

void
EventLoop::Stop()
{
  this->stopped = true;
  this->Wake();
}

void
EventLoop::Wake()
{
  KJ_IF_MAYBE (fulfiller, this->wake)
    (*fulfiller)->fulfill();
}

}
