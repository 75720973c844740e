#include "PlatformFixtures.h"

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

class PlatformLostLink : public testing::TestWithParam<LostLink>
{};

INSTANTIATE_TEST_SUITE_P(Links,
                         PlatformLostLink,
                         testing::Values(LostLink::Hanging, LostLink::OldKept),
                         [](auto const& aInfo) { return aInfo.param == LostLink::Hanging ? "Hanging" : "OldKept"; });

// A front that lost its endpoints failed all requests, although other fronts reached every endpoint.
TEST_P(PlatformLostLink, ServesOverOtherFronts)
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

}
