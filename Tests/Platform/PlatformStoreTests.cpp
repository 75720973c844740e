#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

TEST(Platform, SendsNothingToALeavingEndpoint)
{
  PlainWorld plain(1, 2);
  plain.world.Register(*plain.world.endpoints[0], "ledger", "draining");
  auto const isLeaving = [&] { return CachedStateOf(plain.world, 0)["endpoints"][0]["state"] == "leaving"; };
  ASSERT_TRUE(plain.world.RunUntil(isLeaving, kApplyBound));
  for (int index = 0; index < 6; ++index)
    EXPECT_EQ(plain.world.Call(0, SafeRequest("r" + std::to_string(index))).status, 200U);
  EXPECT_TRUE(plain.world.endpoints[0]->seen.empty());
}

TEST(Platform, SendsNothingToADataCenterOutOfRotation)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Plain, "ledger", "a");
  world.AddEndpoint(EndpointKind::Plain, "ledger", "b");
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const isOut = [&] { return CachedStateOf(world, 0)["data_centers_out"].size() == 1; };
  world.store->Put("evacuations", "a", nlohmann::json::object());
  ASSERT_TRUE(world.RunUntil(isOut, kApplyBound));
  for (int index = 0; index < 6; ++index)
    EXPECT_EQ(world.Call(0, SafeRequest("r" + std::to_string(index))).status, 200U);
  EXPECT_TRUE(world.endpoints[0]->seen.empty());
  world.store->Remove("evacuations", "a");
  ASSERT_TRUE(world.RunUntil([&] { return !isOut(); }, kApplyBound));
  // Concurrent requests, so that they are not all sent to the same endpoint.
  std::vector<std::shared_ptr<CallerResponse>> responses;
  for (int index = 0; index < 6; ++index)
    responses.push_back(world.Send(0, SafeRequest("s" + std::to_string(index))));
  EXPECT_TRUE(world.RunUntil(
    [&] { return std::ranges::all_of(responses, [](auto const& aResponse) { return aResponse->ended; }); }));
  EXPECT_FALSE(world.endpoints[0]->seen.empty());
}

TEST(Platform, AppliesNewTablesAndIgnoresOlderOnes)
{
  PlainWorld plain;
  plain.world.PutTable(7);
  EXPECT_TRUE(plain.world.RunUntil([&] { return VersionAt(plain.world, 0) == 7; }, 1s));
  plain.world.PutTable(5);
  plain.world.RunFor(100ms);
  EXPECT_EQ(VersionAt(plain.world, 0), 7U);
}

TEST(Platform, FetchesChangesInQuickSuccessionInBatches)
{
  PlainWorld plain;
  plain.world.RunFor(500ms);
  auto const before = plain.world.store->calls;
  for (std::uint64_t version = 10; version < 60; ++version) {
    plain.world.PutTable(version);
    plain.world.RunFor(10ms);
  }
  EXPECT_TRUE(plain.world.RunUntil([&] { return VersionAt(plain.world, 0) == 59; }, 1s));
  EXPECT_LE(plain.world.store->calls - before, 5U);
}

// The table changes while the watches are disconnected, and the store has already dropped the event when they resume.
TEST(Platform, FindsATableWrittenWhileTheHistoryWasDropped)
{
  PlainWorld plain;
  plain.world.store->PutInHistoryGap("config", "main", StandInTable(9));
  EXPECT_TRUE(plain.world.RunUntil([&] { return VersionAt(plain.world, 0) == 9; }, 1500ms));
}

// The table changes after the list that follows a disconnect, and the store drops the event before reporting it to the
// new watch.
TEST(Platform, FindsATableWrittenBetweenItsListAndTheDropOfTheHistory)
{
  PlainWorld plain;
  plain.world.store->PutAfterDisconnect("config", "main", StandInTable(9), 140ms);
  EXPECT_TRUE(plain.world.RunUntil([&] { return VersionAt(plain.world, 0) == 9; }, 1800ms));
}

TEST(Platform, KeepsServingWhileTheStoreIsUnavailableAndCatchesUp)
{
  for (auto const behavior : { StoreBehavior::Refusing, StoreBehavior::Resetting }) {
    PlainWorld plain;
    plain.world.store->behavior = behavior;
    plain.world.store->CutWatches();
    plain.world.RunFor(300ms);
    EXPECT_EQ(plain.world.Call(0, SafeRequest()).status, 200U);
    plain.world.store->behavior = StoreBehavior::Healthy;
    plain.world.PutTable(8);
    EXPECT_TRUE(plain.world.RunUntil([&] { return VersionAt(plain.world, 0) == 8; }, 2s));
  }
}

// Endpoints' entries expire while the store is unavailable. They must stay in use until the endpoints had time to
// register again, and be dropped after that.
TEST(Platform, KeepsEndpointsWhoseEntriesExpiredWhileTheStoreWasUnavailable)
{
  PlainWorld plain;
  auto& store = *plain.world.store;
  store.behavior = StoreBehavior::Resetting;
  store.CutWatches();
  plain.world.RunFor(200ms);
  store.Remove("servers", plain.world.endpoints[0]->Id());
  store.DropHistory();
  store.behavior = StoreBehavior::Healthy;
  plain.world.RunFor(1200ms);
  EXPECT_EQ(plain.world.Call(0, SafeRequest()).status, 200U);
  plain.world.RunFor(2s);
  auto request = SafeRequest("r2");
  request.clientTimeout = 300ms;
  EXPECT_EQ(plain.world.Call(0, request).status, 503U);
}

}
