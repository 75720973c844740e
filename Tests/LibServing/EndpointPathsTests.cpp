#include <LibServing/LibServing.h>
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

static constexpr MonotonicTime kStart{ 100s };

/// Fronts front-0 to front-(aFronts - 1) in three data centres, all with tunnels.
static FrontSet
Fleet(unsigned aFronts)
{
  FrontSet fronts;
  for (unsigned index = 0; index < aFronts; ++index) {
    auto const number = std::to_string(index);
    FrontEntry entry{ "front-" + number, "c-" + number, "p-" + number, std::string(1, char('a' + index % 3)) };
    entry.tunnelAddress = "t-" + number;
    ApplyFront(fronts, entry, index + 1);
  }
  return fronts;
}

struct PathsOfFront
{
  explicit PathsOfFront(unsigned aFronts)
    : fronts(Fleet(aFronts))
  {
  }

  std::string Choose(std::string const& aAddress, MonotonicTime aNow) const
  {
    return ChooseTunnel(this->paths, { this->fronts, this->name, this->dataCenter, this->region }, aAddress, aNow);
  }

  void Miss(std::string const& aAddress, MonotonicTime aNow)
  {
    OnDirectConnection(this->paths, aAddress, PathOutcome::NotConnected, aNow);
  }

  EndpointPaths paths;
  FrontSet fronts;
  std::string name{ "front-0" };
  std::string dataCenter{ "a" };
  std::string region;
};

// A connection that fails at one endpoint made a front use tunnels for endpoints that it reaches.
TEST(EndpointPaths, UsesATunnelOnlyForTheEndpointThatIsMissed)
{
  PathsOfFront front(7);
  OnDirectBytes(front.paths, "e-1", kStart);
  front.Miss("e-2", kStart + 1s);
  EXPECT_FALSE(front.Choose("e-2", kStart + 1s).empty());
  EXPECT_EQ(front.Choose("e-1", kStart + 1s), "");
  EXPECT_EQ(front.Choose("e-2", kStart + 3s), "");
}

// Endpoints that are down at the same time were taken for a lost link although others answer.
TEST(EndpointPaths, IsNotCutOffWhileAnyEndpointAnswers)
{
  PathsOfFront front(7);
  front.Miss("e-1", kStart);
  front.Miss("e-2", kStart);
  OnDirectBytes(front.paths, "e-3", kStart + 100ms);
  EXPECT_FALSE(IsCutOff(front.paths, kStart + 200ms));
}

// A front that lost all links tried each endpoint itself first.
TEST(EndpointPaths, UsesTunnelsForAllEndpointsOnceCutOffAndNoneAfterThat)
{
  PathsOfFront front(7);
  OnDirectBytes(front.paths, "e-1", kStart);
  front.Miss("e-1", kStart + 1s);
  front.Miss("e-2", kStart + 1s);
  EXPECT_TRUE(IsCutOff(front.paths, kStart + 1s));
  EXPECT_FALSE(front.Choose("e-9", kStart + 1s).empty());
  OnDirectConnection(front.paths, "e-9", PathOutcome::Connected, kStart + 1500ms);
  EXPECT_FALSE(IsCutOff(front.paths, kStart + 1500ms));
  EXPECT_EQ(front.Choose("e-9", kStart + 1500ms), "");
}

// An endpoint that is down everywhere was asked for at one front after the other.
TEST(EndpointPaths, TriesAnEndpointThatOthersMissDirectly)
{
  PathsOfFront front(7);
  front.Miss("e-1", kStart);
  auto const helper = front.Choose("e-1", kStart);
  OnTunnelConnection(front.paths, "e-1", helper, PathOutcome::EndpointUnreached, kStart);
  EXPECT_EQ(front.Choose("e-1", kStart + 500ms), "");
}

// Endpoints that are down were taken for a lost link: they were not ejected, and their crashes not reported.
TEST(EndpointPaths, DoubtsTheLinkOnlyForEndpointsThatOthersReach)
{
  PathsOfFront front(7);
  OnDirectBytes(front.paths, "e-3", kStart);
  front.Miss("e-1", kStart);
  EXPECT_FALSE(IsLinkInDoubt(front.paths, "e-1", kStart));
  OnTunnelConnection(front.paths, "e-1", "t-3", PathOutcome::Connected, kStart);
  EXPECT_TRUE(IsLinkInDoubt(front.paths, "e-1", kStart));
  EXPECT_FALSE(IsLinkInDoubt(front.paths, "e-3", kStart));
  front.Miss("e-2", kStart + 1s);
  front.Miss("e-1", kStart + 1s);
  OnTunnelConnection(front.paths, "e-1", "t-3", PathOutcome::EndpointUnreached, kStart + 1s);
  EXPECT_FALSE(IsLinkInDoubt(front.paths, "e-1", kStart + 1s));
}

// A quiet front took two endpoints that are down everywhere for a lost link, and refused to help others.
TEST(EndpointPaths, IsNotCutOffByEndpointsThatOthersMissAsWell)
{
  PathsOfFront front(7);
  for (auto const* const address : { "e-1", "e-2" }) {
    front.Miss(address, kStart);
    OnTunnelConnection(front.paths, address, "t-3", PathOutcome::EndpointUnreached, kStart);
  }
  EXPECT_FALSE(IsCutOff(front.paths, kStart));
  EXPECT_EQ(front.Choose("e-3", kStart), "");
}

// In a data centre that is cut off as a whole, fronts relied on helpers that are cut off as well.
TEST(EndpointPaths, AvoidsHelpersThatRefuse)
{
  PathsOfFront front(9);
  front.Miss("e-1", kStart);
  front.Miss("e-2", kStart);
  for (unsigned attempt = 0; attempt < 2; ++attempt) {
    auto const helper = front.Choose("e-1", kStart);
    EXPECT_TRUE(helper == "t-3" || helper == "t-6") << helper;
    OnTunnelConnection(front.paths, "e-1", helper, PathOutcome::Refused, kStart);
  }
  auto const helper = front.Choose("e-1", kStart);
  EXPECT_TRUE(helper != "t-3" && helper != "t-6" && !helper.empty()) << helper;
}

// Fronts without tunnels, suspected ones, those of other regions and the front itself do not help.
TEST(EndpointPaths, AsksOnlyFrontsThatCanHelp)
{
  PathsOfFront front(4);
  front.Miss("e-1", kStart);
  front.fronts.byName.at("front-1").entry.tunnelAddress.clear();
  front.fronts.byName.at("front-2").entry.region = "elsewhere";
  SuspectFront(front.fronts, "front-3", kStart);
  EXPECT_EQ(front.Choose("e-1", kStart), "");
}

// Load: a data centre of a third of the fronts is cut off, and all its connections to 600 endpoints go through others.
TEST(EndpointPaths, SpreadsTheConnectionsOfADataCentreOverTheOthers)
{
  for (auto const count : { 7U, 81U, 195U, 370U }) {
    std::map<std::string, unsigned> connections;
    unsigned total = 0;
    for (unsigned origin = 0; origin < count; origin += 3) {
      PathsOfFront front(count);
      front.name = "front-" + std::to_string(origin);
      for (unsigned other = 0; other < count; other += 3)
        front.paths.avoidedHelpers["t-" + std::to_string(other)] = kStart + 1s;
      front.Miss("e-0", kStart);
      front.Miss("e-1", kStart);
      for (unsigned endpoint = 0; endpoint<600; endpoint += count> 100 ? 4 : 1) {
        ++connections[front.Choose("e-" + std::to_string(endpoint), kStart)];
        ++total;
      }
    }
    auto const helpers = count - (count + 2) / 3;
    EXPECT_EQ(connections.size(), helpers) << count << " fronts";
    for (auto const& [helper, number] : connections)
      EXPECT_LE(number, 2 * total / helpers) << count << " fronts, " << helper;
  }
}

// A front with two endpoints down and nothing else to do took its links for lost as long as they were down.
TEST(EndpointPaths, ProbesOtherEndpointsBesideTheMissedOnes)
{
  EndpointSet endpoints;
  for (auto const* const id : { "a", "b", "c" })
    ApplyEntry(endpoints, { id, "s", id, "a" }, Duration::zero(), kStart);
  PathsOfFront front(7);
  front.Miss("a", kStart);
  front.Miss("b", kStart);
  std::set<std::string> probed;
  for (auto now = kStart + 1s; now < kStart + 3s; now += 500ms)
    for (auto const& address : EndpointsToProbe(front.paths, endpoints, 2, now))
      probed.insert(address);
  EXPECT_TRUE(probed.contains("c"));
}

}
