#include "RolloutFleet.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Hornbeam::Testing {

using State = std::optional<RolloutState>;

static void
ExpectRolledBack(RolloutFleet& aFleet, std::string const& aCase)
{
  aFleet.RunTo(1.2);
  EXPECT_EQ(aFleet.order.recorded, State(RolloutState::RolledBack)) << aCase;
  EXPECT_TRUE(aFleet.IsWithinExposure()) << aCase << " " << aFleet.toTarget << " of " << aFleet.requests;
  EXPECT_LE(aFleet.endedAt.value_or(9), 1) << aCase;
  auto const lastAllowed = aFleet.fiftiethBad.value_or(MonotonicTime::max() - 1h) + aFleet.rules.rollbackTime;
  EXPECT_LE(aFleet.lastToTarget, lastAllowed) << aCase;
}

static void
ExpectCompleted(RolloutFleet& aFleet, std::string const& aCase)
{
  aFleet.RunTo(1.2);
  EXPECT_EQ(aFleet.order.recorded, State(RolloutState::Completed)) << aCase << " " << aFleet.reason;
  EXPECT_LE(aFleet.endedAt.value_or(9), 1) << aCase;
  EXPECT_EQ(aFleet.outstandingAtEnd, 0U) << aCase;
  EXPECT_EQ(aFleet.toOtherAfterEnd, 0U) << aCase;
}

// A good version was not completed in time, or was completed while requests ran at the old one.
TEST(Rollout, CompletesAGoodVersionInFleetsOfAnySize)
{
  for (std::size_t const fronts : { 1, 7, 88, 195, 370 })
    for (auto const duration : { 12s, 60s }) {
      RolloutFleet fleet(fronts, duration, 1);
      // Both versions fail and are slow alike now and then.
      fleet.behavior = [](SimulatedCall& aCall) { aCall.failureShare = 0.01; };
      ExpectCompleted(fleet, std::to_string(fronts) + " fronts, " + std::to_string(duration.count()) + " s");
    }
}

// A bad version got more requests than its bound, for longer than its bound, or was completed.
TEST(Rollout, RollsABadVersionBack)
{
  std::map<std::string, std::function<void(SimulatedCall&)>> const behaviors{
    { "at once", [](auto& aCall) { aCall.failureShare = aCall.atTarget ? 0.3 : 0; } },
    { "a part", [](auto& aCall) { aCall.failureShare = aCall.atTarget ? 0.15 : 0.005; } },
    { "later", [](auto& aCall) { aCall.failureShare = aCall.atTarget && aCall.progress > 0.3 ? 0.4 : 0; } },
    { "one route", [](auto& aCall) { aCall.failureShare = aCall.atTarget && aCall.route == "chat" ? 0.5 : 0; } },
    { "slow", [](auto& aCall) { aCall.slowdown = aCall.atTarget ? 8 : 1; } },
  };
  for (auto const& [name, behavior] : behaviors)
    for (std::size_t const fronts : { 7, 88, 370 }) {
      RolloutFleet fleet(fronts, 20s, 2);
      fleet.behavior = behavior;
      ExpectRolledBack(fleet, name + ", " + std::to_string(fronts) + " fronts");
    }
}

// A version that fails only under load passed, as all is well while it has a small share.
TEST(Rollout, RollsAVersionBackThatFailsUnderLoadOnly)
{
  for (std::size_t const fronts : { 7, 88 }) {
    RolloutFleet fleet(fronts, 20s, 3);
    fleet.behavior = [&](auto& aCall) { aCall.failureShare = aCall.atTarget && fleet.owners[0].share > 0.2 ? 0.5 : 0; };
    ExpectRolledBack(fleet, std::to_string(fronts) + " fronts");
  }
}

// Trouble of a data centre or of the fleet, which strikes both versions, or one bad endpoint rolled a good version
// back.
TEST(Rollout, TakesTroubleThatStrikesBothVersionsForNone)
{
  auto const within = [](SimulatedCall const& aCall, double aFrom, double aTo) {
    return aCall.progress > aFrom && aCall.progress < aTo;
  };
  std::map<std::string, std::function<void(SimulatedCall&)>> const behaviors{
    { "data centre fails",
      [&](auto& aCall) { aCall.failureShare = aCall.dataCenter == "dc-1" && within(aCall, 0.2, 0.5) ? 0.7 : 0; } },
    { "all slow", [&](auto& aCall) { aCall.slowdown = within(aCall, 0.1, 0.3) ? 10 : 1; } },
    { "a burst while the share rises", [&](auto& aCall) { aCall.failureShare = within(aCall, 0.5, 0.55) ? 0.5 : 0; } },
    { "one endpoint fails", [&](auto& aCall) { aCall.failureShare = aCall.endpoint == "1-1" ? 0.9 : 0; } },
    { "one endpoint of the target fails",
      [&](auto& aCall) { aCall.failureShare = aCall.atTarget && aCall.endpoint == "1-1" ? 0.9 : 0; } },
  };
  for (auto const& [name, behavior] : behaviors)
    for (unsigned seed = 1; seed <= 5; ++seed) {
      RolloutFleet fleet(7, 20s, seed);
      fleet.behavior = behavior;
      ExpectCompleted(fleet, name + ", seed " + std::to_string(seed));
    }
}

// Requests went to the new version after its owner was lost; or the next owner did not complete the order.
TEST(Rollout, GoesOnAfterTheOwnerIsLostAtAnyStep)
{
  for (double const lostAt : { 0.02, 0.2, 0.46, 0.55, 0.62, 0.7 }) {
    RolloutFleet fleet(7, 30s, 4);
    double const back = lostAt + 0.1;
    fleet.ownerOf = [&](std::size_t, double aProgress) {
      if (aProgress < lostAt)
        return std::optional<std::size_t>(0);
      return aProgress < back ? std::nullopt : std::optional<std::size_t>(1);
    };
    fleet.RunTo(lostAt + (2.1s / 30s) + 0.001);
    auto const before = fleet.toTarget;
    fleet.RunTo(back);
    EXPECT_EQ(fleet.toTarget, before) << lostAt;
    ExpectCompleted(fleet, "lost at " + std::to_string(lostAt));
  }
}

// Two owners with half of the reports each granted more than one.
TEST(Rollout, KeepsTheBoundsWithTwoOwners)
{
  RolloutFleet fleet(8, 20s, 5);
  fleet.ownerOf = [](std::size_t aFront, double) { return aFront % 2; };
  fleet.behavior = [](auto& aCall) { aCall.failureShare = aCall.atTarget ? 0.3 : 0; };
  ExpectRolledBack(fleet, "two owners");
}

// A share was raised while the store was away, or a bad version kept its share until the store returned.
TEST(Rollout, HoldsTheShareWhileTheStoreIsAway)
{
  RolloutFleet good(7, 30s, 6);
  good.storeIsUp = [](double aProgress) { return aProgress < 0.3 || aProgress > 0.7; };
  good.RunTo(0.69);
  EXPECT_DOUBLE_EQ(good.largestShare, 0.05);
  ExpectCompleted(good, "store returns");
  RolloutFleet bad(7, 30s, 6);
  bad.storeIsUp = [](double aProgress) { return aProgress < 0.1 || aProgress > 0.9; };
  bad.behavior = [](auto& aCall) { aCall.failureShare = aCall.atTarget && aCall.progress > 0.2 ? 0.5 : 0; };
  ExpectRolledBack(bad, "store away at the verdict");
}

// An order for a version of which no endpoint came stayed open.
TEST(Rollout, RollsBackAVersionWithoutEndpointsAtTheDeadline)
{
  RolloutFleet fleet(7, 10s, 7);
  fleet.targetHasEndpoints = false;
  fleet.RunTo(0.99);
  EXPECT_EQ(fleet.order.recorded, State());
  fleet.RunTo(1.2);
  EXPECT_EQ(fleet.order.recorded, State(RolloutState::RolledBack));
}

// Long requests at the old version kept an order from being completed before its deadline.
TEST(Rollout, CompletesShortlyBeforeTheDeadlineWhileLongRequestsRun)
{
  RolloutFleet fleet(7, 20s, 8);
  fleet.requestTime = 19s;
  fleet.RunTo(1);
  EXPECT_EQ(fleet.order.recorded, State(RolloutState::Completed));
  EXPECT_GE(fleet.endedAt.value_or(0), 0.92);
}

// A final state was changed by what was counted later, or by another owner.
TEST(Rollout, NeverChangesAFinalState)
{
  for (auto const state : { RolloutState::Completed, RolloutState::RolledBack }) {
    RolloutOrder const order{ "service", "v2", 10s, 1, state };
    RolloutOwner owner;
    auto const decision = DecideRollout({}, order, owner, {}, MonotonicTime(1h));
    EXPECT_EQ(decision.state, state);
    EXPECT_EQ(decision.share, state == RolloutState::Completed ? 1 : 0);
  }
}

// An odd report changed the sums: of another order, with falling counts, too long, or a late one.
TEST(Rollout, IgnoresOddReports)
{
  RolloutOrder const order{ "service", "v2", 10s, 1, {} };
  RolloutOwner owner;
  MonotonicTime const now(1h);
  VersionReport report{ "v2", 1, 1s, 0, {}, {} };
  report.counts[{ "chat", "a", 50 }].target.responses = 5;
  EXPECT_TRUE(TakeReport(owner, order, "f", report, now));
  auto other = report;
  other.target = "v3";
  EXPECT_FALSE(TakeReport(owner, order, "f", other, now));
  auto fallen = report;
  fallen.counts[{ "chat", "a", 50 }].target.responses = 4;
  EXPECT_FALSE(TakeReport(owner, order, "f", fallen, now));
  auto early = report;
  early.age = -1s;
  EXPECT_FALSE(TakeReport(owner, order, "f", early, now));
  auto large = report;
  for (std::size_t index = 0; index <= kMaxStrata; ++index)
    large.counts[{ std::to_string(index), "a", 50 }];
  EXPECT_FALSE(TakeReport(owner, order, "f", large, now));
  EXPECT_EQ(owner.sums.at({ "chat", "a", 50 }).target.responses, 5U);
  // A new process of the front begins at zero, and what the former one counted still counts.
  fallen.incarnation = 2;
  EXPECT_TRUE(TakeReport(owner, order, "f", fallen, now));
  EXPECT_EQ(owner.sums.at({ "chat", "a", 50 }).target.responses, 9U);
}

// A single front with a wrong clock ended an order for the whole fleet.
TEST(Rollout, DoesNotBelieveASingleFrontAboutTheTime)
{
  RolloutOrder const order{ "service", "v2", 10s, 1, {} };
  RolloutOwner owner;
  MonotonicTime const now(1h);
  for (unsigned front = 0; front < 5; ++front)
    TakeReport(owner, order, std::to_string(front), { "v2", 1, front == 3 ? Duration(30min) : Duration(2s) }, now);
  EXPECT_EQ(ElapsedTime(owner, now), 2s);
}

// Requests ran at a version to which they may not go.
TEST(Rollout, RestrictsRequestsByLeaseAndFinalState)
{
  MonotonicTime const now(1h);
  RolloutOrder order{ "service", "v2", 10s, 1, {} };
  ShareLease const lease{ 0.05, now + 1s };
  using enum VersionRestriction;
  auto const choose = [&](ShareLease const& aLease, FrontExposure const& aExposure, double aDraw) {
    return VersionChoiceFor({}, order, aLease, aExposure, aDraw, now).restriction;
  };
  EXPECT_EQ(choose({}, { 100, 0 }, 0), ExcludeTarget);
  EXPECT_EQ(choose({ 0.05, now }, { 100, 0 }, 0), ExcludeTarget);
  EXPECT_EQ(choose(lease, { 100, 0 }, 0.01), PreferTarget);
  EXPECT_EQ(choose(lease, { 100, 0 }, 0.5), AvoidTarget);
  // A crowd that the other version cannot take does not move to the target.
  EXPECT_EQ(choose(lease, { 100, 10 }, 0.5), ExcludeTarget);
  order.recorded = RolloutState::RolledBack;
  EXPECT_EQ(choose({ 1, now + 1s }, { 100, 0 }, 0), ExcludeTarget);
  order.recorded = RolloutState::Completed;
  EXPECT_EQ(choose({}, { 100, 0 }, 0.9), OnlyTarget);
}

/// What a random schedule draws from: requests per second, delays of messages, and the part of the target's responses
/// that fail.
struct ScheduleRange
{
  std::array<double, 3> rates;
  std::array<Duration, 3> delays;
  std::array<double, 3> failing;
  /// Below that rate, there is one owner at a time.
  double minRateOfTwoOwners;
};

static constexpr ScheduleRange kModerate{ { 100, 200, 400 }, { 5ms, 200ms, 500ms }, { 0.3, 0.6, 1 }, 200 };
static constexpr ScheduleRange kWide{ { 20, 100, 400 }, { 5ms, 200ms, 1500ms }, { 0.1, 0.3, 1 }, 0 };

/// Runs a random schedule of owners that fail, fronts that are replaced, delays and outages of the store, with a bad
/// version. Returns what was violated; empty if nothing was.
static std::string
RunRandomSchedule(ScheduleRange const& aRange, std::size_t aFronts, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  auto const draw = [&] { return std::uniform_real_distribution<double>()(random); };
  auto const pick = [&](auto const& aValues) { return aValues[std::size_t(draw() * 3)]; };
  RolloutFleet fleet(aFronts, FromSeconds(8 + 22 * draw()), aSeed);
  fleet.rate = pick(aRange.rates);
  fleet.maxDelay = pick(aRange.delays);
  double const failing = pick(aRange.failing);
  double const from = pick(std::array{ 0.0, 0.1, 0.3 });
  fleet.behavior = [=](auto& aCall) { aCall.failureShare = aCall.atTarget && aCall.progress >= from ? failing : 0; };
  double const switchAt = draw();
  bool const split = draw() < 0.3 && fleet.rate >= aRange.minRateOfTwoOwners;
  bool const cut = draw() < 0.3;
  fleet.ownerOf = [=](std::size_t aFront, double aProgress) -> std::optional<std::size_t> {
    if (cut && aFront % 7 == 6 && aProgress > switchAt)
      return std::nullopt;
    return split ? aFront % 2 : std::size_t(aProgress > switchAt);
  };
  double const away = draw();
  fleet.storeIsUp = [=](double aProgress) { return aProgress < away || aProgress > away + 0.2; };
  fleet.RunTo(draw() * 0.9);
  fleet.Restart(aFronts / 2);
  fleet.RunTo(1);
  auto const counts = " seed " + std::to_string(aSeed) + ": " + std::to_string(fleet.toTarget) + " of " +
                      std::to_string(fleet.requests) + ", bad " + std::to_string(fleet.bad);
  if (!fleet.IsWithinExposure())
    return "exposure" + counts;
  return fleet.order.recorded == State(RolloutState::Completed) && fleet.bad > 50 ? "completed" + counts : "";
}

// Some order of failures let a bad version have more than its bound, or completed it.
TEST(Rollout, KeepsTheExposureOverRandomSchedules)
{
  for (std::size_t fronts = 2; fronts <= 11; ++fronts)
    EXPECT_TRUE(rc::check(std::to_string(fronts) + " fronts", [=] {
      RC_ASSERT(RunRandomSchedule(kModerate, fronts, *rc::gen::arbitrary<unsigned>()) == "");
    }));
}

TEST(Rollout, KeepsTheExposureOverRandomSchedulesOfLargeFleets)
{
  for (std::size_t const fronts : { 88, 370 })
    for (unsigned seed = 1; seed <= 5; ++seed)
      EXPECT_EQ(RunRandomSchedule(kModerate, fronts, seed), "") << fronts;
}

// The same at services with few requests, versions of which few responses fail, and reports that arrive late: the
// evidence comes after the last step. Fails; see KNOWN-RED.txt.
TEST(Rollout, DISABLED_KeepsTheExposureWithLittleOrLateEvidence)
{
  std::size_t violations = 0;
  for (std::size_t fronts = 2; fronts <= 11; ++fronts)
    for (unsigned seed = 1; seed <= 100; ++seed)
      violations += RunRandomSchedule(kWide, fronts, seed).empty() ? 0 : 1;
  EXPECT_EQ(violations, 0U);
}

}
