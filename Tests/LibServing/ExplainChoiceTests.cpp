#include <LibServing/LibServing.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Hornbeam::Gateway {

static MonotonicTime const kNow{ 1h };

/// A service with warm endpoints e0 to e4 in data centre "a", seen by front f0.
struct ExplainedPool
{
  ExplainedPool()
  {
    ServiceRule rule;
    rule.name = this->service;
    rule.maxConnections = 20;
    rule.coldTime = 3s;
    rule.coldRate = 11;
    this->table.services[this->service] = rule;
    for (auto const* id : { "e0", "e1", "e2", "e3", "e4" }) {
      EndpointEntry entry;
      entry.id = id;
      entry.service = this->service;
      entry.address = id;
      entry.dataCenter = "a";
      entry.softwareVersion = "v1";
      ApplyEntry(this->endpoints, entry, 3s, kNow);
    }
    ApplyFront(this->fronts, { "f0", "c", "p", "a", 1 }, 1);
  }

  KnownEndpoint& At(std::string const& aId) { return this->endpoints.byId.at(aId); }

  SelectionView View() const
  {
    return { this->endpoints, this->fronts, this->table, { 1.5, 5 }, [this](std::string const& aAddress) {
              return this->connected.contains(aAddress);
            } };
  }

  EndpointQuery Query() const { return { this->service, this->affinityKey, {}, "f0", "a", this->version }; }

  ExplainedChoice Explain() const { return ExplainChoice(this->View(), this->Query(), kNow); }

  ChoiceReason ReasonOf(std::string const& aId) const
  {
    auto const choice = this->Explain();
    for (auto const& explained : choice.endpoints)
      if (explained.endpoint->entry.id == aId)
        return explained.reason;
    return ChoiceReason::Withheld;
  }

  std::string service{ "model" };
  std::string affinityKey;
  std::optional<std::string> version;
  std::set<std::string> connected;
  ServingTable table;
  EndpointSet endpoints;
  FrontSet fronts;
};

// Guards against an explanation that names another rule than the one that keeps an endpoint out.
TEST(ExplainChoice, NamesTheRuleThatKeepsAnEndpointOut)
{
  using Change = std::function<void(ExplainedPool&, KnownEndpoint&)>;
  std::vector<std::pair<ChoiceReason, Change>> const cases{
    { ChoiceReason::Leaving, [](auto&, auto& aEndpoint) { aEndpoint.entry.state = EndpointState::Leaving; } },
    { ChoiceReason::Leaving, [](auto&, auto& aEndpoint) { aEndpoint.signals.leaving = true; } },
    { ChoiceReason::DataCenterOut,
      [](auto& aPool, auto& aEndpoint) {
        aEndpoint.entry.dataCenter = "b";
        aPool.endpoints.dataCentersOutOfRotation = { "b" };
      } },
    { ChoiceReason::OtherSoftwareVersion,
      [](auto& aPool, auto& aEndpoint) {
        aPool.version = "v1";
        aEndpoint.entry.softwareVersion = "v2";
      } },
    { ChoiceReason::ConnectionQuota, [](auto&, auto& aEndpoint) { aEndpoint.outstanding = 20; } },
    { ChoiceReason::Paused, [](auto&, auto& aEndpoint) { aEndpoint.signals.pausedUntil = kNow + 1s; } },
    { ChoiceReason::Limited,
      [](auto&, auto& aEndpoint) {
        aEndpoint.signals.limit = 1;
        aEndpoint.signals.nextSend = kNow + 1s;
      } },
    { ChoiceReason::Cold,
      [](auto&, auto& aEndpoint) {
        aEndpoint.coldUntil = kNow + 1s;
        aEndpoint.coldSendTimes.assign(20, kNow);
      } },
    { ChoiceReason::Ejected, [](auto&, auto& aEndpoint) { aEndpoint.ejectedUntil = kNow + 1s; } },
  };
  for (auto const& [reason, change] : cases) {
    ExplainedPool pool;
    change(pool, pool.At("e2"));
    EXPECT_EQ(ToString(pool.ReasonOf("e2")), ToString(reason));
    EXPECT_NE(pool.Explain().chosen, "e2") << ToString(reason);
  }
}

// Guards against an explanation that says that an endpoint is worse than the chosen one in a way that it is not.
TEST(ExplainChoice, NamesWhatTheChosenOneIsPreferredFor)
{
  ExplainedPool pool;
  for (auto const* id : { "e0", "e1", "e2", "e3" })
    pool.At(id).outstanding = 1;
  EXPECT_EQ(pool.ReasonOf("e4"), ChoiceReason::Chosen);
  EXPECT_EQ(pool.ReasonOf("e0"), ChoiceReason::HigherLoad);
  pool.At("e4").outstanding = 1;
  pool.connected = { "e3" };
  EXPECT_EQ(pool.ReasonOf("e3"), ChoiceReason::Chosen);
  EXPECT_EQ(pool.ReasonOf("e4"), ChoiceReason::NoIdleConnection);
  pool.connected = {};
  for (auto const* id : { "e0", "e1", "e2", "e3" })
    pool.At(id).entry.dataCenter = "b";
  EXPECT_EQ(pool.ReasonOf("e4"), ChoiceReason::Chosen);
  EXPECT_EQ(pool.ReasonOf("e1"), ChoiceReason::OtherDataCenter);
  pool.affinityKey = "prefix";
  for (auto const& explained : pool.Explain().endpoints)
    EXPECT_EQ(explained.reason == ChoiceReason::Chosen, explained.affinityRank == 1);
}

// Guards against explaining another choice than the one that a request gets, in any state of the endpoints.
TEST(ExplainChoice, ExplainsTheChoiceThatARequestGets)
{
  rc::check("one endpoint is called chosen, the one that ChooseEndpoint() returns", [] {
    ExplainedPool pool;
    auto const any = [](unsigned aBound) { return *rc::gen::inRange(0U, aBound); };
    pool.affinityKey = any(2) == 0 ? "" : "prefix";
    for (auto& [id, endpoint] : pool.endpoints.byId) {
      endpoint.outstanding = any(23);
      endpoint.entry.dataCenter = any(3) == 0 ? "b" : "a";
      endpoint.ejectedUntil = kNow + Duration(1s) * (int(any(3)) - 1);
      endpoint.coldUntil = kNow + Duration(1s) * (int(any(3)) - 1);
      endpoint.coldSendTimes.assign(any(5), kNow);
      endpoint.signals.pausedUntil = kNow + Duration(1s) * (int(any(4)) - 2);
      endpoint.signals.leaving = any(5) == 0;
      if (any(3) == 0)
        pool.connected.insert(id);
    }
    if (any(3) == 0)
      pool.endpoints.dataCentersOutOfRotation = { "b" };
    auto const choice = pool.Explain();
    RC_ASSERT(choice.endpoints.size() == 5U);
    RC_ASSERT(choice.chosen == ChooseEndpoint(pool.View(), pool.Query(), kNow));
    auto const eligible = EligibleEndpoints(pool.View(), pool.Query(), kNow);
    for (auto const& explained : choice.endpoints) {
      RC_ASSERT((explained.reason == ChoiceReason::Chosen) == (explained.endpoint->entry.id == choice.chosen));
      RC_ASSERT(explained.reason != ChoiceReason::Withheld);
      bool const candidate = std::ranges::find(eligible, explained.endpoint) != eligible.end();
      RC_ASSERT(candidate ==
                (explained.reason == ChoiceReason::Chosen || explained.reason >= ChoiceReason::LowerAffinity));
    }
  });
}

}
