#include <LibGateway/Gateway.capnp.h>
#include <LibServing/LibServing.h>
#include <capnp/message.h>
#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>
#include <platform/Platform.h>

namespace Hornbeam::Gateway {

static MonotonicTime const kStart{ 1h };
static EndpointProcess const kProcess{ "e", "10.0.0.1:1", 1 };

/// Fronts that exchange their loads without delay.
struct Fleet
{
  Fleet(unsigned aFronts, unsigned aDataCenters)
  {
    for (unsigned index = 0; index < aFronts; ++index) {
      auto const name = "front-" + std::to_string(index);
      auto const dataCenter = "data-center-" + std::to_string(index % aDataCenters);
      ApplyFront(this->known, { name, "c", "p", dataCenter, 1, 1 }, 1);
      auto& exchange = this->fronts[name];
      exchange.front = name;
      exchange.dataCenter = dataCenter;
      AddOwnLoad(exchange, kProcess, 100);
    }
  }

  /// Each front reports once; nothing reaches the fronts in aLost or those of data centres in aLost.
  void Round(MonotonicTime aNow, std::set<std::string> const& aLost = {})
  {
    for (auto& [name, exchange] : this->fronts) {
      auto const role = FindLoadRole(this->known, name, aLost, 140, aNow).value();
      SetLoadLevel(exchange, role.level);
      exchange.interval = role.interval;
      auto targets = role.peers;
      if (role.parent)
        targets.push_back(*role.parent);
      for (auto const& target : targets) {
        if (aLost.contains(target.name) || aLost.contains(name))
          continue;
        if (target.dataCenter != exchange.dataCenter && aLost.contains("peers"))
          continue;
        auto const report = MakeReport(exchange, aNow);
        auto& other = this->fronts.at(target.name);
        if (TakeReport(other, report, aNow) != ReportVerdict::Accepted)
          continue;
        if (target.dataCenter != exchange.dataCenter)
          TakeReport(exchange, MakeReport(other, aNow), aNow);
        else
          TakeReply(exchange, MakeReply(other, report, aNow), aNow);
      }
    }
  }

  std::optional<FleetLoads> View(std::string const& aFront, MonotonicTime aNow) const
  {
    return MakeFleetLoads(this->fronts.at(aFront), std::nullopt, this->fronts.size(), aNow);
  }

  std::string Collector(MonotonicTime aNow) const
  {
    for (auto const& [name, exchange] : this->fronts)
      if (FindLoadRole(this->known, name, {}, 140, aNow)->level == 0)
        return name;
    return "";
  }

  FrontSet known;
  std::map<std::string, LoadExchange> fronts;
};

// Loads that are counted twice or left out on the way through the tree would shift the estimates.
TEST(FleetLoad, CountsTheLoadOfEachFrontOnce)
{
  for (unsigned const fronts : { 7U, 81U, 195U, 370U })
    for (unsigned const dataCenters : { 3U, 7U }) {
      Fleet fleet(fronts, dataCenters);
      for (int round = 0; round < 8; ++round)
        fleet.Round(kStart + round * 100ms);
      for (auto const& [name, exchange] : fleet.fronts) {
        auto const view = fleet.View(name, kStart + 700ms);
        ASSERT_TRUE(view) << name << " of " << fronts;
        EXPECT_EQ(view->fronts, fronts - 1);
        EXPECT_NEAR(EstimatedLoad(*view, kProcess), 100.0 * fronts, 1);
      }
    }
}

/// Bytes of the messages of one call with its result. Reports of single fronts have 16 entries.
static double
MeasureCall(std::size_t aReportEntries, std::size_t aReplyEntries)
{
  auto const fill = [](Wire::LoadReport::Builder aReport, std::size_t aEntries) {
    aReport.setFront("front-with-name-123");
    aReport.setDataCenter("data-center-1");
    aReport.initLoads(unsigned(4 + 4 * aEntries));
  };
  capnp::MallocMessageBuilder call;
  auto wireCall = call.initRoot<capnp::rpc::Message>().initCall();
  wireCall.initTarget().setImportedCap(1);
  auto params = wireCall.initParams();
  fill(params.getContent().initAs<Wire::GatewayPeer::ExchangeLoadsParams>().initReport(), aReportEntries);
  capnp::MallocMessageBuilder result;
  auto results = result.initRoot<capnp::rpc::Message>().initReturn().initResults();
  fill(results.getContent().initAs<Wire::GatewayPeer::ExchangeLoadsResults>().initReply(), aReplyEntries);
  capnp::MallocMessageBuilder finish;
  finish.initRoot<capnp::rpc::Message>().initFinish();
  return 8.0 * double(capnp::computeSerializedSizeInWords(call) + capnp::computeSerializedSizeInWords(result) +
                      capnp::computeSerializedSizeInWords(finish));
}

// The collectors of a large fleet would transfer far more than fronts are allowed.
TEST(FleetLoad, TransfersLessThanTheBoundAtEachFront)
{
  static constexpr std::size_t kEndpoints = 140;
  for (unsigned const fronts : { 81U, 195U, 370U })
    for (unsigned const dataCenters : { 3U, 4U, 5U, 6U, 7U }) {
      Fleet const fleet(fronts, dataCenters);
      std::map<std::string, double> bytesPerSecond;
      for (auto const& [name, exchange] : fleet.fronts) {
        auto const role = FindLoadRole(fleet.known, name, {}, kEndpoints, kStart).value();
        EXPECT_LE(role.interval, 1500ms);
        auto const add = [&](std::string const& aOther, std::size_t aReportEntries) {
          auto const bytes = MeasureCall(aReportEntries, kEndpoints) / Seconds(role.interval);
          bytesPerSecond[name] += bytes;
          bytesPerSecond[aOther] += bytes;
        };
        if (role.parent)
          add(role.parent->name, role.level == 2 ? 16 : kEndpoints);
        for (auto const& peer : role.peers)
          add(peer.name, kEndpoints);
      }
      for (auto const& [name, bytes] : bytesPerSecond)
        EXPECT_LT(bytes, 12000) << name << " of " << fronts << " fronts in " << dataCenters << " data centres";
    }
}

// Loads that nobody confirms any more would direct all fronts to endpoints that were idle once.
TEST(FleetLoad, ExpiresWithoutCollectors)
{
  Fleet fleet(81, 3);
  for (int round = 0; round < 8; ++round)
    fleet.Round(kStart + round * 100ms);
  auto const view = fleet.View("front-5", kStart + 700ms);
  ASSERT_TRUE(view);
  EXPECT_LE(view->expires, kStart + 700ms + kMaxLoadAge);
  EXPECT_FALSE(fleet.View("front-5", kStart + 4s));
}

// A dead collector must not end the exchange.
TEST(FleetLoad, GoesOnWithTheNextCollector)
{
  Fleet fleet(81, 3);
  auto const lost = fleet.Collector(kStart);
  for (int round = 0; round < 40; ++round)
    fleet.Round(kStart + round * 100ms, round < 8 ? std::set<std::string>() : std::set{ lost });
  for (auto const& [name, exchange] : fleet.fronts) {
    if (name == lost)
      continue;
    auto const view = fleet.View(name, kStart + 3900ms);
    ASSERT_TRUE(view);
    EXPECT_EQ(view->fronts, 79U);
  }
}

// The load of one data centre stands for that of the fleet while the others cannot be reached.
TEST(FleetLoad, ScalesTheOwnDataCenter)
{
  Fleet fleet(81, 3);
  for (int round = 0; round < 40; ++round)
    fleet.Round(kStart + round * 100ms, { "peers" });
  auto const view = fleet.View("front-5", kStart + 3900ms);
  ASSERT_TRUE(view);
  EXPECT_EQ(view->fronts, 26U);
  EXPECT_NEAR(EstimatedLoad(*view, kProcess), 8100, 1);
}

static LoadExchange
MakeCollector()
{
  LoadExchange collector;
  collector.front = "collector";
  collector.dataCenter = "a";
  collector.level = 0;
  return collector;
}

// A delayed report of a former process would replace that of the one that runs.
TEST(FleetLoad, KeepsTheReportOfTheLatestProcess)
{
  auto collector = MakeCollector();
  LoadReport report{ "front", "a", 7, 100, 2, { 1, 0s, { { 1, 50 } } } };
  EXPECT_EQ(TakeReport(collector, report, kStart), ReportVerdict::Accepted);
  report.incarnation = 8;
  report.number = 1;
  report.sum.byEndpoint = { { 1, 9 } };
  EXPECT_EQ(TakeReport(collector, report, kStart), ReportVerdict::Accepted);
  report.incarnation = 7;
  report.number = 101;
  EXPECT_EQ(TakeReport(collector, report, kStart), ReportVerdict::Outdated);
  EXPECT_EQ(MakeReport(collector, kStart).sum.byEndpoint.at(1), 9);
  EXPECT_EQ(TakeReport(collector, report, kStart + kMaxLoadAge + 1ms), ReportVerdict::Accepted);
}

// Two fronts that report to each other would make their sums grow without end.
TEST(FleetLoad, RefusesReportsOfItsOwnLevelAndTooMany)
{
  auto collector = MakeCollector();
  EXPECT_EQ(TakeReport(collector, { "x", "a", 1, 1, 0, {} }, kStart), ReportVerdict::WrongLevel);
  EXPECT_EQ(TakeReport(collector, { "x", "b", 1, 1, 1, {} }, kStart), ReportVerdict::WrongLevel);
  for (std::size_t index = 0; index < kMaxLoadChildren; ++index)
    EXPECT_EQ(TakeReport(collector, { std::to_string(index), "a", 1, 1, 1, {} }, kStart), ReportVerdict::Accepted);
  EXPECT_EQ(TakeReport(collector, { "x", "a", 1, 1, 1, {} }, kStart), ReportVerdict::TooMany);
}

// Bytes of other fronts must not be trusted, nor may a rounding error move the choice.
TEST(FleetLoad, DecodesWhatItEncodes)
{
  LoadByEndpoint loads;
  for (LoadName name = 0; name < 2 * kMaxLoadEntries; ++name)
    loads[name] = 1000 + name;
  auto const bytes = EncodeLoads(loads);
  EXPECT_EQ(bytes.size(), 4 + 4 * kMaxLoadEntries);
  auto const decoded = DecodeLoads(bytes).value();
  for (auto const& [name, load] : decoded)
    EXPECT_NEAR(load / loads.at(name), 1, 0.015);
  EXPECT_FALSE(DecodeLoads(bytes + "1234"));
  EXPECT_FALSE(DecodeLoads("12345"));
  EXPECT_FALSE(DecodeLoads(""));
  EXPECT_FALSE(DecodeLoads(std::string("\x00\x00\xc0\x7f", 4)));
  EXPECT_EQ(LoadOf(TokenUsage{ 1e9, -5 }), kMaxTokens);
  EXPECT_EQ(LoadOf(TokenUsage{ 35, 9 }), 125);
  EXPECT_EQ(LoadOf(std::nullopt), 1);
}

// A caller's header must neither refuse the request nor make an endpoint seem overloaded for long.
TEST(FleetLoad, IgnoresUnreadableTokenUsage)
{
  auto const usageOf = [](std::string const& aValue) {
    RequestMessage request;
    request.fields = { { "Hornbeamfront-Token-Usage", aValue } };
    std::string error;
    return Platform::DecodeRequest(request, error).value().tokenUsage;
  };
  ASSERT_TRUE(usageOf("9190, 100"));
  EXPECT_EQ(LoadOf(usageOf("9190, 100")), 10190);
  for (auto const* const value : { "", "35", "35,9,1", "x,9", "35,", "-1,9", "1000001,9", "1e3,9", "35,99999999999" })
    EXPECT_FALSE(usageOf(value)) << value;
}

/// A service with four model endpoints, and the loads of each.
struct ModelService
{
  ModelService()
  {
    this->table.services["model"].maxConnections = 600;
    this->table.services["model"].hasModelEndpoints = true;
    for (unsigned index = 0; index < 4; ++index)
      ApplyEntry(
        this->endpoints, { std::to_string(index), "model", "10.0.0.1:" + std::to_string(index), "a" }, 0s, kStart);
    this->loads.expires = kStart + 1s;
  }

  std::string Choose(std::string const& aKey, std::uint64_t aDraw, FleetLoads const* aLoads)
  {
    SelectionView const view{ this->endpoints, this->fronts, this->table, {}, nullptr, aLoads };
    std::string const service{ "model" };
    return *ChooseEndpoint(view, { service, aKey, {}, "f", "a", {}, aDraw }, kStart);
  }

  void SetLoad(std::string const& aId, double aLoad)
  {
    this->loads.elsewhere[LoadNameOf(ProcessOf(this->endpoints.byId.at(aId).entry))] = aLoad;
  }

  ServingTable table;
  EndpointSet endpoints;
  FrontSet fronts;
  FleetLoads loads;
};

// Fronts that all take the least loaded endpoint would overload it together.
TEST(FleetLoad, ChoosesTheLessLoadedOfTwoRandomEndpoints)
{
  ModelService service;
  for (unsigned index = 0; index < 4; ++index)
    service.SetLoad(std::to_string(index), 100.0 * (index + 1));
  std::map<std::string, unsigned> chosen;
  for (std::uint64_t draw = 0; draw < 1200; ++draw)
    ++chosen[service.Choose("", draw, &service.loads)];
  EXPECT_EQ(chosen["0"], 600U);
  EXPECT_EQ(chosen["1"], 400U);
  EXPECT_EQ(chosen["2"], 200U);
  EXPECT_EQ(chosen["3"], 0U);
}

// Parts that leave their endpoint without need are read again; expired loads and other services must not decide.
TEST(FleetLoad, MovesPartsOnlyFromLoadedEndpoints)
{
  ModelService service;
  auto const first = service.Choose("part", 0, nullptr);
  for (unsigned index = 0; index < 4; ++index)
    service.SetLoad(std::to_string(index), 100);
  service.SetLoad(first, 105);
  EXPECT_EQ(service.Choose("part", 0, &service.loads), first);
  service.SetLoad(first, 400);
  EXPECT_NE(service.Choose("part", 0, &service.loads), first);
  service.loads.expires = kStart;
  EXPECT_EQ(service.Choose("part", 0, &service.loads), first);
  service.loads.expires = kStart + 1s;
  service.table.services["model"].hasModelEndpoints = false;
  EXPECT_EQ(service.Choose("part", 0, &service.loads), first);
}

}
