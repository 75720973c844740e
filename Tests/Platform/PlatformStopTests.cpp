#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

/// The grace time of the fronts in these tests.
static constexpr Duration kGraceTime = 4s;
/// A refusal at once: far below any timeout, with room for a busy machine.
static constexpr Duration kAtOnce = 300ms;

static std::size_t
RunsOf(StandInEndpoint const& aEndpoint, std::string const& aId)
{
  return std::size_t(std::ranges::count_if(aEndpoint.seen, [&](auto const& aSeen) { return aSeen.id == aId; }));
}

namespace {

/// Two fronts before a model endpoint whose streams last about as long as the grace time.
struct SlowStreamWorld
{
  SlowStreamWorld()
    : world(2)
    , model(world.AddEndpoint(EndpointKind::Model, "model"))
  {
    this->world.graceTime = kGraceTime;
    this->world.AddEndpoint(EndpointKind::Plain, "ledger");
    this->world.PutTable(1, 20s);
    this->world.Start();
    this->model.events = 8;
    this->model.pauseTime = 1s;
    this->model.faultOf = [](std::size_t) { return EndpointFault::Pause; };
    for (auto const* front : { "front-0", "front-1" })
      EXPECT_TRUE(this->world.RunUntil([&] { return this->world.store->Has("fronts", front); }));
    this->world.RunFor(50ms);
  }

  static CallerRequest SlowRequest(std::string aId)
  {
    auto request = ModelRequest();
    request.id = std::move(aId);
    request.clientTimeout = 20s;
    return request;
  }

  PlatformWorld world;
  StandInEndpoint& model;
};

}

// A stream that a front accepted long after its stop had begun was cut in the middle when the process ended.
TEST(PlatformStop, RefusesAtOnceWhatCannotEndBeforeTheStop)
{
  SlowStreamWorld slow;
  slow.world.fronts[0]->BeginDraining();
  slow.world.RunFor(2700ms);
  auto const late = slow.world.Send(0, SlowStreamWorld::SlowRequest("late"));
  ASSERT_TRUE(slow.world.RunUntil([&] { return late->ended; }, 8s));
  EXPECT_EQ(late->status, 503U);
  EXPECT_LT(late->duration, kAtOnce);
  EXPECT_FALSE(FieldValue(late->fields, "Retry-After").empty());
  EXPECT_EQ(RunsOf(slow.model, "late"), 0U);
}

// A stopping front that only counted its requests took short ones away from callers, too, when it refused the long
// ones.
TEST(PlatformStop, ServesShortRequestsWhileItRefusesLongOnes)
{
  SlowStreamWorld slow;
  for (unsigned index = 0; index < 10; ++index)
    ASSERT_EQ(slow.world.Call(0, SafeRequest("before" + std::to_string(index))).status, 200U);
  slow.world.fronts[0]->BeginDraining();
  slow.world.RunFor(1500ms);
  EXPECT_EQ(slow.world.Call(0, SlowStreamWorld::SlowRequest("late")).status, 503U);
  EXPECT_EQ(slow.world.Call(0, SafeRequest("short")).status, 200U);
}

// A request that was read in the turn of the event loop in which the process ended reached an endpoint and got no
// answer.
TEST(PlatformStop, SendsNothingToEndpointsAfterItHasStopped)
{
  PlainWorld plain(2);
  auto& world = plain.world;
  auto& ledger = *world.endpoints[0];
  // Callers that keep their connections use them until the front closes them.
  std::vector<std::shared_ptr<CallerResponse>> responses;
  std::size_t runsAtStop = 0;
  unsigned sent = 0;
  auto const send = [&](Reuse aReuse) {
    responses.push_back(world.Send(0, SafeRequest("q" + std::to_string(sent++)), nullptr, aReuse));
  };
  world.onStopped = [&](unsigned) { runsAtStop = ledger.seen.size(); };
  world.fronts[0]->BeginDraining();
  while (!world.stopped[0]) {
    send(Reuse::Kept);
    send(Reuse::Fresh);
    world.RunUntil([&] { return bool(world.stopped[0]); }, 7ms);
  }
  for (unsigned step = 0; step < 5; ++step) {
    send(Reuse::Kept);
    send(Reuse::Fresh);
    world.RunFor(7ms);
  }
  EXPECT_EQ(ledger.seen.size(), runsAtStop);
  auto const ended = [](auto const& aResponse) { return aResponse->ended; };
  ASSERT_TRUE(world.RunUntil([&] { return std::ranges::all_of(responses, ended); }, 8s));
  // Whatever reached an endpoint was answered whole.
  for (unsigned index = 0; index < responses.size(); ++index) {
    bool const whole = responses[index]->end == CallEnd::Complete && responses[index]->status == 200;
    EXPECT_TRUE(whole || RunsOf(ledger, "q" + std::to_string(index)) == 0) << "q" << index;
  }
}

// Two fronts that stopped at the same time left the directory empty, although both still served.
TEST(PlatformStop, NamesItselfInTheDirectoryWhileNoOtherFrontIsThere)
{
  PlainWorld plain(2);
  auto& world = plain.world;
  auto const names = [&](unsigned aFront) {
    auto const lookup = world.Get(aFront, 2, "/lookup?name=h.example&region=r&zone=a").body;
    return lookup.find(world.CallerAddress(aFront)) != std::string::npos;
  };
  for (auto const& front : world.fronts)
    front->BeginDraining();
  EXPECT_TRUE(world.RunUntil([&] { return names(0) && names(1); }, kApplyBound));
  EXPECT_FALSE(world.store->Has("fronts", "front-0") || world.store->Has("fronts", "front-1"));
}

}
