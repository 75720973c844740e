#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

namespace {

/// The expected time of a stage's call; the calls time out after four times as long.
constexpr Duration kCallTime = 900ms;
/// Longer than a front without requests takes to stop.
constexpr Duration kLongCall = 3300ms;

nlohmann::json
TableWithLongCalls()
{
  auto table = StandInTable(1, 8s);
  for (auto& service : table["services"])
    if (service.contains("segments"))
      service["segments"]["call_ms"] = double(Milliseconds(kCallTime));
  return table;
}

/// Fronts with endpoints for the route whose requests have stages.
struct StagedWorld
{
  explicit StagedWorld(unsigned aFronts)
    : world(aFronts)
    , encode(world.AddEndpoint(EndpointKind::Stage, "encode"))
    , rank(world.AddEndpoint(EndpointKind::Stage, "rank"))
    , model(world.AddEndpoint(EndpointKind::Model, "model"))
  {
    this->world.store->Put("config", "main", TableWithLongCalls());
    this->world.Start();
    for (unsigned front = 0; front < aFronts; ++front)
      EXPECT_TRUE(
        this->world.RunUntil([&] { return this->world.store->Has("fronts", "front-" + std::to_string(front)); }));
    this->world.RunFor(50ms);
  }

  std::shared_ptr<CallerResponse> Send(unsigned aFront)
  {
    auto request = ModelRequest("/staged/x");
    request.id = "r" + std::to_string(++this->sent);
    request.clientTimeout = 8s;
    return this->world.Send(aFront, request);
  }

  bool HasPool(unsigned aFront, std::string const& aService)
  {
    auto const state = CachedStateOf(this->world, aFront);
    return std::ranges::any_of(state.at("stage_pools"),
                               [&](auto const& aPool) { return aPool["service"] == aService; });
  }

  /// Serves a request and returns the owner of a stage.
  unsigned OwnerOf(std::string const& aService)
  {
    auto const response = this->Send(0);
    EXPECT_TRUE(this->world.RunUntil([&] { return response->ended; }));
    unsigned owner = 0;
    while (owner + 1 < this->world.fronts.size() && !this->HasPool(owner, aService))
      ++owner;
    return owner;
  }

  PlatformWorld world;
  StandInEndpoint& encode;
  StandInEndpoint& rank;
  StandInEndpoint& model;
  unsigned sent{ 0 };
};

}

// Requests with stages that were refused because every front was stopping, so that none would own a stage.
TEST(Platform, RunsStagesWhileEveryFrontStops)
{
  StagedWorld staged(2);
  auto& world = staged.world;
  staged.OwnerOf("encode");
  for (auto const& front : world.fronts)
    front->BeginDraining();
  world.RunFor(300ms);
  std::vector<std::shared_ptr<CallerResponse>> const responses{ staged.Send(0), staged.Send(1) };
  ASSERT_TRUE(world.RunUntil(
    [&] { return std::ranges::all_of(responses, [](auto const& aResponse) { return aResponse->ended; }); }));
  for (auto const& response : responses)
    EXPECT_EQ(response->status, 200U) << response->body;
}

// Items computed in vain, and their memory lost to others until it expires, because their owner stopped as soon as its
// own requests had ended.
TEST(Platform, FinishesCallsForOtherFrontsBeforeItStops)
{
  StagedWorld staged(2);
  auto& world = staged.world;
  auto const owner = staged.OwnerOf("encode");
  auto const itemsBefore = staged.encode.seen.size();
  auto const callsBefore = staged.encode.batchSizes.size();
  staged.encode.workTime = kLongCall;
  auto const response = staged.Send(1 - owner);
  ASSERT_TRUE(world.RunUntil([&] { return staged.encode.batchSizes.size() > callsBefore; }));
  world.fronts[owner]->BeginDraining();
  ASSERT_TRUE(world.RunUntil([&] { return bool(world.stopped[owner]); }, 9s));
  EXPECT_GT(staged.encode.seen.size(), itemsBefore);
  ASSERT_TRUE(world.RunUntil([&] { return response->ended; }));
  EXPECT_EQ(response->status, 200U) << response->body;
  EXPECT_EQ(staged.encode.batchSizes.size(), callsBefore + 1);
}

// Memory for results that stayed occupied because the front stopped while it was releasing them.
TEST(Platform, ReleasesResultsBeforeItStops)
{
  StagedWorld staged(1);
  auto& world = staged.world;
  staged.encode.releaseTime = staged.rank.releaseTime = 400ms;
  staged.rank.workTime = kLongCall;
  auto const response = staged.Send(0);
  ASSERT_TRUE(world.RunUntil([&] { return !staged.rank.batchSizes.empty(); }));
  world.fronts[0]->BeginDraining();
  ASSERT_TRUE(world.RunUntil([&] { return bool(world.stopped[0]); }, 9s));
  EXPECT_EQ(response->status, 200U);
  EXPECT_TRUE(staged.encode.heldResults.empty());
  EXPECT_TRUE(staged.rank.heldResults.empty());
}

// Memory for results that stayed occupied because the owner that should have released them had stopped.
TEST(Platform, ReleasesResultsWhoseOwnerHasStopped)
{
  StagedWorld staged(2);
  auto& world = staged.world;
  auto const owner = staged.OwnerOf("rank");
  staged.model.workTime = 300ms;
  ASSERT_TRUE(world.RunUntil([&] { return staged.encode.heldResults.empty() && staged.rank.heldResults.empty(); }));
  auto const modelCalls = staged.model.seen.size();
  auto const response = staged.Send(1 - owner);
  ASSERT_TRUE(world.RunUntil([&] { return staged.model.seen.size() > modelCalls; }));
  world.fronts[owner]->StopPeers();
  ASSERT_TRUE(world.RunUntil([&] { return response->ended; }));
  EXPECT_EQ(response->status, 200U);
  EXPECT_TRUE(world.RunUntil([&] { return staged.encode.heldResults.empty() && staged.rank.heldResults.empty(); }, 3s));
}

/// Returns the numbers of the fronts in the order in which they own a stage service if each owner in turn stops.
static std::vector<unsigned>
SuccessiveOwners(unsigned aFronts, std::string const& aService)
{
  FrontSet fronts;
  for (unsigned front = 0; front < aFronts; ++front)
    ApplyFront(fronts, { .name = "front-" + std::to_string(front) }, 1);
  std::vector<unsigned> owners;
  while (auto const owner = Gateway::OwnerOf(fronts, aService, MonotonicTime())) {
    owners.push_back(unsigned(std::stoul(owner->name.substr(std::string("front-").size()))));
    fronts.byName.erase(owner->name);
  }
  return owners;
}

// A request that failed because its stage's owners stopped one after the other, although it had time left.
TEST(Platform, DISABLED_ServesAJobThatManyOwnersHandOff)
{
  constexpr unsigned kFronts = 10;
  StagedWorld staged(kFronts);
  auto& world = staged.world;
  world.store->Remove("servers", staged.encode.Id());
  world.RunFor(500ms);
  auto const owners = SuccessiveOwners(kFronts, "encode");
  auto const response = staged.Send(owners.back());
  world.RunFor(100ms);
  for (std::size_t index = 0; index + 1 < owners.size(); ++index) {
    world.fronts[owners[index]]->BeginDraining();
    world.RunFor(200ms);
  }
  world.Register(staged.encode, "encode", "ready");
  ASSERT_TRUE(world.RunUntil([&] { return response->ended; }));
  EXPECT_EQ(response->status, 200U) << response->body;
}

// Callers were sent to a front that had stopped, because it had not known of its own entry when it was told to stop.
TEST(Platform, DISABLED_RemovesAnEntryThatItLearnsOfWhileItStops)
{
  constexpr unsigned kFronts = 7;
  PlatformWorld world(kFronts);
  world.stopped.resize(kFronts - 1);
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-5"); }));
  // From now on, the relays are known, and a new front learns of its entry through them.
  world.RunFor(3s);
  world.stopped.resize(kFronts);
  world.store->responsesToLose = 1;
  world.StartFront(kFronts - 1);
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-6"); }));
  world.fronts[kFronts - 1]->BeginDraining();
  EXPECT_TRUE(world.RunUntil([&] { return !world.store->Has("fronts", "front-6"); }, 1s));
}

// Polls that were still waiting at a relay when it stopped, and then failed.
TEST(Platform, DISABLED_LeavesARelayBeforeItStops)
{
  PlainWorld plain(6);
  auto& world = plain.world;
  std::vector<unsigned> relays;
  auto const findRelays = [&] {
    relays.clear();
    for (unsigned front = 0; front < 6; ++front)
      if (CachedStateOf(world, front)["watches_store"] == true)
        relays.push_back(front);
    return relays.size() == 2;
  };
  ASSERT_TRUE(world.RunUntil(findRelays, 8s));
  world.RunFor(500ms);
  auto const followers = [&] { return CachedStateOf(world, relays[0])["followers"].get<int>(); };
  ASSERT_GT(followers(), 0);
  world.fronts[relays[0]]->BeginDraining();
  world.RunFor(1s);
  EXPECT_EQ(followers(), 0);
}

}
