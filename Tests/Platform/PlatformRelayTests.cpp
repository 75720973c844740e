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
  world.PutTable(2);
  EXPECT_TRUE(world.RunUntil([&] { return AllHaveVersion(world, 2); }, 500ms));
  world.RunFor(500ms);
  // Each of the two relays watches again.
  EXPECT_LE(world.store->calls - calls, 2U);
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
