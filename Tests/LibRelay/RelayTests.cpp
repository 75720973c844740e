#include "FleetLoad.h"
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

static constexpr MonotonicTime kStart{ 100s };

static RelayRoles
FollowerRoles()
{
  return { false, true, { { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "b2", "b" } } };
}

static Subscription
FollowingSince(MonotonicTime aNow)
{
  Subscription subscription;
  subscription.confirmed = aNow;
  return subscription;
}

static std::vector<std::string>
Polled(SubscriptionDecisions const& aDecisions)
{
  std::vector<std::string> addresses;
  for (auto const& poll : aDecisions.polls)
    addresses.push_back(poll.address);
  return addresses;
}

using Addresses = std::vector<std::string>;

TEST(Subscription, FollowsTwoRelaysInDifferentDataCenters)
{
  auto subscription = FollowingSince(kStart);
  auto const decisions = DecideSubscription(subscription, FollowerRoles(), 0ms, kStart);
  EXPECT_EQ(Polled(decisions), (Addresses{ "a1", "b1" }));
  EXPECT_EQ(decisions.use, StoreUse::None);
  // Both are being polled.
  EXPECT_TRUE(DecideSubscription(subscription, FollowerRoles(), 0ms, kStart).polls.empty());
}

// A change that the first relay does not deliver, because it has lost the store without a sign of it.
TEST(Subscription, FetchesChangesThatOnlyTheSecondRelayKnows)
{
  auto subscription = FollowingSince(kStart);
  auto const polls = DecideSubscription(subscription, FollowerRoles(), 0ms, kStart).polls;
  ASSERT_EQ(polls.size(), 2U);
  EXPECT_EQ(polls[0].kind, PollKind::Changes);
  EXPECT_EQ(polls[1].kind, PollKind::Notice);
  OnRelayResponse(subscription, "b1", { 0ms, true, true }, kStart + 200ms);
  auto const next = DecideSubscription(subscription, FollowerRoles(), 0ms, kStart + 200ms).polls;
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0], (RelayPoll{ "b1", PollKind::Changes, 0ms }));
  // If they still cannot be applied, they are not fetched again in a tight loop.
  OnRelayResponse(subscription, "b1", { 0ms, true, true }, kStart + 210ms);
  auto const last = DecideSubscription(subscription, FollowerRoles(), 0ms, kStart + 210ms).polls;
  ASSERT_EQ(last.size(), 1U);
  EXPECT_EQ(last[0].kind, PollKind::Notice);
  EXPECT_GT(last[0].wait, 0ms);
}

// A notice of changes that this front does not have: counted as a confirmation, it would keep the front from turning to
// the store while the changes do not arrive.
TEST(Subscription, DISABLED_DoesNotTakeANoticeOfMissingChangesForAConfirmation)
{
  auto subscription = FollowingSince(kStart);
  DecideSubscription(subscription, FollowerRoles(), 0ms, kStart);
  auto now = kStart;
  for (; now < kStart + kMaxRelayedAge + 600ms; now += 300ms) {
    OnRelayResponse(subscription, "a1", { 0ms, true, true }, now);
    OnRelayResponse(subscription, "b1", { 0ms, true, true }, now);
    DecideSubscription(subscription, FollowerRoles(), 0ms, now);
  }
  EXPECT_NE(subscription.use, StoreUse::None);
}

// A relay that has as many followers as it can serve answers at once: polled again at once, it would be asked in a
// tight loop.
TEST(Subscription, DISABLED_PausesBeforeItPollsAnAvoidedRelayThatAnswersAtOnce)
{
  RelayRoles const roles{ false, true, { { "a1", "a" } } };
  auto subscription = FollowingSince(kStart);
  std::size_t polls = 0;
  for (auto now = kStart; now < kStart + 1s; now += 5ms) {
    auto const made = DecideSubscription(subscription, roles, 0ms, now).polls.size();
    polls += made;
    if (made != 0)
      OnRelayResponse(subscription, "a1", { 0ms, false }, now + 2ms);
  }
  EXPECT_LE(polls, 10U);
}

// A relay that is cut off or frozen: the other one goes on, and a third one takes its place.
TEST(Subscription, ReplacesARelayThatDoesNotRespond)
{
  auto subscription = FollowingSince(kStart);
  DecideSubscription(subscription, FollowerRoles(), 0ms, kStart);
  auto const now = kStart + 1300ms;
  OnRelayResponse(subscription, "b1", { 0ms, true }, now);
  OnRelayFailure(subscription, "a1", now);
  auto const decisions = DecideSubscription(subscription, FollowerRoles(), 0ms, now);
  EXPECT_EQ(Polled(decisions), (Addresses{ "a2", "b1" }));
  EXPECT_EQ(decisions.use, StoreUse::None);
}

// A relay that has lost the store, or that is no relay any more, is followed only if there is no better one.
TEST(Subscription, AvoidsRelaysWithOldStateAndFrontsThatDoNotWatch)
{
  auto subscription = FollowingSince(kStart);
  DecideSubscription(subscription, FollowerRoles(), 0ms, kStart);
  OnRelayResponse(subscription, "a1", { 4s, true }, kStart);
  OnRelayResponse(subscription, "b1", { 10ms, false }, kStart);
  EXPECT_EQ(Polled(DecideSubscription(subscription, FollowerRoles(), 0ms, kStart)), (Addresses{ "a2", "b2" }));
}

// All relays are silent: the front turns to the store by itself, not at the same time as all others.
TEST(Subscription, TurnsToTheStoreIfNoRelayHasRecentState)
{
  for (auto const spread : { 0ms, 400ms, 999ms }) {
    auto subscription = FollowingSince(kStart);
    auto const before = kStart + kMaxRelayedAge + spread;
    EXPECT_EQ(DecideSubscription(subscription, FollowerRoles(), spread, before).use, StoreUse::None);
    EXPECT_EQ(DecideSubscription(subscription, FollowerRoles(), spread, before + 1ms).use, StoreUse::Watch);
  }
}

// All relays respond, but none reaches the store, as when the store is down: the whole fleet must not press it.
TEST(Subscription, AsksRarelyWhileRelaysRespondWithOldState)
{
  auto subscription = FollowingSince(kStart);
  DecideSubscription(subscription, FollowerRoles(), 0ms, kStart);
  auto const now = kStart + 2s;
  OnRelayResponse(subscription, "a1", { 2s, true }, now);
  EXPECT_EQ(DecideSubscription(subscription, FollowerRoles(), 0ms, now).use, StoreUse::Fallback);
  // Once the relays have recent state again, the front asks no more.
  OnRelayResponse(subscription, "a1", { 0ms, true }, now + 1s);
  EXPECT_EQ(DecideSubscription(subscription, FollowerRoles(), 0ms, now + 1s).use, StoreUse::None);
}

// After a time without responding relays, the front watches the store until the relays have proved stable.
TEST(Subscription, StopsWatchingOnceRelaysHaveHadRecentStateForAWhile)
{
  auto subscription = FollowingSince(kStart);
  auto const now = kStart + 2s;
  EXPECT_EQ(DecideSubscription(subscription, FollowerRoles(), 0ms, now).use, StoreUse::Watch);
  OnRelayResponse(subscription, "a1", { 0ms, true }, now + 1s);
  EXPECT_EQ(DecideSubscription(subscription, FollowerRoles(), 0ms, now + 1s).use, StoreUse::Watch);
  for (auto later = now + 1s; later <= now + 3s; later += 500ms) {
    OnRelayResponse(subscription, "a1", { 0ms, true }, later);
    DecideSubscription(subscription, FollowerRoles(), 0ms, later);
  }
  EXPECT_EQ(subscription.use, StoreUse::None);
}

// While a fleet starts, roles change with each front that registers; not every change may cost calls to the store.
TEST(Subscription, TakesARoleThatLasts)
{
  auto subscription = FollowingSince(kStart);
  auto relay = FollowerRoles();
  relay.isRelay = true;
  EXPECT_EQ(DecideSubscription(subscription, relay, 0ms, kStart).use, StoreUse::None);
  EXPECT_EQ(DecideSubscription(subscription, FollowerRoles(), 0ms, kStart + 500ms).use, StoreUse::None);
  EXPECT_EQ(DecideSubscription(subscription, relay, 0ms, kStart + 600ms).use, StoreUse::None);
  EXPECT_EQ(DecideSubscription(subscription, relay, 0ms, kStart + 1600ms).use, StoreUse::Watch);
}

static FrontSet
FleetOf(unsigned aFronts, unsigned aDataCenters)
{
  FrontSet set;
  for (unsigned index = 0; index < aFronts; ++index) {
    FrontEntry entry;
    entry.name = entry.peerAddress = "front-" + std::to_string(index);
    entry.dataCenter = "dc-" + std::to_string(index % aDataCenters);
    entry.cores = index % 4 == 0 ? 0.12 : 0.5;
    ApplyFront(set, entry, index + 1);
  }
  return set;
}

TEST(RelayRoles, MakesEveryFrontOfASmallFleetARelay)
{
  auto const fleet = FleetOf(8, 3);
  for (auto const& [name, front] : fleet.byName) {
    auto const roles = AssignRoles(fleet, front.entry, {}, kStart);
    EXPECT_TRUE(roles.isRelay);
    EXPECT_FALSE(roles.fleetHasFollowers);
  }
}

TEST(RelayRoles, ChoosesAFewStrongRelaysInEachDataCenter)
{
  for (auto const& [fronts, dataCenters] : { std::pair(195U, 5U), std::pair(370U, 7U) }) {
    auto const fleet = FleetOf(fronts, dataCenters);
    std::map<std::string, unsigned> relays;
    for (auto const& [name, front] : fleet.byName)
      if (AssignRoles(fleet, front.entry, {}, kStart).isRelay) {
        ++relays[front.entry.dataCenter];
        EXPECT_GT(front.entry.cores, 0.4) << name;
      }
    EXPECT_EQ(relays.size(), dataCenters);
    for (auto const& [dataCenter, count] : relays) {
      EXPECT_GE(count, 2U);
      EXPECT_LE(count, 4U);
    }
  }
}

TEST(RelayRoles, ReplacesASuspectedRelay)
{
  auto fleet = FleetOf(195, 5);
  auto const relayNames = [&] {
    std::set<std::string> names;
    for (auto const& [name, front] : fleet.byName)
      if (front.suspectUntil <= kStart && AssignRoles(fleet, front.entry, {}, kStart).isRelay)
        names.insert(name);
    return names;
  };
  auto const before = relayNames();
  SuspectFront(fleet, *before.begin(), kStart);
  auto const after = relayNames();
  EXPECT_EQ(after.size(), before.size());
  EXPECT_FALSE(after.contains(*before.begin()));
}

TEST(RelayRoles, TakesTheSeedsWhileNoOtherFrontIsKnown)
{
  FrontEntry own;
  own.name = own.peerAddress = "c";
  EXPECT_FALSE(AssignRoles({}, own, { "a", "b" }, kStart).isRelay);
  EXPECT_EQ(AssignRoles({}, own, { "a", "b" }, kStart).relays.size(), 2U);
  EXPECT_TRUE(AssignRoles({}, own, { "a", "c" }, kStart).isRelay);
  EXPECT_TRUE(AssignRoles({}, own, {}, kStart).isRelay);
}

struct FleetSize
{
  unsigned fronts;
  unsigned dataCenters;
};

class FleetOfSize : public testing::TestWithParam<FleetSize>
{
protected:
  FleetLoad fleet{ this->GetParam().fronts, this->GetParam().dataCenters };

  void ChangeFor(Duration aTime, Duration aInterval)
  {
    for (Duration elapsed{ 0 }; elapsed < aTime; elapsed += aInterval) {
      this->fleet.Change();
      this->fleet.RunFor(aInterval);
    }
  }
};

INSTANTIATE_TEST_SUITE_P(Sizes, FleetOfSize, testing::Values(FleetSize{ 195, 5 }, FleetSize{ 370, 7 }));

// Frequent changes of endpoints: watched by every front, each change costs as many calls as there are fronts.
TEST_P(FleetOfSize, LearnsFrequentChangesWithAFifthOfTheCalls)
{
  this->fleet.Start();
  this->fleet.RunFor(8s);
  EXPECT_LE(this->fleet.Watching().size(), std::size_t(4 * this->GetParam().dataCenters));
  this->fleet.ResetFigures();
  this->ChangeFor(30s, 500ms);
  this->fleet.RunFor(1s);
  auto const watchedByAll = std::uint64_t(60) * this->GetParam().fronts;
  EXPECT_LE(this->fleet.storeCalls, watchedByAll / 5);
  EXPECT_LE(this->fleet.LongestDelay(), 500ms);
  EXPECT_LE(this->fleet.maxFollowers, 128U);
  // Within each data centre, the changes come from its relays.
  EXPECT_LE(this->fleet.remoteObjects, watchedByAll / 20);
}

// A mass restart: all fronts come back at the same moment and ask the store at its real rates.
TEST_P(FleetOfSize, ServesWithinTwoSecondsOfAMassRestart)
{
  this->fleet.Start();
  this->fleet.RunFor(8s);
  for (auto const& name : this->fleet.Names())
    this->fleet.Kill(name);
  this->fleet.RunFor(1s);
  this->fleet.ResetFigures();
  this->fleet.Start();
  this->fleet.RunFor(2s);
  EXPECT_EQ(this->fleet.CountServing(), this->GetParam().fronts);
  EXPECT_EQ(this->fleet.refusedCalls, 0U);
  this->ChangeFor(5s, 500ms);
  this->fleet.RunFor(1s);
  EXPECT_LE(this->fleet.LongestDelay(), 500ms);
}

// Relays die during frequent changes: the others must learn of each change within the platform's two seconds.
TEST_P(FleetOfSize, LearnsChangesInTimeWhenRelaysDie)
{
  this->fleet.Start();
  this->fleet.RunFor(8s);
  this->fleet.ResetFigures();
  unsigned index = 0;
  for (auto const& name : this->fleet.Watching())
    if (index++ % 2 == 0)
      this->fleet.Kill(name);
  this->ChangeFor(6s, 300ms);
  this->fleet.RunFor(2s);
  EXPECT_LT(this->fleet.LongestDelay(), 2s);
}

// Every relay of the fleet freezes at once, its connections left open.
TEST_P(FleetOfSize, LearnsChangesFromTheStoreWhenAllRelaysFreeze)
{
  this->fleet.Start();
  this->fleet.RunFor(8s);
  this->fleet.ResetFigures();
  for (auto const& name : this->fleet.Watching())
    this->fleet.Freeze(name);
  this->ChangeFor(6s, 300ms);
  this->fleet.RunFor(4s);
  EXPECT_LE(this->fleet.LongestDelay(), kMaxRelayedAge + kMaxFallbackSpread + 500ms);
}

// Half of the relays, those with an even position, are cut off from the store without a sign of it: they go on to
// report their state as recent until keep-alive probes have failed. Their followers must learn of changes from others.
TEST_P(FleetOfSize, LearnsChangesInTimeWhenRelaysLoseTheStoreSilently)
{
  this->fleet.Start();
  this->fleet.RunFor(8s);
  this->fleet.ResetFigures();
  unsigned index = 0;
  for (auto const& name : this->fleet.Watching())
    if (index++ % 2 == 0)
      this->fleet.CutFromStore(name);
  this->ChangeFor(6s, 300ms);
  this->fleet.RunFor(2s);
  EXPECT_LT(this->fleet.LongestDelay(), 2s);
}

}
