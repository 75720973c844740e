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

namespace {

/// A front whose only relay is a stand-in behind a slow link.
struct SlowRelayWorld
{
  SlowRelayWorld()
  {
    this->world.AddEndpoint(EndpointKind::Plain, "ledger");
    this->world.seeds = { this->linkAddress };
    this->world.Start();
    EXPECT_TRUE(HappensWithin(
      this->world, [&] { return VersionAt(this->world, 0) == 1; }, 2s));
  }

  /// Writes a table that can only come from the relay.
  void PutLargeTable()
  {
    this->world.store->behavior = StoreBehavior::Silent;
    auto const position = MakePosition(1, 1000);
    auto const document = TableDocument(LargeTable(2), 1000);
    this->relay.state.updates = {
      { unsigned(ObjectKind::ServingTable), { true, 0, position, { { "main", position, document } } }, {} },
    };
    this->relay.state.revisions = { position, 0, 0, 0, 0 };
  }

  PlatformWorld world{ 1 };
  std::string relayAddress{ this->world.NextAddress() };
  std::string linkAddress{ this->world.NextAddress() };
  StandInFront relay{ this->world.loop, this->relayAddress };
  SlowLink link{ this->world.loop, this->linkAddress, this->relayAddress, kBytesPerSecond };
};

}

// A table that a relay was still sending was given up as if the relay were silent, and asked for again from the start.
TEST(PlatformSlowLink, TakesALargeTableFromARelay)
{
  SlowRelayWorld slow;
  auto& world = slow.world;
  slow.PutLargeTable();
  EXPECT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 2; }, kLargeFleetApplyBound));
}

// A state counted as proven when the relay's response had arrived, whatever time that took since the relay had sent it.
TEST(PlatformSlowLink, DatesAProofByWhenTheRelaySentIt)
{
  SlowRelayWorld slow;
  auto& world = slow.world;
  slow.PutLargeTable();
  ASSERT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 2; }, kLargeFleetApplyBound));
  // The table took 2 s, and the relay sent it within 0.6 s after it was asked.
  EXPECT_GE(CachedStateOf(world, 0)["age_ms"], 1000);
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
