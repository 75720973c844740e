#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

TEST(Platform, RegistersEvenIfTheResponseIsLost)
{
  PlatformWorld world(1);
  world.store->responsesToLose = 1;
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  world.RunFor(700ms);
  EXPECT_EQ(world.Get(0, 2, "/lookup?name=h.example&region=r&zone=a").status, 200U);
}

TEST(Platform, StartsWithAPeersStateWhileTheStoreIsUnavailable)
{
  PlatformWorld world(2);
  world.AddEndpoint(EndpointKind::Plain, "ledger");
  auto const all = world.stopped.size();
  world.stopped.resize(1);
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  world.RunFor(50ms);
  world.store->behavior = StoreBehavior::Resetting;
  world.store->CutWatches();
  world.stopped.resize(all);
  world.StartFront(1);
  EXPECT_TRUE(world.RunUntil([&] { return world.Get(1, 1, "/readyz").status == 200; }, 3s));
  EXPECT_EQ(world.Call(1, SafeRequest()).status, 200U);
}

TEST(Platform, DoesNotRemoveOtherFrontsWhileItMayBeIsolatedItself)
{
  PlainWorld plain(2);
  plain.world.RunFor(500ms);
  auto& store = *plain.world.store;
  // Neither the other front nor the store responds.
  store.behavior = StoreBehavior::Silent;
  plain.world.fronts[1]->StopPeers();
  plain.world.RunFor(2500ms);
  store.behavior = StoreBehavior::Healthy;
  store.CutWatches();
  plain.world.RunFor(1200ms);
  EXPECT_EQ(store.removals, 0U);
  // The other front is removed if its probes keep failing once the store responds again. It is alive, so it registers
  // again.
  EXPECT_TRUE(plain.world.RunUntil([&] { return store.removals == 1; }, 6s));
}

TEST(Platform, ShutsDownGracefully)
{
  PlainWorld plain(2);
  plain.world.endpoints[0]->workTime = 400ms;
  auto const open = plain.world.Send(0, SafeRequest());
  ASSERT_TRUE(plain.world.RunUntil([&] { return plain.world.endpoints[0]->seen.size() == 1; }));
  plain.world.fronts[0]->BeginDraining();
  EXPECT_EQ(plain.world.Get(0, 1, "/readyz").status, 503U);
  plain.world.RunFor(100ms);
  EXPECT_FALSE(plain.world.store->Has("fronts", "front-0"));
  auto const names = [&](unsigned aFront) {
    auto const lookup = plain.world.Get(1, 2, "/lookup?name=h.example&region=r&zone=a").body;
    return lookup.find(plain.world.CallerAddress(aFront)) != std::string::npos;
  };
  EXPECT_TRUE(plain.world.RunUntil([&] { return !names(0); }, kApplyBound));
  EXPECT_TRUE(names(1));
  ASSERT_TRUE(plain.world.RunUntil([&] { return open->ended; }));
  EXPECT_EQ(open->status, 200U);
  EXPECT_EQ(plain.world.Call(0, SafeRequest("r2")).status, 200U);
  EXPECT_TRUE(plain.world.RunUntil([&] { return plain.world.stopped[0]; }, 8s));
}

// A response that began before draining did not announce that the connection closes, so the caller may reuse it.
TEST(Platform, ServesTheNextRequestOnAConnectionNotAnnouncedToClose)
{
  PlatformWorld world(1);
  auto& model = world.AddEndpoint(EndpointKind::Model, "model");
  world.AddEndpoint(EndpointKind::Plain, "ledger");
  model.events = 40;
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const stream = world.Send(0, ModelRequest(), nullptr, Reuse::Kept);
  ASSERT_TRUE(world.RunUntil([&] { return stream->status == 200; }));
  world.fronts[0]->BeginDraining();
  ASSERT_TRUE(world.RunUntil([&] { return stream->ended; }));
  EXPECT_EQ(stream->end, CallEnd::Complete);
  auto const next = world.Send(0, SafeRequest("r2"), nullptr, Reuse::Kept);
  ASSERT_TRUE(world.RunUntil([&] { return next->ended; }));
  EXPECT_EQ(next->status, 200U);
}

TEST(Platform, LimitsRequestsOfAllFrontsToAColdEndpoint)
{
  PlatformWorld world(6);
  auto& model = world.AddEndpoint(EndpointKind::Model, "model");
  world.Start();
  for (unsigned front = 0; front < 6; ++front)
    ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-" + std::to_string(front)); }));
  world.RunFor(50ms);
  // The endpoint restarts: its entry has the same id and another incarnation, and it is cold.
  world.store->Put("servers",
                   model.Id(),
                   { { "service", "model" },
                     { "address", model.Address() },
                     { "zone", "a" },
                     { "state", "ready" },
                     { "cold_remaining_ms", 2000 },
                     { "born", 2 } });
  world.RunFor(50ms);
  std::vector<std::shared_ptr<CallerResponse>> responses;
  for (unsigned index = 0; index < 120; ++index) {
    auto request = ModelRequest();
    request.id = "r" + std::to_string(index);
    responses.push_back(world.Send(index % 6, request));
    world.RunFor(8ms);
  }
  // The platform's limit in any second: 10 requests times 1.5, plus 5.
  for (auto const& first : model.seen) {
    auto const within = std::ranges::count_if(
      model.seen, [&](auto const& aSeen) { return aSeen.at >= first.at && aSeen.at < first.at + 1s; });
    EXPECT_LE(within, 20);
  }
  EXPECT_GE(model.seen.size(), 4U);
}

}
