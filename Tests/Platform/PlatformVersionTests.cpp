#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

/// Fronts and model endpoints of several software versions, whose events name their version.
struct VersionWorld
{
  explicit VersionWorld(std::vector<std::string> const& aVersions, unsigned aFronts = 1)
    : world(2 * aFronts)
  {
    for (auto const& version : aVersions)
      this->AddEndpoint(version);
    this->world.PutTable(1);
    for (unsigned front = 0; front < aFronts; ++front)
      this->world.StartFront(front);
    for (unsigned front = 0; front < aFronts; ++front)
      EXPECT_TRUE(
        this->world.RunUntil([&] { return this->world.store->Has("fronts", "front-" + std::to_string(front)); }));
    this->world.RunFor(100ms);
  }

  StandInEndpoint& AddEndpoint(std::string const& aVersion)
  {
    auto& endpoint = this->world.AddEndpoint(EndpointKind::Model, "model");
    endpoint.softwareVersion = aVersion;
    endpoint.includesVersion = true;
    this->world.Register(endpoint, "model", "ready");
    return endpoint;
  }

  /// Takes the first fronts away, which answer nobody any more, and starts as many others that know nothing.
  void ReplaceFronts()
  {
    this->world.firstStart = false;
    auto const count = unsigned(this->world.fronts.size());
    for (auto const& front : this->world.fronts) {
      front->StopPeers();
      front->BeginDraining();
    }
    for (unsigned front = count; front < 2 * count; ++front)
      this->world.StartFront(front);
    for (unsigned front = count; front < 2 * count; ++front)
      EXPECT_TRUE(this->world.RunUntil([&] { return VersionAt(this->world, front) == 1; }));
    this->world.RunFor(1s);
  }

  PlatformWorld world;
};

static bool
HoldsVersion(std::string const& aBody, std::string const& aVersion)
{
  return aBody.find("@" + aVersion + "\n") != std::string::npos;
}

// A stream that an endpoint broke off went on at another software version within the same answer.
TEST(PlatformVersion, GoesOnWithinAnAnswerAtTheVersionThatBeganIt)
{
  for (auto const& versions : std::vector<std::vector<std::string>>{ { "v1", "v2" }, { "v1", "v2", "v1", "v2" } }) {
    VersionWorld versionWorld(versions);
    auto& world = versionWorld.world;
    std::size_t total = 0;
    for (auto const& endpoint : world.endpoints)
      endpoint->faultOf = [&](std::size_t) { return total++ == 0 ? EndpointFault::BreakOff : EndpointFault::None; };
    auto const response = world.Call(0, ModelRequest());
    EXPECT_NE(HoldsVersion(response.body, "v1"), HoldsVersion(response.body, "v2")) << response.body;
    // With another endpoint of the version, the stream is completed; without one, it ends visibly incomplete.
    EXPECT_EQ(response.end == CallEnd::Complete, versions.size() == 4) << response.body;
    EXPECT_LT(response.duration, 1s);
  }
}

/// A request whose prompt shares nothing with others, as streams that break off again and again put their parts under
/// suspicion.
static CallerRequest
StreamRequest(std::string const& aStream)
{
  auto request = ModelRequest();
  request.body = aStream;
  request.extraFields[0].second = aStream + "-first:10," + aStream + "-second:20,own:5";
  return request;
}

/// Sends a stream that breaks off at the caller after some events, and returns the id of the last one.
static std::string
BeginStream(VersionWorld& aWorld, unsigned aFront, std::string const& aId)
{
  auto request = StreamRequest(aId);
  request.id = aId;
  auto const response = aWorld.world.Call(aFront, request);
  EXPECT_NE(response.end, CallEnd::Complete);
  auto const last = response.body.rfind("id: ");
  EXPECT_NE(last, std::string::npos) << aId;
  return last == std::string::npos ? "0" : response.body.substr(last + 4, response.body.find('\n', last) - last - 4);
}

static CallerResponse
TakeUp(VersionWorld& aWorld, unsigned aFront, std::string const& aResumed, std::string const& aLastEvent)
{
  auto request = StreamRequest(aResumed);
  request.id = "again-" + aResumed;
  request.extraFields.emplace_back("Last-Event-Id", aLastEvent);
  if (!aResumed.empty())
    request.extraFields.emplace_back("Resumes", aResumed);
  return aWorld.world.Call(aFront, request);
}

/// Lets the endpoints break off each stream after two events, until Recover().
static void
BreakStreams(VersionWorld& aWorld)
{
  for (auto const& endpoint : aWorld.world.endpoints)
    endpoint->faultOf = [](std::size_t) { return EndpointFault::BreakOff; };
}

static void
Recover(VersionWorld& aWorld)
{
  for (auto const& endpoint : aWorld.world.endpoints)
    endpoint->faultOf = nullptr;
}

/// Lets one of the endpoints that ran a request refuse others, so that the prompt's prefix does not lead back to it.
static void
LeaveNoRoomWhereItRan(VersionWorld& aWorld, std::string const& aRequestId)
{
  auto const ran = [&](auto const& aEndpoint) {
    return std::ranges::any_of(aEndpoint->seen, [&](auto const& aSeen) { return aSeen.id == aRequestId; });
  };
  auto const found = std::ranges::find_if(aWorld.world.endpoints, ran);
  ASSERT_NE(found, aWorld.world.endpoints.end());
  (*found)->faultOf = [](std::size_t) { return EndpointFault::Full; };
}

/// Returns the version of the endpoint that ran a request; empty if none did.
static std::string
VersionThatRan(VersionWorld const& aWorld, std::string const& aRequestId)
{
  for (auto const& endpoint : aWorld.world.endpoints)
    for (auto const& seen : endpoint->seen)
      if (seen.id == aRequestId && seen.ran)
        return endpoint->softwareVersion;
  return "";
}

// A caller that took its stream up at another front got the rest from another software version.
TEST(PlatformVersion, GoesOnAtTheVersionThatBeganTheStreamAtAnyFront)
{
  VersionWorld versionWorld({ "v1", "v2", "v1", "v2", "v1", "v2" }, 3);
  versionWorld.world.RunFor(500ms);
  unsigned goneOn = 0;
  for (unsigned number = 0; number < 12; ++number) {
    auto const id = "s" + std::to_string(number);
    BreakStreams(versionWorld);
    auto const last = BeginStream(versionWorld, number % 3, id);
    Recover(versionWorld);
    auto const begunAt = VersionThatRan(versionWorld, id);
    LeaveNoRoomWhereItRan(versionWorld, id);
    versionWorld.world.RunFor(60ms);
    auto const response = TakeUp(versionWorld, (number + 1) % 3, id, last);
    if (response.status != 200)
      continue;
    ++goneOn;
    EXPECT_EQ(VersionThatRan(versionWorld, "again-" + id), begunAt) << id;
  }
  EXPECT_EQ(goneOn, 12U);
}

// All fronts were killed at once and came back; the streams of the version that had left went on at the other one.
TEST(PlatformVersion, JoinsNoVersionsAfterAllFrontsWereReplaced)
{
  VersionWorld versionWorld({ "v1", "v1" }, 3);
  auto& world = versionWorld.world;
  BreakStreams(versionWorld);
  auto const last = BeginStream(versionWorld, 0, "old");
  versionWorld.AddEndpoint("v2");
  versionWorld.AddEndpoint("v2");
  EXPECT_TRUE(world.RunUntil([&] { return world.store->Has("stream-origins", "software-versions"); }));
  world.RunFor(1s);
  world.store->Remove("servers", world.endpoints[0]->Id());
  world.store->Remove("servers", world.endpoints[1]->Id());
  Recover(versionWorld);
  versionWorld.ReplaceFronts();
  for (unsigned front = 3; front < 6; ++front) {
    auto const response = TakeUp(versionWorld, front, "old", last);
    EXPECT_EQ(response.status, 503U) << response.body;
    EXPECT_NE(FindField(response.fields, "Retry-After"), nullptr);
    EXPECT_LT(response.duration, 1s);
  }
  EXPECT_EQ(VersionThatRan(versionWorld, "again-old"), "");
}

// Known streams go on after all fronts were killed while two versions serve.
TEST(PlatformVersion, GoesOnAfterAllFrontsWereReplaced)
{
  VersionWorld versionWorld({ "v1", "v2", "v1", "v2" }, 3);
  auto& world = versionWorld.world;
  EXPECT_TRUE(world.RunUntil([&] { return world.store->Has("stream-origins", "software-versions"); }));
  std::map<std::string, std::string> lastEvents;
  BreakStreams(versionWorld);
  for (unsigned number = 0; number < 8; ++number) {
    auto const id = "s" + std::to_string(number);
    lastEvents[id] = BeginStream(versionWorld, number % 3, id);
  }
  world.RunFor(1s);
  Recover(versionWorld);
  versionWorld.ReplaceFronts();
  unsigned front = 0;
  for (auto const& [id, last] : lastEvents) {
    auto const begunAt = VersionThatRan(versionWorld, id);
    LeaveNoRoomWhereItRan(versionWorld, id);
    auto const response = TakeUp(versionWorld, 3 + front++ % 3, id, last);
    EXPECT_EQ(response.status, 200U) << id;
    EXPECT_EQ(VersionThatRan(versionWorld, "again-" + id), begunAt) << id;
    Recover(versionWorld);
  }
}

TEST(PlatformVersion, RefusesTakeUpsWhoseOriginIsUnknownWhileSeveralVersionsServe)
{
  VersionWorld versionWorld({ "v1", "v2" }, 2);
  auto& world = versionWorld.world;
  world.RunFor(500ms);
  BreakStreams(versionWorld);
  auto const last = BeginStream(versionWorld, 0, "known");
  Recover(versionWorld);
  world.RunFor(100ms);
  for (auto const* resumed : { "never-sent", "again-never-sent", "" }) {
    auto const response = TakeUp(versionWorld, 1, resumed, last);
    EXPECT_EQ(response.status, 503U) << resumed;
    EXPECT_LT(response.duration, 1s);
  }
  // Another request must not take the stream up.
  auto other = ModelRequest();
  other.id = "other";
  other.target = "/model/other";
  other.extraFields = { { "Last-Event-Id", last }, { "Resumes", "known" } };
  EXPECT_EQ(world.Call(1, other).status, 503U);
  EXPECT_EQ(VersionThatRan(versionWorld, "other"), "");
  EXPECT_EQ(TakeUp(versionWorld, 1, "known", last).status, 200U);
}

// With one version, streams go on as before, and nothing is written for them.
TEST(PlatformVersion, RecordsNothingWhileThereIsOneVersion)
{
  VersionWorld versionWorld({ "v1", "v1" }, 2);
  auto& world = versionWorld.world;
  EXPECT_TRUE(world.RunUntil([&] { return world.store->Has("stream-origins", "software-versions"); }));
  BreakStreams(versionWorld);
  auto const last = BeginStream(versionWorld, 0, "s");
  Recover(versionWorld);
  EXPECT_EQ(TakeUp(versionWorld, 1, "s", last).status, 200U);
  world.RunFor(1s);
  EXPECT_EQ(world.store->Count("stream-origins"), 1U);
}

// A front whose watch had missed that a second version joined took its knowledge for the whole and sent streams of that
// version on to the other one.
TEST(PlatformVersion, JoinsNoVersionsAtAFrontThatMissedASecondOne)
{
  VersionWorld versionWorld({ "v1", "v1" }, 2);
  auto& world = versionWorld.world;
  EXPECT_TRUE(world.RunUntil([&] { return world.store->Has("stream-origins", "software-versions"); }));
  world.store->lostAnswer = LostAnswer::Whole;
  versionWorld.AddEndpoint("v2");
  world.RunFor(20ms);
  // The front at which the stream began is gone.
  auto const response = TakeUp(versionWorld, 0, "begun-elsewhere", "2");
  EXPECT_EQ(response.status, 503U);
  EXPECT_NE(FindField(response.fields, "Retry-After"), nullptr);
  EXPECT_EQ(VersionThatRan(versionWorld, "again-begun-elsewhere"), "");
}

// One entry of another writer made all entries behind it unreadable, so that the second version was not found.
TEST(PlatformVersion, JoinsNoVersionsBesideAnEntryOfAnotherWriter)
{
  VersionWorld versionWorld({ "v1", "v1" }, 2);
  auto& world = versionWorld.world;
  EXPECT_TRUE(world.RunUntil([&] { return world.store->Has("stream-origins", "software-versions"); }));
  world.store->Put("servers", "a-odd", { { "service", 5 } });
  world.store->lostAnswer = LostAnswer::Whole;
  versionWorld.AddEndpoint("v2");
  world.RunFor(20ms);
  auto const response = TakeUp(versionWorld, 0, "begun-elsewhere", "2");
  EXPECT_EQ(response.status, 503U);
  EXPECT_EQ(VersionThatRan(versionWorld, "again-begun-elsewhere"), "");
}

// A front that the store turned away took streams up at the only version that it had heard of.
TEST(PlatformVersion, RefusesTakeUpsAtTheOnlyKnownVersionWhileTheStoreIsAway)
{
  for (auto const behavior : { StoreBehavior::Refusing, StoreBehavior::Resetting, StoreBehavior::Silent }) {
    VersionWorld versionWorld({ "v1", "v1" }, 2);
    auto& world = versionWorld.world;
    EXPECT_TRUE(world.RunUntil([&] { return world.store->Has("stream-origins", "software-versions"); }));
    world.store->behavior = behavior;
    auto const response = TakeUp(versionWorld, 0, "s", "2");
    EXPECT_EQ(response.status, 503U);
    EXPECT_LT(response.duration, 2s);
    EXPECT_EQ(VersionThatRan(versionWorld, "again-s"), "");
    world.store->behavior = StoreBehavior::Healthy;
    EXPECT_TRUE(HappensWithin(
      world, [&] { return TakeUp(versionWorld, 0, "s", "2").status == 200; }, 5s));
  }
}

// The front at which streams began was the keeper of their records, too; both were lost when it was killed.
TEST(PlatformVersion, GoesOnAtOnceAfterTheFrontThatBeganTheStreamWasKilled)
{
  // Each front is killed in one round, as the names decide which ones are keepers.
  for (unsigned killed = 0; killed < 3; ++killed) {
    VersionWorld versionWorld({ "v1", "v2", "v1", "v2" }, 3);
    auto& world = versionWorld.world;
    world.RunFor(500ms);
    std::map<std::string, std::string> lastEvents;
    // Records that have not been written are lost with their keepers.
    world.store->behavior = StoreBehavior::Resetting;
    BreakStreams(versionWorld);
    for (unsigned number = 0; number < 4; ++number) {
      auto const id = "s" + std::to_string(number);
      lastEvents[id] = BeginStream(versionWorld, killed, id);
    }
    world.RunFor(200ms);
    Recover(versionWorld);
    world.fronts[killed]->StopPeers();
    unsigned goneOn = 0;
    for (auto const& [id, last] : lastEvents) {
      auto const response = TakeUp(versionWorld, (killed + 1 + goneOn % 2) % 3, id, last);
      EXPECT_EQ(response.status, 200U) << id << " begun at front " << killed;
      EXPECT_EQ(VersionThatRan(versionWorld, "again-" + id), VersionThatRan(versionWorld, id)) << id;
      ++goneOn;
    }
  }
}

}
