#include <LibGateway/EventStream.h>
#include <LibServing/LibServing.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Hornbeam::Gateway {

static MonotonicTime const kStart{ 1h };

/// A model service with some endpoints and fronts.
struct Deployment
{
  Deployment(unsigned aEndpoints, unsigned aFronts)
  {
    ServiceRule rule;
    rule.name = "model";
    rule.maxConnections = 600;
    rule.coldTime = 3s;
    rule.coldRate = 11;
    this->table.services["model"] = rule;
    for (unsigned index = 0; index < aEndpoints; ++index) {
      EndpointEntry entry;
      entry.id = "e" + std::to_string(index);
      entry.service = "model";
      entry.address = "10.0.0.1:" + std::to_string(9000 + index);
      entry.dataCenter = index % 2 == 0 ? "a" : "b";
      ApplyEntry(this->endpoints, entry, 3s, kStart);
    }
    for (unsigned index = 0; index < aFronts; ++index)
      ApplyFront(this->fronts, { "f" + std::to_string(index), "c", "p", "a", 1 }, 1);
  }

  SelectionView View() const { return { this->endpoints, this->fronts, this->table, { 1.5, 5 }, nullptr }; }

  std::optional<std::string> Choose(std::string aKey, std::string aFront = "f0", MonotonicTime aNow = kStart)
  {
    EndpointQuery const query{ this->service, std::move(aKey), {}, std::move(aFront), "a" };
    return ChooseEndpoint(this->View(), query, aNow);
  }

  std::string service{ "model" };
  ServingTable table;
  EndpointSet endpoints;
  FrontSet fronts;
};

TEST(EndpointSelection, SendsPromptsWithACommonPrefixToOneEndpointOnAllFronts)
{
  Deployment deployment(12, 8);
  auto const first = deployment.Choose("prefix", "f0");
  for (int index = 1; index < 8; ++index)
    EXPECT_EQ(deployment.Choose("prefix", "f" + std::to_string(index)), first);
}

TEST(EndpointSelection, LimitsTheLoadOfAHotKey)
{
  Deployment deployment(12, 8);
  for (int index = 0; index < 120; ++index)
    OnRequestSent(deployment.endpoints, *deployment.Choose("hot"), 1, kStart);
  for (auto const& [id, endpoint] : deployment.endpoints.byId)
    EXPECT_LE(endpoint.outstanding, 19U) << id;
}

TEST(EndpointSelection, SkipsFailingEndpointsWhileOthersAreAvailable)
{
  Deployment deployment(2, 1);
  for (int index = 0; index < 2; ++index)
    OnAttemptEnd(deployment.endpoints, "e0", AttemptHealth::Failed, 3s, kStart);
  EXPECT_EQ(deployment.Choose(""), "e1");
  for (int index = 0; index < 2; ++index)
    OnAttemptEnd(deployment.endpoints, "e1", AttemptHealth::Failed, 3s, kStart);
  // A pool whose endpoints all fail still receives requests.
  EXPECT_TRUE(deployment.Choose(""));
}

TEST(EndpointSelection, StaysWithinItsQuotaOfAnEndpointsConnections)
{
  Deployment deployment(1, 8);
  deployment.table.services["model"].maxConnections = 16;
  for (int index = 0; index < 2; ++index)
    OnRequestSent(deployment.endpoints, *deployment.Choose(""), 1, kStart);
  EXPECT_FALSE(deployment.Choose(""));
}

TEST(EndpointSelection, LimitsRequestsToAColdEndpointOverAllFronts)
{
  rc::check("in any second, over fronts with two views of the membership", [] {
    auto const fronts = *rc::gen::inRange(1, 40);
    Deployment deployment(1, unsigned(fronts));
    auto const now = kStart + 1s;
    deployment.endpoints.byId.at("e0").coldUntil = now + 10s;
    std::map<std::string, EndpointSet> views;
    FrontSet other = deployment.fronts;
    other.byName.erase("f" + std::to_string(*rc::gen::inRange(0, fronts)));
    std::deque<MonotonicTime> sent;
    for (auto time = now; time < now + 3s; time += 20ms) {
      for (auto const& [name, front] : deployment.fronts.byName) {
        auto const [view, added] = views.try_emplace(name, deployment.endpoints);
        bool const old = std::hash<std::string>()(name) % 2 == 0;
        SelectionView const selection{
          view->second, old ? deployment.fronts : other, deployment.table, { 1.5, 5 }, nullptr
        };
        if (!MaySendToColdEndpoint(selection, view->second.byId.at("e0"), name, time))
          continue;
        OnRequestSent(view->second, "e0", 1, time);
        sent.push_back(time);
      }
      while (!sent.empty() && time - sent.front() >= 1s)
        sent.pop_front();
      RC_ASSERT(sent.size() <= 21U);
    }
  });
}

TEST(EndpointSet, TreatsAReturningDataCentreAsCold)
{
  Deployment deployment(2, 1);
  SetDataCentersOutOfRotation(deployment.endpoints, { "a" }, deployment.table, kStart);
  EXPECT_EQ(deployment.Choose(""), "e1");
  SetDataCentersOutOfRotation(deployment.endpoints, {}, deployment.table, kStart + 8s);
  EXPECT_GE(deployment.endpoints.byId.at("e0").coldUntil, kStart + 11s);
  EXPECT_LE(deployment.endpoints.byId.at("e1").coldUntil, kStart + 8s);
}

TEST(EndpointSet, TreatsARestartUnderTheSameIdAsCold)
{
  Deployment deployment(1, 1);
  auto entry = deployment.endpoints.byId.at("e0").entry;
  entry.incarnation = 5;
  EXPECT_EQ(ApplyEntry(deployment.endpoints, entry, 3s, kStart + 1s), EntryChange::Restarted);
  EXPECT_GE(deployment.endpoints.byId.at("e0").coldUntil, kStart + 4s);
}

TEST(RetryQuota, LimitsRetriesOverAllFronts)
{
  RetryRules const rules{ 0.2, 56, 10s };
  std::vector<RetryQuota> quotas(8);
  unsigned retries = 0;
  unsigned requests = 0;
  for (auto time = kStart; time < kStart + 10s; time += 5ms)
    for (auto& quota : quotas) {
      if ((time - kStart) % 50ms == Duration::zero()) {
        CountRequest(quota, rules, time);
        ++requests;
      }
      retries += TakeRetry(quota, rules, quotas.size(), time) ? 1 : 0;
    }
  EXPECT_LE(retries, 0.2 * requests + 56);
  EXPECT_GE(retries, 0.15 * requests);
}

TEST(RetryQuota, RestoresRetriesWhenTheWindowHasPassed)
{
  RetryRules const rules{ 0.2, 10, 10s };
  RetryQuota quota;
  unsigned first = 0;
  while (TakeRetry(quota, rules, 1, kStart))
    ++first;
  EXPECT_EQ(first, 7U);
  EXPECT_FALSE(TakeRetry(quota, rules, 1, kStart + 9s));
  EXPECT_TRUE(TakeRetry(quota, rules, 1, kStart + 12s));
}

TEST(ServingTable, MatchesTheLongestPrefixAndPicksByWeight)
{
  ServingTable table;
  Route shorter;
  shorter.pathPrefix = "/a/";
  Route longer;
  longer.pathPrefix = "/a/b/";
  table.routes["h"] = { longer, shorter };
  EXPECT_EQ(MatchRoute(table, "h", "/a/b/c?d=/x/")->pathPrefix, "/a/b/");
  EXPECT_EQ(MatchRoute(table, "h", "/a/c")->pathPrefix, "/a/");
  EXPECT_EQ(MatchRoute(table, "h", "/a"), nullptr);
  EXPECT_EQ(MatchRoute(table, "other", "/a/c"), nullptr);
  shorter.services = { { "first", 90 }, { "none", 0 }, { "second", 10 } };
  EXPECT_EQ(PickService(shorter, 0.0), "first");
  EXPECT_EQ(PickService(shorter, 0.89), "first");
  EXPECT_EQ(PickService(shorter, 0.91), "second");
  EXPECT_EQ(PickService(shorter, 0.9999), "second");
}

TEST(FrontSet, SkipsSuspectedFronts)
{
  Deployment deployment(1, 5);
  auto const owner = OwnerOf(deployment.fronts, "key", kStart);
  SuspectFront(deployment.fronts, owner->name, kStart);
  EXPECT_NE(OwnerOf(deployment.fronts, "key", kStart + 1ms)->name, owner->name);
  EXPECT_EQ(OwnerOf(deployment.fronts, "key", kStart + 10s)->name, owner->name);
}

// Guards against a weak machine owning a service in a fleet of unequal machines: the work of a whole service exceeds
// its capacity.
TEST(FrontSet, ChoosesStrongMachinesAsOwnersWhileOneIsTrusted)
{
  Deployment deployment(1, 12);
  unsigned index = 0;
  for (auto& [name, front] : deployment.fronts.byName)
    front.entry.cores = index++ % 4 == 0 ? 0.5 : 0.12;
  for (int key = 0; key < 20; ++key)
    EXPECT_EQ(OwnerOf(deployment.fronts, "key" + std::to_string(key), kStart)->cores, 0.5);
  for (auto& [name, front] : deployment.fronts.byName)
    if (front.entry.cores == 0.5)
      SuspectFront(deployment.fronts, name, kStart);
  EXPECT_EQ(OwnerOf(deployment.fronts, "key", kStart + 1ms)->cores, 0.12);
}

TEST(FrontSet, WatchesTheNextFrontsAndMoreBehindSuspectedOnes)
{
  Deployment deployment(1, 5);
  auto const names = [&](std::string const& aName, MonotonicTime aNow) {
    std::string result;
    for (auto const& front : FrontsToWatch(deployment.fronts, aName, 2, aNow))
      result += front.entry.name;
    return result;
  };
  EXPECT_EQ(names("f1", kStart), "f2f3");
  EXPECT_EQ(names("f4", kStart), "f0f1");
  SuspectFront(deployment.fronts, "f2", kStart);
  EXPECT_EQ(names("f1", kStart + 1ms), "f2f3f4");
}

TEST(RequestStages, RunsStagesInOrderAndReleasesUnneededResults)
{
  std::vector<StageRule> const rules{
    { "roll", {}, 100 }, { "roll", {}, 10 }, { "stock", { 1 }, 10 }, { "gate", { 2 }, 1 }
  };
  EXPECT_FALSE(PlanStages(rules, { 1, 1 }));
  auto stages = *PlanStages(rules, { 0, 1, 2, 3 });
  EXPECT_EQ(StartableStages(stages), (std::vector<unsigned>{ 1 }));
  stages.started[1] = true;
  EXPECT_TRUE(CompleteStage(stages, 1, { "r1" }).empty());
  EXPECT_EQ(InputsOf(stages, 2), (std::vector<std::string>{ "r1" }));
  stages.started[2] = true;
  EXPECT_EQ(CompleteStage(stages, 2, { "s1", "s2" }).at("roll").size(), 1U);
  stages.started[3] = true;
  EXPECT_EQ(CompleteStage(stages, 3, { "g1", "g2", "g3" }).at("stock").size(), 2U);
  EXPECT_TRUE(AllComplete(stages));
  EXPECT_EQ(FinalInputs(stages), (std::vector<std::string>{ "g1", "g2", "g3" }));
  EXPECT_EQ(TakeHeldResults(stages).at("gate").size(), 3U);
  EXPECT_TRUE(TakeHeldResults(stages).empty());
}

TEST(EventStream, PassesWholeEventsWhateverTheChunks)
{
  std::string const whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
  rc::check("all whole events come through unchanged", [&] {
    EventStream stream;
    std::string out;
    std::size_t position = 0;
    while (position < whole.size()) {
      auto const length = *rc::gen::inRange<std::size_t>(1, 9);
      out += ExtractCompleteEvents(stream, std::string_view(whole).substr(position, length));
      position += length;
    }
    RC_ASSERT(out == whole);
    RC_ASSERT(stream.lastId == "3");
    RC_ASSERT(!stream.outOfOrder);
  });
  EventStream broken;
  ExtractCompleteEvents(broken, "id: 5\n\nid: 4\n\n");
  EXPECT_TRUE(broken.outOfOrder);
  EventStream half;
  EXPECT_EQ(ExtractCompleteEvents(half, "id: 1\n\nid: 2\nda"), "id: 1\n\n");
  EXPECT_EQ(half.lastId, "1");
}

}
