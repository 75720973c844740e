#include "PlatformFixtures.h"

// What endpoints say of themselves in their answers: that they leave, what they take, and how long they want nothing.

namespace Hornbeam::Testing {

/// A front counts as told half a second after an answer.
static constexpr Duration kTold = 500ms;
static constexpr Duration kLimitWindow = 4s;

/// What an endpoint with a limit may get in any window: one and a half times the limit, and five requests.
static std::size_t
AllowedInWindow(double aLimit)
{
  return std::size_t(aLimit * Seconds(kLimitWindow) * 1.5) + 5;
}

static std::vector<MonotonicTime>
Arrivals(StandInEndpoint const& aEndpoint, MonotonicTime aFrom)
{
  std::vector<MonotonicTime> times;
  for (auto const& request : aEndpoint.seen)
    if (request.at >= aFrom)
      times.push_back(request.at);
  return times;
}

static std::size_t
MostInWindow(std::vector<MonotonicTime> const& aTimes)
{
  std::size_t most = 0;
  for (std::size_t first = 0; first < aTimes.size(); ++first) {
    auto const end = std::ranges::upper_bound(aTimes, aTimes[first] + kLimitWindow);
    most = std::max(most, std::size_t(end - aTimes.begin()) - first);
  }
  return most;
}

struct SentRequests
{
  std::size_t sent{ 0 };
  std::size_t completed{ 0 };
};

/// Sends one request after another to all fronts in turn.
static SentRequests
SendRequests(PlatformWorld& aWorld, Duration aTime, Duration aInterval)
{
  std::vector<std::shared_ptr<CallerResponse>> responses;
  auto const end = aWorld.clock.Now() + aTime;
  for (unsigned number = 0; aWorld.clock.Now() < end; ++number) {
    auto request = SafeRequest("s" + std::to_string(number) + "-" + std::to_string(Milliseconds(aTime)));
    request.clientTimeout = 2s;
    responses.push_back(aWorld.Send(number % aWorld.stopped.size(), request));
    aWorld.RunFor(aInterval);
  }
  aWorld.RunFor(200ms);
  auto const completed =
    std::ranges::count_if(responses, [](auto const& aResponse) { return aResponse->status == 200; });
  return { responses.size(), std::size_t(completed) };
}

// An endpoint in need got as many requests as the others: its limit was not read.
TEST(PlatformSignals, SendsNoMoreThanALimitedEndpointTakes)
{
  for (auto const limit : { 0.25, 1.0, 5.0 }) {
    PlainWorld plain(3, 3);
    auto& world = plain.world;
    world.endpoints[0]->signals = { { "Server-Limit", std::to_string(limit) } };
    SendRequests(world, 1s, 10ms);
    auto const from = world.clock.Now() + kTold;
    auto const requests = SendRequests(world, 6s, 10ms);
    auto const arrivals = Arrivals(*world.endpoints[0], from);
    EXPECT_LE(MostInWindow(arrivals), AllowedInWindow(limit)) << limit;
    // Not against the time that has passed: a busy machine sends fewer requests in it.
    EXPECT_GE(double(requests.completed), 0.95 * double(requests.sent)) << limit;
  }
}

// A limit that is kept by sending next to nothing wastes the endpoint: it must get at least 0.7 of what it takes.
TEST(PlatformSignals, UsesWhatALimitedEndpointTakes)
{
  PlainWorld plain(3, 1);
  auto& world = plain.world;
  world.endpoints[0]->signals = { { "Server-Limit", "10" } };
  SendRequests(world, 1s, 20ms);
  auto const from = world.clock.Now();
  SendRequests(world, 6s, 20ms);
  auto const arrivals = Arrivals(*world.endpoints[0], from);
  EXPECT_GE(arrivals.size(), std::size_t(0.7 * 10 * 6 * 0.95));
  EXPECT_LE(MostInWindow(arrivals), AllowedInWindow(10));
}

// An endpoint without a limit any more was held to the last one.
TEST(PlatformSignals, ForgetsALimitThatAnAnswerDoesNotName)
{
  PlainWorld plain(1, 1);
  auto& world = plain.world;
  world.endpoints[0]->signals = { { "Server-Limit", "2" } };
  EXPECT_EQ(world.Call(0, SafeRequest("first")).status, 200U);
  world.endpoints[0]->signals.clear();
  world.RunFor(1500ms);
  EXPECT_EQ(world.Call(0, SafeRequest("second")).status, 200U);
  for (unsigned number = 0; number < 10; ++number)
    EXPECT_EQ(world.Call(0, SafeRequest("r" + std::to_string(number))).status, 200U);
}

// An endpoint that had said in an answer that it leaves was used until its entry in the store said so.
TEST(PlatformSignals, SendsNothingAfterAnAnswerThatSaysLeaving)
{
  PlainWorld plain(1, 2);
  auto& world = plain.world;
  world.endpoints[0]->signals = { { "Server-Leaving", "1" } };
  SendRequests(world, 300ms, 10ms);
  auto const from = world.clock.Now();
  // Its entry is written again, still ready, and expires and comes back.
  world.Register(*world.endpoints[0], "ledger", "ready", "b");
  world.RunFor(500ms);
  world.store->Remove("servers", world.endpoints[0]->Id());
  world.RunFor(500ms);
  world.Register(*world.endpoints[0], "ledger", "ready");
  world.RunFor(500ms);
  SendRequests(world, 1s, 10ms);
  EXPECT_FALSE(world.endpoints[0]->seen.empty());
  EXPECT_TRUE(Arrivals(*world.endpoints[0], from).empty());
}

// An endpoint that had asked for a pause with its refusal was tried again after 50 ms.
TEST(PlatformSignals, SendsNothingWhileARefusalAsksToWait)
{
  PlainWorld plain(1, 2);
  auto& world = plain.world;
  // Slow enough that both are needed.
  world.endpoints[0]->workTime = 50ms;
  world.endpoints[1]->workTime = 50ms;
  world.endpoints[0]->faultOf = [](std::size_t) { return EndpointFault::Full; };
  world.endpoints[0]->signals = { { "Retry-After", "2" } };
  SendRequests(world, 200ms, 10ms);
  ASSERT_FALSE(world.endpoints[0]->seen.empty());
  auto const told = world.endpoints[0]->seen.front().at;
  world.endpoints[0]->faultOf = nullptr;
  world.endpoints[0]->signals.clear();
  SendRequests(world, 1500ms, 10ms);
  EXPECT_LE(Arrivals(*world.endpoints[0], told + kTold).size(), 2U);
  SendRequests(world, 1500ms, 10ms);
  EXPECT_FALSE(Arrivals(*world.endpoints[0], told + 2s).empty());
}

static unsigned
SendModelRequests(PlatformWorld& aWorld, Duration aTime, Duration aInterval)
{
  std::vector<std::shared_ptr<CallerResponse>> responses;
  auto const end = aWorld.clock.Now() + aTime;
  for (unsigned number = 0; aWorld.clock.Now() < end; ++number) {
    auto request = ModelRequest("/staged/x");
    request.id = "m" + std::to_string(number) + "-" + std::to_string(Milliseconds(aTime));
    responses.push_back(aWorld.Send(0, request));
    aWorld.RunFor(aInterval);
  }
  aWorld.RunFor(200ms);
  return unsigned(std::ranges::count_if(responses, [](auto const& aResponse) { return aResponse->status == 200; }));
}

static std::size_t
StageCallsSince(StandInEndpoint const& aEndpoint, MonotonicTime aFrom)
{
  return std::size_t(std::ranges::count_if(aEndpoint.stageCalls, [&](auto aTime) { return aTime >= aFrom; }));
}

/// A world with two endpoints of the first stage; the first of them is number 1.
struct StagedWorld
{
  StagedWorld()
    : world(1)
  {
    this->world.AddEndpoint(EndpointKind::Model, "model");
    this->world.AddEndpoint(EndpointKind::Stage, "encode");
    this->world.AddEndpoint(EndpointKind::Stage, "encode");
    this->world.AddEndpoint(EndpointKind::Stage, "rank");
    this->world.Start();
    EXPECT_TRUE(this->world.RunUntil([&] { return this->world.store->Has("fronts", "front-0"); }));
    this->world.RunFor(50ms);
  }

  PlatformWorld world;
};

// The owner of a stage pool called endpoints that had said that they leave, had a limit, or had asked to wait.
TEST(PlatformSignals, HoldsForCallsOfStages)
{
  StagedWorld staged;
  auto& world = staged.world;
  auto& endpoint = *world.endpoints[1];
  endpoint.signals = { { "Server-Limit", "1" } };
  EXPECT_GT(SendModelRequests(world, 500ms, 30ms), 0U);
  ASSERT_FALSE(endpoint.stageCalls.empty());
  auto const limited = world.clock.Now() + kTold;
  SendModelRequests(world, 5s, 30ms);
  std::vector<MonotonicTime> calls;
  std::ranges::copy_if(endpoint.stageCalls, std::back_inserter(calls), [&](auto aTime) { return aTime >= limited; });
  EXPECT_LE(MostInWindow(calls), AllowedInWindow(1));
  EXPECT_FALSE(calls.empty());
  endpoint.signals = { { "Retry-After", "1.5" } };
  endpoint.faultOf = [](std::size_t) { return EndpointFault::Full; };
  auto const before = endpoint.stageCalls.size();
  EXPECT_TRUE(world.RunUntil(
    [&] {
      SendModelRequests(world, 60ms, 30ms);
      return endpoint.stageCalls.size() > before;
    },
    4s));
  auto const told = endpoint.stageCalls.back();
  SendModelRequests(world, 1s, 30ms);
  EXPECT_LE(StageCallsSince(endpoint, told + kTold), 2U);
  endpoint.signals = { { "Server-Leaving", "1" } };
  endpoint.faultOf = nullptr;
  auto const waited = endpoint.stageCalls.size();
  EXPECT_TRUE(world.RunUntil(
    [&] {
      SendModelRequests(world, 60ms, 30ms);
      return endpoint.stageCalls.size() > waited;
    },
    4s));
  world.RunFor(50ms);
  auto const left = world.clock.Now();
  SendModelRequests(world, 1s, 30ms);
  EXPECT_EQ(StageCallsSince(endpoint, left), 0U);
}

}
