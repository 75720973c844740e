#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

/// Fronts must see one state before the next is written; a watch tells only the last one of an object.
static constexpr Duration kWatchTime = 1s;
static nlohmann::json const kOddReport{ { "candidates", 5 } };
static std::vector<std::string> const kCrashed{ "gone-1.1", "gone-2.1" };

/// Two fronts that know of crashes and have a candidate to clear: each has served it without harm since.
struct ClearingWorld
{
  ClearingWorld()
    : plain(2)
  {
    auto& world = this->plain.world;
    world.AddEndpoint(EndpointKind::Model, "model");
    for (auto const& process : kCrashed)
      world.store->Put(
        "endpoint-crashes",
        process,
        { { "candidates", { { "first", 10 }, { "dead", 30 } } }, { "cleared", nlohmann::json::array() } });
    world.RunFor(kWatchTime);
  }

  void ServeCandidate()
  {
    auto& world = this->plain.world;
    for (unsigned front = 0; front < 2; ++front) {
      CallerRequest request;
      request.target = "/model/x";
      request.id = "r" + std::to_string(front);
      request.extraFields = { { "Hornbeamfront-Prefix-Hash", "first:10,own:5" },
                              { "Hornbeamfront-Token-Usage", "35,9" } };
      EXPECT_EQ(world.Call(front, request).status, 200U);
    }
  }

  PlainWorld plain;
};

// A front that had something to add to a report that another writer made unreadable wrote it again and again on the
// condition of a revision that was gone.
TEST(PlatformForeignWrite, ReplacesACrashReportThatCannotBeRead)
{
  ClearingWorld clearing;
  auto& world = clearing.plain.world;
  for (auto const& process : kCrashed)
    world.store->Put("endpoint-crashes", process, kOddReport);
  world.RunFor(kWatchTime);
  auto const before = world.store->conflicts;
  clearing.ServeCandidate();
  EXPECT_TRUE(HappensWithin(
    world, [&] { return world.store->CountSpecs("endpoint-crashes", kOddReport) == 0; }, 6s));
  world.RunFor(2s);
  EXPECT_EQ(world.store->Count("endpoint-crashes"), kCrashed.size());
  // Both fronts may write at the same time.
  EXPECT_LE(world.store->conflicts - before, 2 * kCrashed.size());
}

// A conflict that told no newer revision was followed by the next write within 40 ms.
TEST(PlatformForeignWrite, DelaysAWriteAfterAConflictWithoutANewerRevision)
{
  ClearingWorld clearing;
  auto& world = clearing.plain.world;
  world.store->conflictingKind = "endpoint-crashes";
  clearing.ServeCandidate();
  EXPECT_TRUE(HappensWithin(
    world, [&] { return world.store->conflicts > 0; }, 6s));
  auto const before = world.store->conflicts;
  world.RunFor(3s);
  // Each front writes each report at most once per second.
  EXPECT_LE(world.store->conflicts - before, 2 * kCrashed.size() * 4);
}

static nlohmann::json const kOddFront{ { "caller_address", 5 } };

static bool
KnowsFront(PlatformWorld& aWorld, unsigned aAt, std::string const& aName)
{
  return std::ranges::any_of(CachedStateOf(aWorld, aAt).value("fronts", nlohmann::json::array()),
                             [&](auto const& aFront) { return aFront["name"] == aName; });
}

// A front that found its own entry unreadable at its start tried to create it for ever, and no directory named it.
TEST(PlatformForeignWrite, ReplacesAnOwnEntryThatCannotBeReadAtTheStart)
{
  PlatformWorld world(2);
  world.AddEndpoint(EndpointKind::Plain, "ledger");
  world.store->Put("fronts", "front-0", kOddFront);
  world.Start();
  EXPECT_TRUE(HappensWithin(
    world, [&] { return world.store->CountSpecs("fronts", kOddFront) == 0; }, 3s));
  EXPECT_TRUE(HappensWithin(
    world, [&] { return KnowsFront(world, 0, "front-0"); }, 1s));
  EXPECT_TRUE(HappensWithin(
    world, [&] { return KnowsFront(world, 1, "front-0"); }, 1s));
  EXPECT_LE(world.store->conflicts, 1U);
}

// A front whose entry was made unreadable while it ran took itself for registered.
TEST(PlatformForeignWrite, ReplacesAnOwnEntryThatBecomesUnreadable)
{
  PlainWorld plain(2);
  auto& world = plain.world;
  for (unsigned round = 0; round < 2; ++round) {
    world.store->Put("fronts", "front-0", kOddFront);
    EXPECT_TRUE(HappensWithin(
      world, [&] { return world.store->CountSpecs("fronts", kOddFront) == 0; }, 3s));
    EXPECT_TRUE(HappensWithin(
      world, [&] { return KnowsFront(world, 0, "front-0"); }, 1s));
  }
  EXPECT_LE(world.store->conflicts, 1U);
}

// A front that stops while its entry is unreadable must not leave it in the store.
TEST(PlatformForeignWrite, RemovesAnOwnEntryThatCannotBeRead)
{
  PlainWorld plain(2);
  auto& world = plain.world;
  world.store->conflictingKind = "fronts";
  world.store->Put("fronts", "front-0", kOddFront);
  world.RunFor(kWatchTime);
  ASSERT_EQ(world.store->CountSpecs("fronts", kOddFront), 1U);
  world.store->conflictingKind.clear();
  world.fronts[0]->BeginDraining();
  EXPECT_TRUE(HappensWithin(
    world, [&] { return !world.store->Has("fronts", "front-0"); }, 3s));
}

}
