#pragma once

#include "PlatformWorld.h"
#include <gtest/gtest.h>

namespace Hornbeam::Testing {

using namespace Gateway;

/// A world with plain endpoints, in which all fronts are started and registered.
struct PlainWorld
{
  explicit PlainWorld(unsigned aFronts = 1, unsigned aEndpoints = 1)
    : world(aFronts)
  {
    for (unsigned index = 0; index < aEndpoints; ++index)
      this->world.AddEndpoint(EndpointKind::Plain, "ledger");
    this->world.Start();
    this->WaitUntilReady(aFronts);
  }

  void WaitUntilReady(unsigned aFronts)
  {
    for (unsigned front = 0; front < aFronts; ++front)
      EXPECT_TRUE(
        this->world.RunUntil([&] { return this->world.store->Has("fronts", "front-" + std::to_string(front)); }));
    this->world.RunFor(50ms);
  }

  PlatformWorld world;
};

/// The time within which the platform requires fronts to apply a new table and to stop using leaving endpoints and
/// fronts.
constexpr Duration kApplyBound = 2s;

/// Runs the event loop until the condition holds, and looks rarely: a condition that calls a front opens connections.
inline bool
HappensWithin(PlatformWorld& aWorld, std::function<bool()> const& aCondition, Duration aTime)
{
  auto const limit = aWorld.clock.Now() + aTime;
  while (!aCondition() && aWorld.clock.Now() < limit)
    aWorld.RunFor(25ms);
  return aCondition();
}

inline nlohmann::json
CachedStateOf(PlatformWorld& aWorld, unsigned aFront)
{
  return nlohmann::json::parse(aWorld.Get(aFront, 4, "/beliefs").body, nullptr, false);
}

/// Returns the version of the table in force at a front.
inline std::uint64_t
VersionAt(PlatformWorld& aWorld, unsigned aFront)
{
  auto const state = CachedStateOf(aWorld, aFront);
  return state.is_object() ? state.value("table_version", std::uint64_t(0)) : 0;
}

inline CallerRequest
SafeRequest(std::string aId = "r1")
{
  CallerRequest request;
  request.method = "GET";
  request.target = "/safe/x";
  request.id = std::move(aId);
  request.body = "";
  return request;
}

inline CallerRequest
ModelRequest(std::string aTarget = "/model/x")
{
  CallerRequest request;
  request.target = std::move(aTarget);
  request.extraFields = { { "Hornbeamfront-Prefix-Hash", "aa:10,bb:20,cc:5" },
                          { "Hornbeamfront-Token-Usage", "35,9" },
                          { "Hornbeamfront-Chunks", "2,3" },
                          { "Hornbeamfront-Chunk-Key", "chunk" } };
  if (request.target.starts_with("/model"))
    request.extraFields.resize(2);
  return request;
}

}
