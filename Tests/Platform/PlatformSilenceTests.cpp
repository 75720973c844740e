#include "PlatformFixtures.h"

// A store that answers nobody for a while: calls that it does not hear, and answers that get lost. Connections stay
// open, so that only the time tells.

namespace Hornbeam::Testing {

/// Fronts must have the newest state this long after the end of a disturbance of the store.
static constexpr Duration kCalmTime = 3s;
/// For reading the state, on a busy machine.
static constexpr Duration kTolerance = 300ms;
/// Longer than fronts wait before they watch again after a change.
static constexpr Duration kSilence = 700ms;

/// How many fronts there are: one alone, a few that all watch the store, and a fleet with relays.
static constexpr unsigned kFleets[] = { 1, 3, 6 };

static bool
AllFronts(PlatformWorld& aWorld, std::function<bool(nlohmann::json const&)> const& aCondition)
{
  for (unsigned front = 0; front < aWorld.stopped.size(); ++front)
    if (auto const state = CachedStateOf(aWorld, front); !state.is_object() || !aCondition(state))
      return false;
  return true;
}

static bool
AllFrontsHaveVersion(PlatformWorld& aWorld, std::uint64_t aVersion)
{
  return AllFronts(aWorld, [&](auto const& aState) { return aState["table_version"] == aVersion; });
}

static void
BeSilentWhileWatchesAreSent(PlatformWorld& aWorld)
{
  aWorld.store->behavior = StoreBehavior::Silent;
  aWorld.RunFor(kSilence);
  aWorld.store->behavior = StoreBehavior::Healthy;
}

// The store did not hear the watch that follows a change: all later tables were missed for 26 s.
TEST(PlatformSilence, TakesATableAfterItsWatchWasNotHeard)
{
  for (auto const fronts : kFleets) {
    PlainWorld plain(fronts);
    auto& world = plain.world;
    world.RunFor(4s);
    world.PutTable(2);
    world.RunFor(200ms);
    BeSilentWhileWatchesAreSent(world);
    world.PutTable(3);
    EXPECT_TRUE(HappensWithin(
      world, [&] { return AllFrontsHaveVersion(world, 3); }, kCalmTime + kTolerance))
      << fronts << " fronts";
  }
}

// As above for endpoints: one that leaves was used on.
TEST(PlatformSilence, LearnsOfADepartureAfterTheWatchOfEndpointsWasNotHeard)
{
  for (auto const fronts : kFleets) {
    PlainWorld plain(fronts, 3);
    auto& world = plain.world;
    world.RunFor(4s);
    world.Register(*world.endpoints[1], "ledger", "draining");
    world.RunFor(200ms);
    BeSilentWhileWatchesAreSent(world);
    world.Register(*world.endpoints[0], "ledger", "draining");
    auto const isLeaving = [](auto const& aState) { return aState["endpoints"][0]["state"] == "leaving"; };
    EXPECT_TRUE(HappensWithin(
      world, [&] { return AllFronts(world, isLeaving); }, kCalmTime + kTolerance))
      << fronts << " fronts";
  }
}

// As above for data centres that are taken out of rotation.
TEST(PlatformSilence, LearnsOfAnEvacuationAfterItsWatchWasNotHeard)
{
  for (auto const fronts : kFleets) {
    PlainWorld plain(fronts);
    auto& world = plain.world;
    world.RunFor(4s);
    world.store->Put("evacuations", "first", nlohmann::json::object());
    world.RunFor(200ms);
    BeSilentWhileWatchesAreSent(world);
    world.store->Put("evacuations", "second", nlohmann::json::object());
    auto const isOut = [](auto const& aState) { return aState["data_centers_out"].size() == 2; };
    EXPECT_TRUE(HappensWithin(
      world, [&] { return AllFronts(world, isOut); }, kCalmTime + kTolerance))
      << fronts << " fronts";
  }
}

// The store heard the watch, but its answer, or the rest of it, got lost.
TEST(PlatformSilence, TakesATableAfterTheAnswerOfItsWatchWasLost)
{
  for (auto const loss : { LostAnswer::Whole, LostAnswer::AfterHead, LostAnswer::InsideBody })
    for (auto const fronts : kFleets) {
      PlainWorld plain(fronts);
      auto& world = plain.world;
      world.RunFor(4s);
      world.store->lostAnswer = loss;
      world.PutTable(2);
      world.store->lostAnswer = LostAnswer::None;
      BeSilentWhileWatchesAreSent(world);
      EXPECT_TRUE(HappensWithin(
        world, [&] { return AllFrontsHaveVersion(world, 2); }, kCalmTime + kTolerance))
        << fronts << " fronts, loss " << int(loss);
    }
}

// The store is silent for so long that every kind has failed and retries, the last time just before its return.
TEST(PlatformSilence, TakesATableSoonAfterALongSilence)
{
  for (auto const silence : { 3100ms, 3700ms, 4300ms, 4900ms }) {
    PlainWorld plain(3);
    auto& world = plain.world;
    world.RunFor(4s);
    world.PutTable(2);
    world.RunFor(200ms);
    world.store->behavior = StoreBehavior::Silent;
    world.RunFor(silence);
    world.store->behavior = StoreBehavior::Healthy;
    world.PutTable(3);
    EXPECT_TRUE(HappensWithin(
      world, [&] { return AllFrontsHaveVersion(world, 3); }, kCalmTime + kTolerance))
      << Milliseconds(silence) << " ms";
  }
}

// Tables are known this soon while the store answers (docs/PLATFORM.md).
static constexpr Duration kKnownTime = 500ms;

// The store returned unchanged from a silence, and the watch that it had not heard was kept: the next table was late.
TEST(PlatformSilence, TakesATableAtOnceAfterASilenceThatChangedNothing)
{
  for (auto const fronts : { 1U, 3U })
    for (auto const pause : { 2600ms, 3300ms }) {
      PlainWorld plain(fronts);
      auto& world = plain.world;
      world.RunFor(4s);
      world.PutTable(2);
      world.RunFor(200ms);
      world.store->behavior = StoreBehavior::Silent;
      world.RunFor(3100ms);
      world.store->behavior = StoreBehavior::Healthy;
      world.RunFor(pause);
      world.PutTable(3);
      EXPECT_TRUE(HappensWithin(
        world, [&] { return AllFrontsHaveVersion(world, 3); }, kKnownTime + kTolerance))
        << fronts << " fronts, " << Milliseconds(pause) << " ms after the silence";
    }
}

// The watch of crash reports was not heard: what crashes endpoints went on to them until the watch timed out.
TEST(PlatformSilence, LearnsOfACrashAfterTheWatchOfReportsWasNotHeard)
{
  for (auto const fronts : kFleets) {
    PlainWorld plain(fronts);
    auto& world = plain.world;
    auto const report = [&](std::string const& aProcess) {
      nlohmann::json spec;
      spec["candidates"] = { { "dead", 1U } };
      spec["cleared"] = nlohmann::json::array();
      spec["reporters"] = nlohmann::json::array({ "front-9" });
      world.store->Put("endpoint-crashes", aProcess, spec);
    };
    world.RunFor(4s);
    report("i-1.1");
    report("i-2.1");
    world.RunFor(200ms);
    BeSilentWhileWatchesAreSent(world);
    report("i-3.1");
    auto const isQuarantined = [](auto const& aState) { return aState["quarantined"].size() == 1; };
    EXPECT_TRUE(HappensWithin(
      world, [&] { return AllFronts(world, isQuarantined); }, kCalmTime + kTolerance))
      << fronts << " fronts";
  }
}

}
