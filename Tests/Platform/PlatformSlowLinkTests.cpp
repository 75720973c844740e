#include "PlatformFixtures.h"
#include "SlowLink.h"
#include "StandInFront.h"

// A front whose link takes seconds for a table.

namespace Hornbeam::Testing {

/// Fronts must have a new table this long after it was confirmed.
static constexpr Duration kLargeFleetApplyBound = 3s;
/// Such a table takes 2 s, longer than a call without any response may take.
static constexpr std::uint64_t kBytesPerSecond = 400'000;
static constexpr unsigned kUnusedRoutes = 2700;

static nlohmann::json
LargeTable(std::uint64_t aVersion)
{
  return WithUnusedRoutes(StandInTable(aVersion), kUnusedRoutes);
}

// A table that a relay was still sending was given up as if the relay were silent, and asked for again from the start.
TEST(PlatformSlowLink, TakesALargeTableFromARelay)
{
  PlatformWorld world{ 1 };
  world.AddEndpoint(EndpointKind::Plain, "ledger");
  auto const relayAddress = world.NextAddress();
  auto const linkAddress = world.NextAddress();
  StandInFront relay(world.loop, relayAddress);
  SlowLink const link(world.loop, linkAddress, relayAddress, kBytesPerSecond);
  world.seeds = { linkAddress };
  world.Start();
  ASSERT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 1; }, 2s));
  // The table can only come from the relay.
  world.store->behavior = StoreBehavior::Silent;
  nlohmann::json const document{ { "metadata", { { "name", "main" }, { "revision", 1000 } } },
                                 { "spec", LargeTable(2) },
                                 { "status", nullptr } };
  auto const position = MakePosition(1, 1000);
  relay.state.updates = {
    { unsigned(ObjectKind::ServingTable), { true, 0, position, { { "main", position, document.dump() } } } },
  };
  relay.state.revisions = { position, 0, 0, 0, 0 };
  EXPECT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 2; }, kLargeFleetApplyBound));
}

// A table that the store was still sending was given up as if the store were silent, and asked for again from the
// start.
TEST(PlatformSlowLink, ReadsALargeTableFromTheStore)
{
  PlatformWorld world{ 1 };
  world.AddEndpoint(EndpointKind::Plain, "ledger");
  world.store->Put("config", "main", LargeTable(1));
  auto const linkAddress = world.NextAddress();
  SlowLink const link(world.loop, linkAddress, world.store->Address(), kBytesPerSecond);
  world.storeAddress = linkAddress;
  world.Start();
  EXPECT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 1; }, kLargeFleetApplyBound));
}

// A store that stops in the middle of an answer must be noticed as soon as one that does not answer.
TEST(PlatformSlowLink, AsksTheStoreAgainThatStoppedWithinAnAnswer)
{
  PlatformWorld world{ 1 };
  world.AddEndpoint(EndpointKind::Plain, "ledger");
  world.store->Put("config", "main", LargeTable(1));
  auto const linkAddress = world.NextAddress();
  SlowLink link(world.loop, linkAddress, world.store->Address(), kBytesPerSecond);
  world.storeAddress = linkAddress;
  world.Start();
  world.RunFor(1s);
  link.stopped = true;
  auto const calls = world.store->calls;
  // The time-out of 1.5 s, counted from the start, and the delay of a retry.
  EXPECT_TRUE(HappensWithin(
    world, [&] { return world.store->calls > calls; }, 1s));
}

}
