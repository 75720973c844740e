#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

static constexpr unsigned kFronts = 6;

static std::vector<unsigned>
FrontsWatchingTheStore(PlatformWorld& aWorld)
{
  std::vector<unsigned> watching;
  for (unsigned front = 0; front < kFronts; ++front)
    if (CachedStateOf(aWorld, front)["watches_store"] == true)
      watching.push_back(front);
  return watching;
}

static bool
AllHaveVersion(PlatformWorld& aWorld, std::uint64_t aVersion)
{
  for (unsigned front = 0; front < kFronts; ++front)
    if (VersionAt(aWorld, front) != aVersion)
      return false;
  return true;
}

// If every front watched the store, each change would cost as many calls as there are fronts.
TEST(Platform, LearnsChangesThroughRelays)
{
  PlainWorld plain(kFronts);
  auto& world = plain.world;
  ASSERT_TRUE(world.RunUntil([&] { return FrontsWatchingTheStore(world).size() == 2; }, 8s));
  world.RunFor(500ms);
  auto const calls = world.store->calls;
  auto const checks = world.store->lists["evacuations"];
  world.PutTable(2);
  EXPECT_TRUE(world.RunUntil([&] { return AllHaveVersion(world, 2); }, 500ms));
  world.RunFor(500ms);
  auto const checksMade = world.store->lists["evacuations"] - checks;
  // Each of the two relays watches again.
  EXPECT_LE(world.store->calls - calls - checksMade, 2U);
  // Each of them checks at most every 0.6 s.
  EXPECT_LE(checksMade, 4U);
}

// A disturbed connection of a relay is no outage of the store: a removed endpoint must not be kept, as one that may
// have expired during an outage is, let alone for as long as some relay's connection is disturbed.
TEST(Platform, DropsARemovedEndpointWhileConnectionsOfRelaysAreDisturbed)
{
  PlainWorld plain(kFronts, 2);
  auto& world = plain.world;
  ASSERT_TRUE(world.RunUntil([&] { return FrontsWatchingTheStore(world).size() == 2; }, 8s));
  world.RunFor(2500ms);
  for (unsigned round = 0; round < 4; ++round) {
    world.store->CutWatches();
    world.RunFor(400ms);
  }
  world.store->Remove("servers", world.endpoints[1]->Id());
  auto const dropped = [&] {
    world.store->CutWatches();
    for (unsigned front = 0; front < kFronts; ++front)
      if (CachedStateOf(world, front)["endpoints"].size() != 1)
        return false;
    return true;
  };
  for (unsigned round = 0; round < 4 && !dropped(); ++round)
    world.RunFor(400ms);
  EXPECT_TRUE(dropped());
}

// Relays that their followers cannot reach: the followers must learn of a change from the store, in time.
TEST(Platform, LearnsChangesWithoutRelaysThatAreCutOff)
{
  PlainWorld plain(kFronts);
  auto& world = plain.world;
  ASSERT_TRUE(world.RunUntil([&] { return FrontsWatchingTheStore(world).size() == 2; }, 8s));
  for (auto const relay : FrontsWatchingTheStore(world))
    world.fronts[relay]->StopPeers();
  world.PutTable(2);
  // The platform's bound of a change, and the spread with which fronts turn to the store.
  EXPECT_TRUE(world.RunUntil([&] { return AllHaveVersion(world, 2); }, kApplyBound + 1s));
}

}
