#include "PlatformFixtures.h"
#include "StandInFront.h"

namespace Hornbeam::Testing {

/// The time within which a front must serve after its start: the next fetch from a seed, and a margin.
static constexpr Duration kServeBound = 2s;

// A front that started while the store failed the lists of one kind refused all requests, although a seed knew the
// kind.
TEST(PlatformOneKind, TakesAKindThatCannotBeListedFromASeedAtAStart)
{
  for (std::string const kind : { "servers", "fronts", "config", "evacuations" })
    for (unsigned const status : { 400U, 404U, 500U, 503U }) {
      SCOPED_TRACE(kind + " with " + std::to_string(status));
      PlatformWorld world(2);
      world.AddEndpoint(EndpointKind::Plain, "ledger");
      world.PutTable(1);
      world.StartFront(0);
      ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
      world.RunFor(100ms);
      world.store->unknownKind = kind;
      world.store->unknownKindStatus = status;
      world.StartFront(1);
      EXPECT_TRUE(HappensWithin(
        world, [&] { return world.Call(1, {}).status == 200; }, kServeBound));
    }
}

// Fronts that start together and cannot list the data centres out of rotation must not vouch for each other.
TEST(PlatformOneKind, UsesNoEndpointBeforeAllKindsAreKnown)
{
  PlatformWorld world(2);
  world.AddEndpoint(EndpointKind::Plain, "ledger");
  world.PutTable(1);
  world.store->Put("fronts",
                   "former",
                   { { "caller_address", "127.0.0.1:1" },
                     { "peer_address", "127.0.0.1:1" },
                     { "data_center", "a" },
                     { "incarnation", 1 } });
  world.store->Put("evacuations", "a", nlohmann::json::object());
  world.store->unknownKind = "evacuations";
  world.seeds = { world.AddressOf(0, 3), world.AddressOf(1, 3) };
  world.StartFront(0);
  world.StartFront(1);
  for (int round = 0; round < 6; ++round) {
    world.RunFor(500ms);
    EXPECT_EQ(world.Call(0, {}).status, 503U);
    EXPECT_EQ(world.Call(1, {}).status, 503U);
  }
  EXPECT_EQ(world.endpoints[0]->seen.size(), 0U);
  world.store->unknownKind.clear();
  world.store->Remove("evacuations", "a");
  EXPECT_TRUE(HappensWithin(
    world, [&] { return world.Call(0, {}).status == 200 && world.Call(1, {}).status == 200; }, 5s));
}

// A seed of an earlier build tells what it has at any time, so that it cannot vouch for a kind that it may lack.
TEST(PlatformOneKind, UsesNoEndpointOnTheWordOfASeedThatMayLackTheKind)
{
  PlatformWorld world(1);
  auto const& endpoint = world.AddEndpoint(EndpointKind::Plain, "ledger");
  world.PutTable(1);
  world.store->Put("evacuations", "a", nlohmann::json::object());
  world.store->unknownKind = "evacuations";
  auto const address = world.NextAddress();
  StandInFront seed(world.loop, address);
  world.seeds = { address };
  auto const document = [](std::string const& aName, nlohmann::json const& aSpec) {
    return nlohmann::json{ { "metadata", { { "name", aName }, { "revision", 2 } } }, { "spec", aSpec } }.dump();
  };
  auto const entry = StandInEntry("ledger", endpoint.PublicAddress(), "ready", "a");
  nlohmann::json const front{
    { "caller_address", "127.0.0.1:1" }, { "peer_address", address }, { "data_center", "a" }, { "incarnation", 1 }
  };
  seed.state.cachedObjects = { { unsigned(Platform::ObjectKind::Endpoint), document(endpoint.Id(), entry) },
                               { unsigned(Platform::ObjectKind::Front), document("seed", front) } };
  world.StartFront(0);
  for (auto const coverage : { CacheCoverage::NotTold, CacheCoverage::SomeKinds }) {
    seed.state.coverage = coverage;
    auto const fetches = seed.state.fetches;
    EXPECT_TRUE(world.RunUntil([&] { return seed.state.fetches > fetches + 1; }, 5s));
    EXPECT_EQ(world.Call(0, {}).status, 503U);
  }
  EXPECT_EQ(endpoint.seen.size(), 0U);
  seed.state.coverage = CacheCoverage::AllKinds;
  EXPECT_TRUE(HappensWithin(
    world, [&] { return world.Call(0, {}).status == 200; }, kServeBound));
}

// The other kinds go on while the calls about one kind fail.
TEST(PlatformOneKind, AppliesChangesOfOtherKindsWhileOneFails)
{
  for (unsigned const status : { 400U, 404U, 500U, 503U }) {
    SCOPED_TRACE(status);
    PlainWorld plain;
    auto& world = plain.world;
    world.store->unknownKind = "servers";
    world.store->unknownKindStatus = status;
    world.store->CutWatches();
    world.RunFor(1s);
    EXPECT_EQ(world.Call(0, {}).status, 200U);
    world.PutTable(2);
    EXPECT_TRUE(HappensWithin(
      world, [&] { return VersionAt(world, 0) == 2; }, kApplyBound));
    EXPECT_EQ(world.Call(0, {}).status, 200U);
    auto const entry = StandInEntry("ledger", "127.0.0.1:1", "ready", "a");
    world.store->unknownKind.clear();
    world.store->Put("servers", "late", entry);
    auto const knowsLate = [&] {
      for (auto const& endpoint : CachedStateOf(world, 0).value("endpoints", nlohmann::json::array()))
        if (endpoint["id"] == "late")
          return true;
      return false;
    };
    EXPECT_TRUE(HappensWithin(world, knowsLate, 3s));
  }
}

}
