#include "PlatformFixtures.h"
#include "StandInFront.h"

// A front whose relays do not have the newest state, or do not tell all of it.

namespace Hornbeam::Testing {

/// Fronts must have the newest state this long after the end of a disturbance of the store.
static constexpr Duration kCalmTime = 3s;
/// For reading the state, on a busy machine.
static constexpr Duration kTolerance = 300ms;
/// More than a front waits for relays before it turns to the store.
static constexpr Duration kFallbackTime = 4s;

namespace {

/// A front whose only relay is a stand-in.
struct FollowerWorld
{
  FollowerWorld()
  {
    this->world.AddEndpoint(EndpointKind::Plain, "ledger");
    this->world.seeds = { this->relayAddress };
  }

  /// Starts the front while its relay does not reach the store.
  void TurnToTheStore()
  {
    this->relay.state.age = 1h;
    this->world.Start();
    this->world.RunFor(kFallbackTime);
  }

  PlatformWorld world{ 1 };
  std::string relayAddress{ this->world.NextAddress() };
  StandInFront relay{ this->world.loop, relayAddress };
};

}

// The watch that follows a change was not heard, and a front whose relays did not reach the store never checked it.
TEST(PlatformFollower, TakesATableWhoseWatchWasNotHeardWhileItsRelaysAreBehind)
{
  FollowerWorld follower;
  auto& world = follower.world;
  follower.TurnToTheStore();
  world.PutTable(2);
  ASSERT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 2; }, kApplyBound));
  world.store->behavior = StoreBehavior::Silent;
  world.RunFor(700ms);
  world.store->behavior = StoreBehavior::Healthy;
  world.PutTable(3);
  EXPECT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 3; }, kCalmTime + kTolerance));
}

// After an outage, a front whose relays did not reach the store asked it again only after up to 5.5 s.
TEST(PlatformFollower, TakesATableSoonAfterAnOutageWhileItsRelaysAreBehind)
{
  FollowerWorld follower;
  auto& world = follower.world;
  follower.TurnToTheStore();
  follower.relay.state.age = 0s;
  world.RunFor(1s);
  world.store->behavior = StoreBehavior::Silent;
  follower.relay.state.age = 1h;
  world.RunFor(kFallbackTime);
  // The store returns just after it did not hear a call.
  auto const calls = world.store->calls;
  ASSERT_TRUE(HappensWithin(
    world, [&] { return world.store->calls > calls; }, 6s));
  world.store->behavior = StoreBehavior::Healthy;
  world.PutTable(2);
  EXPECT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 2; }, kCalmTime + kTolerance));
}

// In an outage, each front whose relays were behind made five calls at once, again and again, instead of one.
TEST(PlatformFollower, TriesTheStoreWithOneCallAtATimeInAnOutage)
{
  FollowerWorld follower;
  auto& world = follower.world;
  world.Start();
  world.RunFor(1s);
  world.store->behavior = StoreBehavior::Silent;
  follower.relay.state.age = 1h;
  auto const calls = world.store->calls;
  world.RunFor(kFallbackTime);
  EXPECT_GE(world.store->calls - calls, 1U);
  // The first call comes after 1.5 s or more, and each lasts 1.5 s and is repeated after 0.6 s or more.
  EXPECT_LE(world.store->calls - calls, 2U);
}

// A relay's response with a change that the front cannot apply is no proof that the front has the newest state.
TEST(PlatformFollower, TakesNoResponseForAProofOfWhichItLacksAChange)
{
  FollowerWorld follower;
  auto& world = follower.world;
  world.Start();
  ASSERT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 1; }, 2s));
  // The update of the table begins after the front's revision.
  auto const position = MakePosition(1, 1000);
  follower.relay.state.updates = {
    { unsigned(ObjectKind::ServingTable), { false, position - 1, position, {} } },
    { unsigned(ObjectKind::DataCenterOutOfRotation), { true, 0, position, {} } },
  };
  follower.relay.state.revisions = { position, 0, position, 0, 0 };
  world.store->behavior = StoreBehavior::Silent;
  world.RunFor(2s);
  EXPECT_GE(CachedStateOf(world, 0)["age_ms"], 1000);
}

// A newer table was fetched once from a front that was probed, and not again if the answer was lost.
TEST(PlatformFollower, FetchesANewerTableOfAnotherFrontAgainAfterAFailure)
{
  PlainWorld plain;
  auto& world = plain.world;
  auto const address = world.NextAddress();
  StandInFront other(world.loop, address);
  other.state.tableVersion = 9;
  other.state.tableDocument = TableDocument(StandInTable(9), 9);
  other.state.failingFetches = 1;
  world.store->Put("fronts",
                   "front-9",
                   { { "caller_address", address },
                     { "peer_address", address },
                     { "data_center", "a" },
                     { "incarnation", 1 },
                     { "cores", 1 },
                     { "region", "r" } });
  EXPECT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 9; }, 4s));
  EXPECT_EQ(other.state.fetches, 2U);
}

}
