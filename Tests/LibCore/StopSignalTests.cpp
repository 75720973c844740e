#include <csignal>
#include <gtest/gtest.h>
#include <hornbeamfront/StopSignal.h>

using namespace Hornbeam;

namespace {

/// How often the action runs when the signals are sent to this process, before and while the loop runs.
int
CountActions(std::vector<int> const& aBefore, std::vector<int> const& aWhile)
{
  sigset_t maskBefore;
  sigprocmask(SIG_SETMASK, nullptr, &maskBefore);
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  int actions = 0;
  {
    Clock clock(ClockMode::Running);
    EventLoop loop(clock);
    for (int const signal : aBefore)
      kill(getpid(), signal);
    auto const stop = AwaitStop(loop, [&] { ++actions; }).eagerlyEvaluate(nullptr);
    clock.Schedule(20ms, [&] {
      for (int const signal : aWhile)
        kill(getpid(), signal);
    });
    clock.Schedule(100ms, [&] { loop.Stop(); });
    loop.Run();
  }
  // Signals that nothing awaited stay pending; they must not end the test.
  sigset_t stops;
  sigemptyset(&stops);
  sigaddset(&stops, SIGTERM);
  sigaddset(&stops, SIGINT);
  timespec const now{ 0, 0 };
  while (sigtimedwait(&stops, nullptr, &now) > 0) {
  }
  sigprocmask(SIG_SETMASK, &maskBefore, nullptr);
  return actions;
}

// A second signal must neither repeat the stop nor end the process at once.
TEST(StopSignal, ActsOnceOnRepeatedAndMixedSignals)
{
  EXPECT_EQ(CountActions({}, { SIGTERM }), 1);
  EXPECT_EQ(CountActions({}, { SIGTERM, SIGTERM, SIGINT }), 1);
  EXPECT_EQ(CountActions({}, { SIGINT, SIGTERM }), 1);
}

// A signal that arrives before the loop runs must not be lost.
TEST(StopSignal, ActsOnceOnSignalsDuringStart)
{
  EXPECT_EQ(CountActions({ SIGTERM }, {}), 1);
  EXPECT_EQ(CountActions({ SIGTERM, SIGINT }, { SIGTERM }), 1);
}

}
