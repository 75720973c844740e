#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

/// Fronts and model endpoints of several software versions, whose events name their version.
struct VersionWorld
{
  explicit VersionWorld(std::vector<std::string> const& aVersions, unsigned aFronts = 1)
    : world(aFronts)
  {
    for (auto const& version : aVersions)
      this->AddEndpoint(version);
    this->world.Start();
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

}
