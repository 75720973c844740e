#include <LibCore/LibCore.h>
#include <gtest/gtest.h>

using namespace Hornbeam;

namespace {

TEST(Clock, RunsTimersInOrderAtTheirDueTimes)
{
  Clock clock(ClockMode::Paused);
  auto const start = clock.Now();
  std::vector<Duration> ran;
  clock.Schedule(20ms, [&] { ran.push_back(clock.Now() - start); });
  clock.Schedule(10ms, [&] {
    ran.push_back(clock.Now() - start);
    clock.Schedule(5ms, [&] { ran.push_back(clock.Now() - start); });
  });
  auto const cancelled = clock.Schedule(12ms, [&] { ran.push_back(0ms); });
  clock.Cancel(cancelled);
  clock.Advance(30ms);
  EXPECT_EQ(ran, (std::vector<Duration>{ 10ms, 15ms, 20ms }));
}

// An unexpected error in one timer's action ended the process, or kept the timers after it from running.
TEST(Clock, RunsOtherTimersAfterOneThrew)
{
  Clock clock(ClockMode::Paused);
  auto const caughtBefore = CaughtExceptions();
  unsigned ran = 0;
  clock.Schedule(10ms, [] { throw std::length_error("a field is too long"); });
  clock.Schedule(10ms, [&] { ++ran; });
  clock.Schedule(20ms, [&] { ++ran; });
  clock.Advance(30ms);
  EXPECT_EQ(ran, 2U);
  EXPECT_EQ(CaughtExceptions(), caughtBefore + 1);
}

TEST(Clock, DatesMessagesReadAfterAPauseToItsStart)
{
  // After a front is frozen and resumed it must not run requests whose callers have already timed out (scenario
  // front-frozen).
  Clock clock(ClockMode::Paused);
  clock.Advance(1s);
  auto const before = clock.Now();
  EXPECT_EQ(clock.EarliestArrival(), before);
  clock.Jump(10s);
  EXPECT_EQ(clock.EarliestArrival(), before);
  clock.Advance(1s);
  EXPECT_EQ(clock.EarliestArrival(), clock.Now());
}

TEST(Kernel, FindsServicesByNameAndType)
{
  Kernel kernel;
  int number = 7;
  std::string const text = "settings";
  kernel.Provide("number", number);
  kernel.Provide("text", text);
  EXPECT_EQ(&kernel.Find<int>("number"), &number);
  EXPECT_EQ(&kernel.Find<std::string const>("text"), &text);
  EXPECT_DEATH(kernel.Find<int>("absent"), "no service named absent");
  EXPECT_DEATH(kernel.Find<double>("number"), "another type");
}

}
