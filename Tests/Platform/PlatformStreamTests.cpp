#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

TEST(Platform, ResumesAnInterruptedStream)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Model, "model");
  world.AddEndpoint(EndpointKind::Model, "model");
  std::size_t total = 0;
  for (auto const& endpoint : world.endpoints)
    endpoint->faultOf = [&](std::size_t) { return total++ == 0 ? EndpointFault::BreakOff : EndpointFault::None; };
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const response = world.Call(0, ModelRequest());
  EXPECT_EQ(response.end, CallEnd::Complete);
  EXPECT_EQ(response.body,
            "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n");
  EXPECT_EQ(total, 2U);
}

static std::string
FiveEvents()
{
  return "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n";
}

/// A request whose client timeout is long enough for a paused stream to be abandoned and resumed at another endpoint.
static CallerRequest
ModelRequestWithLongTimeout()
{
  auto request = ModelRequest();
  request.clientTimeout = 10s;
  return request;
}

TEST(Platform, ResumesAPausedStreamAtAnotherEndpoint)
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
  auto const response = world.Call(0, ModelRequestWithLongTimeout());
  EXPECT_EQ(response.body, FiveEvents());
  EXPECT_EQ(total, 2U);
  EXPECT_LT(response.duration, 2500ms);
}

TEST(Platform, WaitsForAPausedStreamThatCannotBeResumed)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Model, "model");
  world.AddEndpoint(EndpointKind::Model, "model");
  // Both attempts that the route allows pause; after the second one, no retry is left.
  for (auto const& endpoint : world.endpoints)
    endpoint->faultOf = [](std::size_t) { return EndpointFault::Pause; };
  world.PutTable(1, 10s);
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const response = world.Call(0, ModelRequestWithLongTimeout());
  EXPECT_EQ(response.end, CallEnd::Complete);
  EXPECT_EQ(response.body, FiveEvents());
  // Without another endpoint, the first attempt cannot be retried.
  world.store->Remove("servers", world.endpoints[1]->Id());
  world.RunFor(1s);
  EXPECT_EQ(world.Call(0, ModelRequestWithLongTimeout()).body, FiveEvents());
}

/// Two model endpoints: the first request pauses at one, and the other treats its requests as told.
struct PausedStreamWorld
{
  explicit PausedStreamWorld(EndpointFault aOther, EndpointFault aFirst = EndpointFault::Pause)
    : world(1)
  {
    for (auto const* service : { "model", "model" })
      this->world.AddEndpoint(EndpointKind::Model, service);
    for (auto const& endpoint : this->world.endpoints) {
      endpoint->faultOf = [this, aOther, aFirst](std::size_t) { return this->total++ == 0 ? aFirst : aOther; };
      // Longer than the time after which another endpoint is asked.
      endpoint->pauseTime = 2s;
      endpoint->events = 3;
    }
    this->world.PutTable(1, 10s);
    this->world.Start();
    EXPECT_TRUE(this->world.RunUntil([&] { return this->world.store->Has("fronts", "front-0"); }));
  }

  unsigned CallersGone() const { return this->world.endpoints[0]->callersGone + this->world.endpoints[1]->callersGone; }

  PlatformWorld world;
  std::size_t total{ 0 };
};

static std::string
ThreeEvents()
{
  return "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\n";
}

// A sound stream that paused was given up before another endpoint had a place for it, and then cut.
TEST(Platform, StaysAtAPausedStreamIfTheOtherEndpointHasNoRoom)
{
  PausedStreamWorld paused(EndpointFault::Full);
  auto const response = paused.world.Call(0, ModelRequestWithLongTimeout());
  EXPECT_EQ(response.end, CallEnd::Complete);
  EXPECT_EQ(response.body, ThreeEvents());
  EXPECT_EQ(paused.total, 2U);
  EXPECT_LT(response.duration, 3s);
}

// The same with another endpoint that fails, or that is silent, too.
TEST(Platform, GoesOnAtThePausedStreamIfItIsTheFirstToAnswer)
{
  for (auto const other : { EndpointFault::Silent, EndpointFault::LostResponse }) {
    PausedStreamWorld paused(other);
    auto const response = paused.world.Call(0, ModelRequestWithLongTimeout());
    EXPECT_EQ(response.end, CallEnd::Complete);
    EXPECT_EQ(response.body, ThreeEvents());
    EXPECT_LT(response.duration, 3s);
    paused.world.RunFor(50ms);
    EXPECT_EQ(paused.CallersGone(), other == EndpointFault::Silent ? 1U : 0U);
  }
}

// Two endpoints worked on one stream after the second had taken it over.
TEST(Platform, LeavesThePausedStreamAsSoonAsTheOtherEndpointAnswers)
{
  PausedStreamWorld paused(EndpointFault::None);
  auto const response = paused.world.Call(0, ModelRequestWithLongTimeout());
  EXPECT_EQ(response.body, ThreeEvents());
  EXPECT_LT(response.duration, 1500ms);
  paused.world.RunFor(50ms);
  EXPECT_EQ(paused.CallersGone(), 1U);
}

// A request whose endpoint had not begun to answer was refused as it might have run, although it would have been
// answered.
TEST(Platform, StaysAtASilentEndpointIfTheOtherOneHasNoRoom)
{
  PausedStreamWorld paused(EndpointFault::Full, EndpointFault::None);
  for (auto const& endpoint : paused.world.endpoints)
    endpoint->workTime = 2500ms;
  auto const response = paused.world.Call(0, ModelRequestWithLongTimeout());
  EXPECT_EQ(response.status, 200U);
  EXPECT_EQ(response.body, ThreeEvents());
  EXPECT_EQ(paused.total, 2U);
}

TEST(Platform, RunsStagesOfAllFrontsAndReleasesTheirResults)
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
  std::vector<std::shared_ptr<CallerResponse>> responses;
  for (unsigned index = 0; index < 9; ++index) {
    auto request = ModelRequest("/staged/x");
    request.id = "r" + std::to_string(index);
    responses.push_back(world.Send(index % 3, request));
  }
  ASSERT_TRUE(world.RunUntil(
    [&] { return std::ranges::all_of(responses, [](auto const& aResponse) { return aResponse->ended; }); }));
  for (auto const& response : responses)
    EXPECT_EQ(response->status, 200U) << response->body;
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

/// Returns the number of fronts that own the pool of a stage service.
static std::size_t
OwnersOf(PlatformWorld& aWorld, std::string const& aService)
{
  std::size_t owners = 0;
  for (unsigned front = 0; front < aWorld.fronts.size(); ++front) {
    auto const state = CachedStateOf(aWorld, front);
    for (auto const& pool : state.at("stage_pools"))
      owners += pool["service"] == aService ? 1 : 0;
  }
  return owners;
}

// Two owners of a pool would each reserve the same memory for results at its endpoints, which then refuse items for
// lack of memory.
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
    std::vector<std::shared_ptr<CallerResponse>> responses;
    for (unsigned front = 0; front < 4; ++front) {
      auto request = ModelRequest("/staged/x");
      request.id = "r" + std::to_string(sent++);
      responses.push_back(world.Send(front, request));
    }
    world.RunUntil(
      [&] { return std::ranges::all_of(responses, [](auto const& aResponse) { return aResponse->ended; }); });
    for (auto const& response : responses)
      EXPECT_EQ(response->status, 200U) << response->body;
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

// An interrupted response cannot be resumed, because the only endpoint of a stage that it needs again has gone. The
// connection must be closed without a last chunk, so that the caller does not take the response for complete.
TEST(Platform, InterruptsAResponseThatCannotBeResumed)
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
  auto const response = world.SendRaw(0,
                                      "POST /staged/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
                                      "Hornbeamfront-Request-Id: r1\r\nHornbeamfront-Deadline-Ms: 800\r\n"
                                      "Hornbeamfront-Chunks: 2,3\r\nHornbeamfront-Chunk-Key: k\r\n"
                                      "Content-Length: 0\r\n\r\n",
                                      1500ms);
  EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  EXPECT_NE(response.find("data: t2"), std::string::npos) << response;
  EXPECT_EQ(response.find("HTTP/1.1", 8), std::string::npos) << response;
  EXPECT_EQ(response.find("\r\n0\r\n"), std::string::npos) << response;
}

TEST(Platform, RecreatesLostStageResults)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Stage, "encode");
  world.AddEndpoint(EndpointKind::Stage, "rank");
  auto& model = world.AddEndpoint(EndpointKind::Model, "model");
  model.faultOf = [](std::size_t aNumber) { return aNumber == 0 ? EndpointFault::InputsGone : EndpointFault::None; };
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  EXPECT_EQ(world.Call(0, ModelRequest("/staged/x")).status, 200U);
  EXPECT_EQ(model.seen.size(), 2U);
}

}
