#include <LibGateway/GatewayNames.h>
#include <LibGateway/RolloutService.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <random>

namespace Hornbeam::Testing {

using namespace Gateway;
using nlohmann::json;

/// The rollout service of a front that is alone, on a paused clock. The event loop does not run, so nothing is sent,
/// and the store answers nothing.
struct LoneFront
{
  LoneFront()
  {
    this->settings.name = "front-0";
    this->settings.rollouts = RolloutRules();
    this->kernel.Provide(GatewayName::kSettings, static_cast<GatewaySettings const&>(this->settings));
    this->kernel.Provide(GatewayName::kClock, this->clock);
    this->kernel.Provide(GatewayName::kConnections, this->connections);
    this->kernel.Provide(GatewayName::kStore, this->store);
    this->kernel.Provide(GatewayName::kPeers, this->peers);
    this->kernel.Provide(GatewayName::kMetrics, this->metrics);
    this->stateCache = std::make_unique<StateCache>(this->kernel);
    this->kernel.Provide(GatewayName::kStateCache, *this->stateCache);
    this->rollouts = std::make_unique<RolloutService>(this->kernel);
    this->stateCache->Start(StoreUse::None);
    this->rollouts->Start();
    this->Put(ObjectKind::Front,
              "front-0",
              { { "caller_address", "" }, { "peer_address", "" }, { "data_center", "a" }, { "incarnation", 1 } });
    this->PutList(ObjectKind::Rollout, {});
    this->PutEndpoint("v1");
  }

  void PutList(ObjectKind aKind, std::vector<LoggedObject> aObjects)
  {
    this->stateCache->Apply(aKind, { true, 0, ++this->revision, std::move(aObjects) }, ChangeSource::List);
    this->clock.Advance(1ms);
  }

  void Put(ObjectKind aKind, std::string const& aName, json const& aSpec, json const& aStatus = nullptr)
  {
    auto const position = this->revision + 1;
    json const document{ { "metadata", { { "name", aName }, { "revision", position } } },
                         { "spec", aSpec },
                         { "status", aStatus } };
    auto& objects = this->objects[aKind];
    std::erase_if(objects, [&](auto const& aObject) { return aObject.name == aName; });
    objects.push_back({ aName, position, document.dump() });
    this->PutList(aKind, objects);
  }

  void PutEndpoint(std::string const& aVersion)
  {
    this->Put(ObjectKind::Endpoint,
              "e-" + aVersion,
              { { "service", "s" },
                { "address", "127.0.0.1:1" },
                { "zone", "a" },
                { "state", "ready" },
                { "version", aVersion } });
  }

  void PutOrder(json const& aStatus = nullptr, std::string const& aTarget = "v2")
  {
    this->Put(ObjectKind::Rollout, "s", { { "service", "s" }, { "target", aTarget }, { "duration_s", 20 } }, aStatus);
  }

  /// Returns the version of the endpoint at which a request runs; empty if it may run at none.
  std::string Run(double aFailureShareOfTarget)
  {
    using enum VersionRestriction;
    this->rollouts->OnRequest("s");
    auto const choice = this->rollouts->ChoiceFor("s", this->Draw(), std::nullopt);
    auto const& endpoints = this->stateCache->Endpoints().byId;
    bool const atTarget = choice.restriction == PreferTarget || choice.restriction == OnlyTarget;
    auto const* const version = atTarget ? "v2" : "v1";
    auto const endpoint = endpoints.find(std::string("e-") + version);
    if (endpoint == endpoints.end())
      return "";
    auto const attempt = this->rollouts->OnAttemptSent(endpoint->second, "route");
    bool const fails = atTarget && this->Draw() < aFailureShareOfTarget;
    this->rollouts->OnAttemptEnd(attempt, fails ? ResponseOutcome::Failed : ResponseOutcome::Succeeded);
    return version;
  }

  /// Runs 100 requests a second; returns how many ran at each version.
  std::map<std::string, unsigned> RunFor(Duration aTime, double aFailureShareOfTarget = 0)
  {
    std::map<std::string, unsigned> counts;
    for (auto const end = this->clock.Now() + aTime; this->clock.Now() < end; this->clock.Advance(10ms)) {
      this->stateCache->Confirm(this->clock.Now());
      ++counts[this->Run(aFailureShareOfTarget)];
    }
    return counts;
  }

  double Draw() { return std::uniform_real_distribution<double>()(this->random); }

  std::mt19937 random{ 1 };
  GatewaySettings settings;
  Clock clock{ ClockMode::Paused };
  EventLoop loop{ this->clock };
  ConnectionPool connections{ this->loop.UvLoop(), this->clock };
  StoreClient store{ this->connections, "127.0.0.1:1" };
  FrontPeers peers{ this->loop };
  GatewayMetrics metrics;
  Kernel kernel;
  std::unique_ptr<StateCache> stateCache;
  std::unique_ptr<RolloutService> rollouts;
  StorePosition revision{ 0 };
  std::map<ObjectKind, std::vector<LoggedObject>> objects;
};

// The service did not raise the share of a good version to one by the deadline, or gave it more at first.
TEST(RolloutService, ShiftsRequestsToAGoodVersion)
{
  LoneFront front;
  front.RunFor(100ms);
  front.PutEndpoint("v2");
  front.PutOrder();
  auto const first = front.RunFor(8s);
  EXPECT_GT(first.at("v2"), 10U);
  EXPECT_LE(first.at("v2"), 90U);
  front.RunFor(10s);
  EXPECT_EQ(front.RunFor(500ms).at("v2"), 50U);
  EXPECT_TRUE(front.rollouts->MayRunStages("s", "v2"));
  EXPECT_FALSE(front.rollouts->MayRunStages("s", "v1"));
  front.rollouts->UpdateMetrics();
  EXPECT_NE(front.metrics.Render().find("rollout_share:s"), std::string::npos);
}

// A bad version kept its share although the store did not take the verdict.
TEST(RolloutService, TakesRequestsAwayFromABadVersion)
{
  LoneFront front;
  front.RunFor(100ms);
  front.PutEndpoint("v2");
  front.PutOrder();
  auto const counts = front.RunFor(9s, 0.5);
  EXPECT_LE(counts.at("v2"), 60U);
  EXPECT_FALSE(front.RunFor(10s, 0.5).contains("v2"));
  EXPECT_FALSE(front.rollouts->MayRunStages("s", "v2"));
}

// A final state was not obeyed at once, or was forgotten when a restored store had lost it.
TEST(RolloutService, ObeysAFinalStateAndRemembersIt)
{
  LoneFront front;
  front.PutEndpoint("v2");
  front.PutOrder({ { "state", "completed" }, { "target", "v2" } });
  EXPECT_EQ(front.Run(0), "v2");
  front.revision = MakePosition(1, 1);
  front.PutOrder();
  EXPECT_EQ(front.Run(0), "v2");
  // Withdrawn; the version may be used without a restriction.
  front.PutList(ObjectKind::Rollout, {});
  front.clock.Advance(5s);
  EXPECT_EQ(front.rollouts->ChoiceFor("s", 0, std::nullopt).restriction, VersionRestriction::None);
}

// A second order went on with the share, the counts or the final state of the first one.
TEST(RolloutService, BeginsAnewForAnotherTarget)
{
  LoneFront front;
  front.RunFor(100ms);
  front.PutEndpoint("v2");
  front.PutOrder();
  EXPECT_TRUE(front.RunFor(5s).contains("v2"));
  front.PutEndpoint("v3");
  front.PutOrder({ { "state", "rolled_back" }, { "target", "v2" } }, "v3");
  auto const choice = front.rollouts->ChoiceFor("s", 0, std::nullopt);
  EXPECT_EQ(choice.target, "v3");
  EXPECT_EQ(choice.restriction, VersionRestriction::ExcludeTarget);
  auto const state = front.rollouts->RenderState();
  ASSERT_EQ(state.size(), 1U);
  EXPECT_EQ(state[0]["requests"], 0);
  EXPECT_EQ(state[0]["state"], "serving");
}

// A version that joined others was used before its order could arrive.
TEST(RolloutService, HoldsANewVersionBack)
{
  LoneFront front;
  front.RunFor(100ms);
  front.PutEndpoint("v2");
  EXPECT_EQ(front.rollouts->ChoiceFor("s", 0, std::nullopt).restriction, VersionRestriction::ExcludeTarget);
  front.clock.Advance(1600ms);
  EXPECT_EQ(front.rollouts->ChoiceFor("s", 0, std::nullopt).restriction, VersionRestriction::None);
}

}
