#include <LibServing/LibServing.h>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace Hornbeam::Gateway {

namespace {

constexpr Duration kGraceTime = 8s;
constexpr Duration kAddressLifetime = 2s;
constexpr MonotonicTime kStart{ 1h };
std::string const kRoute = "route";

RemainingWork
WorkUntil(MonotonicTime aDeadline)
{
  return { kRoute, 1s, aDeadline };
}

}

// A stopping front counted on the whole timeout of a route, although its process ended before.
TEST(StopPlan, EndsRequestsAndProcessWithinTheGraceTime)
{
  for (Duration const grace : { Duration(0), Duration(100ms), Duration(2s), Duration(kGraceTime) }) {
    auto const plan = PlanStop(grace, kAddressLifetime, kStart);
    EXPECT_LE(kStart, plan.requestsEnd);
    EXPECT_LE(plan.requestsEnd, plan.processEnd);
    EXPECT_LE(plan.processEnd, kStart + grace);
    EXPECT_LE(plan.callersGone, plan.requestsEnd);
  }
}

// What a front accepts while it stops ends before the stop.
TEST(StopPlan, AcceptsWhatEndsBeforeTheStop)
{
  auto const plan = PlanStop(kGraceTime, kAddressLifetime, kStart);
  auto const accepts = [&](Duration aAt, Duration aNeeded, Duration aTimeout, OtherFronts aOthers) {
    return AcceptsDuringStop(plan, WorkUntil(kStart + aAt + aTimeout), aNeeded, aOthers, kStart + aAt);
  };
  EXPECT_TRUE(accepts(0s, 6s, 20s, OtherFronts::Most));
  EXPECT_FALSE(accepts(2s, 6s, 20s, OtherFronts::Most));
  // After the time in which the platform excuses a wrong estimate, only the deadline counts.
  EXPECT_TRUE(accepts(4s, 2s, 3s, OtherFronts::Most));
  EXPECT_FALSE(accepts(4s, 1s, 20s, OtherFronts::Most));
  // If no other front can serve the request, a careful estimate is better than a refusal.
  EXPECT_TRUE(accepts(4s, 1s, 20s, OtherFronts::None));
  EXPECT_FALSE(accepts(4s, 2s, 20s, OtherFronts::None));
}

// Requests that came late in the grace time were passed on and cut with no answer at its end: with other fronts there,
// nothing is accepted on an estimate then, and what is accepted ends before the process even at its deadline.
RC_GTEST_PROP(StopPlan, AcceptsNothingLateThatMayOutliveTheProcess, ())
{
  auto const draw = [](int aFrom, int aTo) { return std::chrono::milliseconds(*rc::gen::inRange(aFrom, aTo)); };
  Duration const grace = draw(100, 30000);
  auto const plan = PlanStop(grace, draw(0, 6000), kStart);
  Duration const at = draw(3000, 31000);
  auto const deadline = kStart + at + draw(1, 30000);
  // Whatever the estimate is, and however wrong.
  Duration const needed = draw(0, 10000);
  auto const others = *rc::gen::element(OtherFronts::Few, OtherFronts::Most);
  if (AcceptsDuringStop(plan, WorkUntil(deadline), needed, others, kStart + at)) {
    RC_ASSERT(deadline <= plan.requestsEnd);
    RC_ASSERT(deadline < kStart + grace);
  }
}

// An estimate from too few requests, or from the typical one, accepted streams that were cut.
TEST(StopPlan, EstimatesByTheLongestRecentRequest)
{
  DurationHistory history;
  auto const work = WorkUntil(kStart + 20s);
  EXPECT_EQ(EstimateWhole(history, work), 2s);
  for (unsigned index = 0; index < 20; ++index)
    RecordDurations(history, kRoute, index == 3 ? Duration(4s) : Duration(1s), 500ms);
  EXPECT_GE(EstimateWhole(history, work), 4s);
  EXPECT_LT(EstimateAnswering(history, work), 1s);
  // An old outlier is forgotten.
  for (unsigned index = 0; index < 64; ++index)
    RecordDurations(history, kRoute, 1s, 500ms);
  EXPECT_LT(EstimateWhole(history, work), 2s);
}

// A stopping front without another one took a stream of a route of which it had seen no stream yet, because its first
// event was due before the stop, and cut it in the middle.
TEST(StopPlan, AcceptsNothingUnknownOnceEstimatesAreNotExcused)
{
  auto const plan = PlanStop(kGraceTime, kAddressLifetime, kStart);
  DurationHistory history;
  auto const accepts = [&](Duration aAt) {
    auto const now = kStart + aAt;
    RemainingWork const work{ kRoute, 500ms, now + 20s };
    auto const needed = EstimateDuringStop(plan, history, work, 0s, now);
    return AcceptsDuringStop(plan, work, needed, OtherFronts::None, now);
  };
  EXPECT_TRUE(accepts(1s));
  EXPECT_FALSE(accepts(4s));
  for (unsigned index = 0; index < 10; ++index)
    RecordDurations(history, kRoute, 1s, 500ms);
  EXPECT_TRUE(accepts(4s));
  for (unsigned index = 0; index < 10; ++index)
    RecordDurations(history, kRoute, 2s, 500ms);
  EXPECT_FALSE(accepts(4s));
}

// The history kept the routes of all tables that a front had ever had.
TEST(StopPlan, BoundsTheNumberOfRoutes)
{
  DurationHistory history;
  for (unsigned index = 0; index < 10000; ++index)
    RecordDurations(history, "route-" + std::to_string(index), 1s, 1s);
  EXPECT_LE(history.size(), 1024U);
  EXPECT_TRUE(history.contains("route-9999"));
}

// A front that had been up for some seconds knew only the short streams of a route; long ones were still in progress.
TEST(StopPlan, CountsTheOldestRequestInProgress)
{
  auto const plan = PlanStop(kGraceTime, kAddressLifetime, kStart);
  DurationHistory history;
  for (unsigned index = 0; index < 10; ++index)
    RecordDurations(history, kRoute, 500ms, 500ms);
  auto const now = kStart + 4s;
  auto const work = WorkUntil(now + 20s);
  auto const accepts = [&](Duration aOldest) {
    auto const needed = EstimateDuringStop(plan, history, work, aOldest, now);
    return AcceptsDuringStop(plan, work, needed, OtherFronts::None, now);
  };
  EXPECT_TRUE(accepts(500ms));
  EXPECT_FALSE(accepts(5s));
}

// The process ended in the same moment in which its last request had ended, with responses unsent.
TEST(StopPlan, ClosesConnectionsBeforeTheProcessEnds)
{
  auto const plan = PlanStop(kGraceTime, kAddressLifetime, kStart);
  StopProgress progress;
  progress.connections = 3;
  EXPECT_EQ(NextStopStep(plan, progress, kStart + 100ms), StopStep::Serve);
  auto const idle = plan.callersGone;
  EXPECT_EQ(NextStopStep(plan, progress, idle), StopStep::CloseConnections);
  progress.step = StopStep::CloseConnections;
  EXPECT_EQ(NextStopStep(plan, progress, idle + 50ms), StopStep::CloseConnections);
  EXPECT_EQ(NextStopStep(plan, progress, plan.processEnd), StopStep::EndProcess);
  progress.connections = 0;
  EXPECT_EQ(NextStopStep(plan, progress, idle + 100ms), StopStep::EndProcess);
  // Work in progress delays the end, but not beyond the plan.
  progress = { 1, false, 3, StopStep::Serve };
  EXPECT_EQ(NextStopStep(plan, progress, idle), StopStep::Serve);
  EXPECT_EQ(NextStopStep(plan, progress, plan.requestsEnd), StopStep::CloseConnections);
  progress = { 0, true, 0, StopStep::Serve };
  EXPECT_EQ(NextStopStep(plan, progress, idle), StopStep::Serve);
}

// Callers were sent back to fronts that were stopping, too, by a Retry-After that was too short.
TEST(StopPlan, SendsCallersBackOnceTheirAddressesAreNew)
{
  FrontSet fronts;
  for (auto const* name : { "a", "b", "c", "d" })
    ApplyFront(fronts, { name, "", "", "", 1, 1 }, 1);
  EXPECT_EQ(FindOtherFronts(fronts, "a", kStart), OtherFronts::Most);
  RemoveFront(fronts, "b", kStart);
  EXPECT_EQ(FindOtherFronts(fronts, "a", kStart), OtherFronts::Most);
  RemoveFront(fronts, "c", kStart);
  EXPECT_EQ(FindOtherFronts(fronts, "a", kStart), OtherFronts::Few);
  EXPECT_EQ(FindOtherFronts(fronts, "a", kStart + 6s), OtherFronts::Most);
  RemoveFront(fronts, "d", kStart);
  EXPECT_EQ(FindOtherFronts(fronts, "a", kStart), OtherFronts::None);
  EXPECT_LT(RetryAfterDuringStop(OtherFronts::Most), RetryAfterDuringStop(OtherFronts::Few));
  EXPECT_LT(RetryAfterDuringStop(OtherFronts::Few), RetryAfterDuringStop(OtherFronts::None));
}

namespace {

/// A fleet whose fronts are stopped in turn, and callers that use cached addresses, in simulated time.
struct RollingRestart
{
  struct Front
  {
    std::optional<StopPlan> plan;
    MonotonicTime busyUntil{};
    MonotonicTime backAt{};
    DurationHistory history;
  };
  struct Caller
  {
    std::vector<unsigned> addresses;
    MonotonicTime asked{};
    Duration lifetime{};
    /// For how many lifetimes of a directory response the caller uses it.
    unsigned patience{ 1 };
  };

  static constexpr Duration kLifetime = 700ms;
  static constexpr Duration kPropagation = 200ms;
  static constexpr Duration kStartTime = 900ms;
  static constexpr Duration kTimeout = 20s;

  RollingRestart(unsigned aFronts, unsigned aSeed)
    : fronts(aFronts)
    , callers(5 * std::size_t(aFronts))
    , random(aSeed)
  {
    for (std::size_t index = 0; index < this->callers.size(); ++index)
      this->callers[index].patience = index % 3 == 0 ? 3 : 1;
  }

  bool IsGone(Front const& aFront, MonotonicTime aNow) const { return aFront.plan && aNow >= EndOf(aFront); }

  static MonotonicTime EndOf(Front const& aFront)
  {
    return std::max(aFront.plan->callersGone, std::min(aFront.busyUntil, aFront.plan->requestsEnd));
  }

  void Step(MonotonicTime aNow)
  {
    for (auto& front : this->fronts)
      if (front.plan && aNow >= EndOf(front) + kStartTime)
        front = {};
    for (auto& caller : this->callers)
      if (this->random() % 25 == 0)
        this->Send(caller, aNow);
  }

  void Send(Caller& aCaller, MonotonicTime aNow)
  {
    if (aCaller.addresses.empty() || aNow - aCaller.asked >= aCaller.lifetime) {
      std::vector<unsigned> listed;
      aCaller.lifetime = aCaller.patience * kLifetime;
      for (unsigned index = 0; index < this->fronts.size(); ++index)
        if (!this->fronts[index].plan || aNow - this->fronts[index].plan->began < kPropagation)
          listed.push_back(index);
      // While all fronts are stopping, the directory of each names itself.
      for (unsigned index = 0; listed.empty() && index < this->fronts.size(); ++index)
        if (!this->IsGone(this->fronts[index], aNow)) {
          listed.push_back(index);
          aCaller.lifetime = aCaller.patience * kLifetimeWhileStopping;
        }
      if (!listed.empty()) {
        aCaller.addresses = listed;
        aCaller.asked = aNow;
      }
    }
    auto& front = this->fronts[aCaller.addresses[this->random() % aCaller.addresses.size()]];
    ++this->sent;
    if (this->IsGone(front, aNow)) {
      ++this->metClosedPort;
      return;
    }
    auto const took = Duration(300ms) + std::chrono::milliseconds(this->random() % 1500);
    auto const work = WorkUntil(aNow + kTimeout);
    auto const needed = EstimateWhole(front.history, work);
    bool const accepted = !front.plan || AcceptsDuringStop(*front.plan, work, needed, OtherFronts::Most, aNow);
    if (!accepted) {
      ++this->refused;
      return;
    }
    RecordDurations(front.history, kRoute, took, took);
    front.busyUntil = std::max(front.busyUntil, aNow + took);
    if (front.plan && aNow + took > front.plan->requestsEnd)
      ++this->cut;
  }

  std::vector<Front> fronts;
  std::vector<Caller> callers;
  std::minstd_rand random;
  unsigned sent{ 0 };
  unsigned refused{ 0 };
  unsigned cut{ 0 };
  unsigned metClosedPort{ 0 };
};

class RollingRestarts : public testing::TestWithParam<unsigned>
{};

}

// Restarting all fronts in turn cut streams, and callers with cached addresses met closed ports.
TEST_P(RollingRestarts, CutNothingAndLeaveNoCallerAtAClosedPort)
{
  RollingRestart fleet(GetParam(), 20261204);
  unsigned stopped = 0;
  auto const end = kStart + fleet.fronts.size() * 500ms + 20s;
  for (auto now = kStart; now < end; now += 20ms) {
    if (stopped < fleet.fronts.size() && now >= kStart + 1s + stopped * 500ms)
      fleet.fronts[stopped++].plan = PlanStop(kGraceTime, 3 * RollingRestart::kLifetime, now);
    fleet.Step(now);
  }
  EXPECT_GT(fleet.sent, 1000U);
  EXPECT_EQ(fleet.cut, 0U);
  EXPECT_EQ(fleet.metClosedPort, 0U);
}

INSTANTIATE_TEST_SUITE_P(Sizes, RollingRestarts, testing::Values(7U, 195U, 370U));

}
