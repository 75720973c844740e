#include "PlatformFixtures.h"
#include "RawEndpoint.h"
#include "StandInFront.h"
#include <Tests/LibExchange/TunnelProcess.h>

// Fronts that are cut off from all endpoints, while callers, the store and the other fronts reach them.

namespace Hornbeam::Testing {

/// Callers are served by fronts that are cut off from this time after the cut on.
static constexpr Duration kNoticeTime = 2s;
/// The part of the requests at a cut front that must be served, against that at the others.
static constexpr double kServedShare = 0.9;

/// Sends a request to each front every 50 ms for some time, and counts those that were served.
static std::vector<double>
ServedShares(PlatformWorld& aWorld, Duration aTime, std::function<CallerRequest(std::string)> const& aMake)
{
  std::vector<std::vector<std::shared_ptr<CallerResponse>>> responses(aWorld.stopped.size());
  static unsigned number = 0;
  auto const end = aWorld.clock.Now() + aTime;
  while (aWorld.clock.Now() < end) {
    for (unsigned front = 0; front < responses.size(); ++front)
      responses[front].push_back(aWorld.Send(front, aMake("lost-link-" + std::to_string(++number))));
    aWorld.RunFor(50ms);
  }
  aWorld.RunFor(3s);
  std::vector<double> shares;
  for (auto const& ofFront : responses) {
    auto const served = std::ranges::count_if(
      ofFront, [](auto const& aResponse) { return aResponse->ended && aResponse->status == 200; });
    shares.push_back(double(served) / double(ofFront.size()));
  }
  return shares;
}

static CallerRequest
UnsafeRequest(std::string aId)
{
  CallerRequest request;
  request.target = "/plain/x";
  request.id = std::move(aId);
  return request;
}

/// The number of requests that more than one endpoint, or one endpoint twice, has run.
static std::size_t
RunTwice(PlatformWorld& aWorld)
{
  std::map<std::string, unsigned> runs;
  for (auto const& endpoint : aWorld.endpoints)
    for (auto const& request : endpoint->seen)
      if (request.ran)
        ++runs[request.id];
  return std::size_t(std::ranges::count_if(runs, [](auto const& aEntry) { return aEntry.second > 1; }));
}

// An endpoint that was down was not ejected, as its front took the link for lost: each request tried it first.
TEST(PlatformLostLink, EjectsAnEndpointThatIsDown)
{
  PlainWorld plain(3, 1);
  auto& world = plain.world;
  ServedShares(world, 500ms, UnsafeRequest);
  auto const isEjected = [&] {
    auto const state = CachedStateOf(world, 0);
    return std::ranges::any_of(state.at("endpoints"),
                               [](auto const& aEndpoint) { return aEndpoint["ejected_ms"] > 0; });
  };
  world.endpoints[0]->StopListening();
  bool ejected = false;
  for (unsigned round = 0; round < 40 && !ejected; ++round) {
    world.Call(0, SafeRequest("down-" + std::to_string(round)));
    ejected = isEjected();
  }
  EXPECT_TRUE(ejected);
}

// The front that helped was killed, and what had arrived of an answer without length reached the caller as a whole one.
TEST(PlatformLostLink, DoesNotEndAnswersThroughAKilledFront)
{
  auto const helperAddress = "127.0.0.1:20985";
  for (std::string const target : { "/safe/x", "/model/x" }) {
    TunnelProcess helper(helperAddress);
    PlatformWorld world(1);
    RawEndpoint endpoint(world, target == "/safe/x" ? "ledger" : "model", 20981);
    endpoint.answerOf = [](auto const& aRequest, std::size_t) {
      return RawAnswer{ RawHead(aRequest) + "id: 1\ndata: t1\n\n", RawAnswer::Ending::Keep };
    };
    auto const peerAddress = world.NextAddress();
    StandInFront const peer(world.loop, peerAddress);
    world.store->Put("fronts",
                     "helper",
                     { { "caller_address", peerAddress },
                       { "peer_address", peerAddress },
                       { "data_center", "a" },
                       { "incarnation", 1 },
                       { "cores", 1 },
                       { "region", "r" },
                       { "tunnel_address", helperAddress } });
    world.SetLink(0, LostLink::OldKept);
    world.Start();
    ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
    world.RunFor(100ms);
    auto const response = world.Send(0, target == "/safe/x" ? SafeRequest() : ModelRequest(target));
    ASSERT_TRUE(world.RunUntil([&] { return !endpoint.seen.empty(); }));
    world.RunFor(100ms);
    helper.Kill();
    ASSERT_TRUE(world.RunUntil([&] { return response->ended; }));
    EXPECT_FALSE(response->end == CallEnd::Complete && response->status == 200) << target;
  }
}

class PlatformLostLinks : public testing::TestWithParam<LostLink>
{};

INSTANTIATE_TEST_SUITE_P(Links,
                         PlatformLostLinks,
                         testing::Values(LostLink::Hanging, LostLink::OldKept),
                         [](auto const& aInfo) { return aInfo.param == LostLink::Hanging ? "Hanging" : "OldKept"; });

// A front that lost its endpoints failed all requests, although other fronts reached every endpoint.
TEST_P(PlatformLostLinks, ServesOverOtherFronts)
{
  PlainWorld plain(4, 4);
  auto& world = plain.world;
  ServedShares(world, 1s, UnsafeRequest);
  for (auto const front : { 0U, 2U })
    world.SetLink(front, GetParam());
  ServedShares(world, kNoticeTime - 1s, SafeRequest);
  auto const shares = ServedShares(world, 3s, UnsafeRequest);
  auto const others = std::min(shares[1], shares[3]);
  EXPECT_GE(others, kServedShare);
  EXPECT_GE(shares[0], kServedShare * others);
  EXPECT_GE(shares[2], kServedShare * others);
  EXPECT_EQ(RunTwice(world), 0U);
}

// The owner of the stage pools lost its endpoints: requests with stages failed at all fronts.
TEST(PlatformLostLink, KeepsStagesGoingWhoseOwnerIsCutOff)
{
  PlatformWorld world(3);
  world.AddEndpoint(EndpointKind::Stage, "encode");
  world.AddEndpoint(EndpointKind::Stage, "rank");
  world.AddEndpoint(EndpointKind::Model, "model");
  world.Start();
  for (unsigned front = 0; front < 3; ++front)
    EXPECT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-" + std::to_string(front)); }));
  world.RunFor(50ms);
  auto const makeStaged = [](std::string aId) {
    auto request = ModelRequest("/staged/x");
    request.id = std::move(aId);
    return request;
  };
  ServedShares(world, 500ms, makeStaged);
  std::set<unsigned> owners;
  for (unsigned front = 0; front < 3; ++front)
    if (!CachedStateOf(world, front).at("stage_pools").empty())
      owners.insert(front);
  ASSERT_LT(owners.size(), 3U);
  for (auto const owner : owners)
    world.SetLink(owner, LostLink::Hanging);
  ServedShares(world, kNoticeTime - 1s, makeStaged);
  auto const shares = ServedShares(world, 3s, makeStaged);
  for (unsigned front = 0; front < 3; ++front)
    EXPECT_GE(shares[front], kServedShare) << "front " << front << ", owner: " << owners.contains(front);
}

}
