#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

TEST(Platform, ResumesAStreamThatBreaksOff)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Model, "model");
  world.AddEndpoint(EndpointKind::Model, "model");
  std::size_t total = 0;
  for (auto const& endpoint : world.endpoints)
    endpoint->faultOf = [&](std::size_t) { return total++ == 0 ? EndpointFault::BreakOff : EndpointFault::None; };
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const answer = world.Call(0, Model());
  EXPECT_EQ(answer.end, CallEnd::Complete);
  EXPECT_EQ(answer.body,
            "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n");
  EXPECT_EQ(total, 2U);
}

static std::string
FiveEvents()
{
  return "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n";
}

/// A caller that waits long enough for a paused stream to be given up and taken on by another endpoint.
static CallerRequest
PatientModel()
{
  auto request = Model();
  request.clientTimeout = 10s;
  return request;
}

TEST(Platform, TakesAPausedStreamOnElsewhere)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Model, "model");
  world.AddEndpoint(EndpointKind::Model, "model");
  std::size_t total = 0;
  for (auto const& endpoint : world.endpoints)
    endpoint->faultOf = [&](std::size_t) { return total++ == 0 ? EndpointFault::Pause : EndpointFault::None; };
  world.endpoints[0]->pauseTime = world.endpoints[1]->pauseTime = 5s;
  world.PutTable(1, 10s);
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const answer = world.Call(0, PatientModel());
  EXPECT_EQ(answer.body, FiveEvents());
  EXPECT_EQ(total, 2U);
  EXPECT_LT(answer.took, 2500ms);
}

TEST(Platform, WaitsForAPausedStreamThatCannotGoOnElsewhere)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Model, "model");
  world.AddEndpoint(EndpointKind::Model, "model");
  // Both attempts that the route allows pause; the second one is the last.
  for (auto const& endpoint : world.endpoints)
    endpoint->faultOf = [](std::size_t) { return EndpointFault::Pause; };
  world.PutTable(1, 10s);
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const answer = world.Call(0, PatientModel());
  EXPECT_EQ(answer.end, CallEnd::Complete);
  EXPECT_EQ(answer.body, FiveEvents());
  // With no other endpoint the first attempt is the last.
  world.store->Remove("servers", world.endpoints[1]->Id());
  world.RunFor(1s);
  EXPECT_EQ(world.Call(0, PatientModel()).body, FiveEvents());
}

TEST(Platform, RunsStagesOverAllFrontsAndFreesTheirResults)
{
  PlatformWorld world(3);
  auto& encode = world.AddEndpoint(EndpointKind::Stage, "encode");
  auto& rank = world.AddEndpoint(EndpointKind::Stage, "rank");
  auto& model = world.AddEndpoint(EndpointKind::Model, "model");
  encode.workTime = rank.workTime = 30ms;
  world.Start();
  for (auto const* name : { "front-0", "front-1", "front-2" })
    ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", name); }));
  world.RunFor(50ms);
  std::vector<std::shared_ptr<CallerAnswer>> answers;
  for (unsigned index = 0; index < 9; ++index) {
    auto request = Model("/staged/x");
    request.id = "r" + std::to_string(index);
    answers.push_back(world.Send(index % 3, request));
  }
  ASSERT_TRUE(
    world.RunUntil([&] { return std::ranges::all_of(answers, [](auto const& aAnswer) { return aAnswer->ended; }); }));
  for (auto const& answer : answers)
    EXPECT_EQ(answer->status, 200U) << answer->body;
  EXPECT_EQ(model.seen.size(), 9U);
  for (auto const& seen : model.seen) {
    auto const* const inputs = FindField(seen.fields, "Hornbeamfront-Inputs");
    ASSERT_NE(inputs, nullptr);
    EXPECT_EQ(std::ranges::count(*inputs, ','), 2);
  }
  EXPECT_EQ(encode.seen.size(), 18U);
  EXPECT_LT(encode.batchSizes.size(), 9U);
  EXPECT_TRUE(world.RunUntil([&] { return encode.heldResults.empty() && rank.heldResults.empty(); }, 1s));
}

/// How many fronts own the pool of a stage service.
static std::size_t
OwnersOf(PlatformWorld& aWorld, std::string const& aService)
{
  std::size_t owners = 0;
  for (unsigned front = 0; front < aWorld.fronts.size(); ++front) {
    auto const beliefs = BeliefsOf(aWorld, front);
    for (auto const& pool : beliefs.at("stage_pools"))
      owners += pool["service"] == aService ? 1 : 0;
  }
  return owners;
}

// Two owners count the memory for results twice, and pieces then find no room.
TEST(Platform, KeepsTheOwnerOfAStageWhenConnectionsAreReset)
{
  PlatformWorld world(4);
  world.AddEndpoint(EndpointKind::Stage, "encode");
  world.AddEndpoint(EndpointKind::Stage, "rank");
  world.AddEndpoint(EndpointKind::Model, "model");
  world.Start();
  for (auto const* name : { "front-0", "front-1", "front-2", "front-3" })
    ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", name); }));
  world.RunFor(1s);
  unsigned sent = 0;
  auto const serveOnEach = [&] {
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    for (unsigned front = 0; front < 4; ++front) {
      auto request = Model("/staged/x");
      request.id = "r" + std::to_string(sent++);
      answers.push_back(world.Send(front, request));
    }
    world.RunUntil([&] { return std::ranges::all_of(answers, [](auto const& aAnswer) { return aAnswer->ended; }); });
    for (auto const& answer : answers)
      EXPECT_EQ(answer->status, 200U) << answer->body;
  };
  serveOnEach();
  EXPECT_EQ(OwnersOf(world, "encode"), 1U);
  for (int round = 0; round < 5; ++round) {
    for (auto const& front : world.fronts) {
      front->StopPeers();
      ASSERT_TRUE(front->ServePeers());
    }
    serveOnEach();
  }
  EXPECT_EQ(OwnersOf(world, "encode"), 1U);
  EXPECT_EQ(OwnersOf(world, "rank"), 1U);
}

TEST(Platform, BreaksOffABegunAnswerThatCannotGoOn)
{
  PlatformWorld world(1);
  auto& encode = world.AddEndpoint(EndpointKind::Stage, "encode");
  world.AddEndpoint(EndpointKind::Stage, "rank");
  world.AddEndpoint(EndpointKind::Model, "model");
  world.AddEndpoint(EndpointKind::Model, "model");
  for (auto const& endpoint : world.endpoints)
    endpoint->faultOf = [&](std::size_t) {
      world.store->Remove("servers", encode.Id());
      return EndpointFault::BreakOff;
    };
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const answer = world.SendRaw(0,
                                    "POST /staged/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
                                    "Hornbeamfront-Request-Id: r1\r\nHornbeamfront-Deadline-Ms: 800\r\n"
                                    "Hornbeamfront-Chunks: 2,3\r\nHornbeamfront-Chunk-Key: k\r\n"
                                    "Content-Length: 0\r\n\r\n",
                                    1500ms);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_NE(answer.find("data: t2"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("HTTP/1.1", 8), std::string::npos) << answer;
  EXPECT_EQ(answer.find("\r\n0\r\n"), std::string::npos) << answer;
}

TEST(Platform, MakesResultsAgainThatAreGone)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Stage, "encode");
  world.AddEndpoint(EndpointKind::Stage, "rank");
  auto& model = world.AddEndpoint(EndpointKind::Model, "model");
  model.faultOf = [](std::size_t aNumber) { return aNumber == 0 ? EndpointFault::InputsGone : EndpointFault::None; };
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  EXPECT_EQ(world.Call(0, Model("/staged/x")).status, 200U);
  EXPECT_EQ(model.seen.size(), 2U);
}

}
