#include <LibGateway/FrontPeers.h>
#include <LibGateway/GatewayNames.h>
#include <LibGateway/LoadService.h>
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

using nlohmann::json;

static constexpr unsigned kFronts = 3;

static std::string
PeerAddress(unsigned aFront)
{
  return "127.0.0.1:" + std::to_string(20985 + aFront);
}

static std::pair<ObjectKind, std::string>
MakeDocument(ObjectKind aKind, std::string const& aName, json const& aSpec)
{
  return { aKind, json{ { "metadata", { { "name", aName }, { "revision", 1 } } }, { "spec", aSpec } }.dump() };
}

/// The services of a front that the exchange needs. The state comes from documents instead of a store.
struct LoadFront
{
  LoadFront(EventLoop& aLoop, unsigned aIndex, std::size_t aExchangeFrom)
    : connections(aLoop.UvLoop(), aLoop.RuntimeClock())
    , store(this->connections, "127.0.0.1:1")
    , peers(aLoop)
  {
    this->settings.name = "front-" + std::to_string(aIndex);
    this->settings.dataCenter = "a";
    this->settings.exchangeLoadsFrom = aExchangeFrom;
    this->kernel.Provide(GatewayName::kSettings, static_cast<GatewaySettings const&>(this->settings));
    this->kernel.Provide(GatewayName::kClock, aLoop.RuntimeClock());
    this->kernel.Provide(GatewayName::kConnections, this->connections);
    this->kernel.Provide(GatewayName::kStore, this->store);
    this->kernel.Provide(GatewayName::kPeers, this->peers);
    this->kernel.Provide(GatewayName::kMetrics, this->metrics);
    this->cache = std::make_unique<StateCache>(this->kernel);
    this->kernel.Provide(GatewayName::kStateCache, *this->cache);
    this->loads = std::make_unique<LoadService>(this->kernel);
    this->cache->Start(StoreUse::None);
    json const model{ { "name", "model" }, { "engine", { { "slots", 8 } } } };
    json const table{ { "version", 1 },
                      { "route_table", json::array() },
                      { "services", json::array({ model, { { "name", "plain" } } }) } };
    std::vector<std::pair<ObjectKind, std::string>> documents{
      MakeDocument(ObjectKind::ServingTable, "main", table),
      MakeDocument(
        ObjectKind::Endpoint,
        "e",
        { { "service", "model" }, { "address", "127.0.0.1:2" }, { "zone", "a" }, { "state", "ready" }, { "born", 1 } })
    };
    for (unsigned index = 0; index < kFronts; ++index)
      documents.push_back(MakeDocument(ObjectKind::Front,
                                       "front-" + std::to_string(index),
                                       { { "caller_address", "127.0.0.1:3" },
                                         { "peer_address", PeerAddress(index) },
                                         { "data_center", "a" },
                                         { "incarnation", 1 },
                                         { "cores", 1.0 } }));
    this->cache->ApplyFromSeed(documents);
    FrontPeerHandlers handlers;
    handlers.exchangeLoads = [this](LoadReport aReport) { return this->loads->OnReport(std::move(aReport)); };
    EXPECT_TRUE(this->peers.Listen(PeerAddress(aIndex), handlers));
    this->loads->Start();
  }

  GatewaySettings settings;
  Kernel kernel;
  ConnectionPool connections;
  StoreClient store;
  FrontPeers peers;
  GatewayMetrics metrics;
  std::unique_ptr<StateCache> cache;
  std::unique_ptr<LoadService> loads;
};

struct LoadFleet
{
  explicit LoadFleet(std::size_t aExchangeFrom)
  {
    for (unsigned index = 0; index < kFronts; ++index)
      this->fronts.push_back(std::make_unique<LoadFront>(this->loop, index, aExchangeFrom));
  }

  bool RunUntil(std::function<bool()> const& aCondition, Duration aTime)
  {
    auto const limit = this->clock.Now() + aTime;
    while (!aCondition() && this->clock.Now() < limit) {
      bool due = false;
      this->clock.Schedule(10ms, [&] { due = true; });
      this->loop.RunUntil([&] { return due; });
    }
    return aCondition();
  }

  /// The load of the endpoint as a front estimates it; -1 if it does not know the load of the others.
  double Estimate(unsigned aFront) const
  {
    auto const& front = *this->fronts[aFront];
    auto const* const view = front.loads->FleetView();
    return view ? EstimatedLoad(*view, ProcessOf(front.cache->Endpoints().byId.at("e").entry)) : -1;
  }

  Clock clock{ ClockMode::Running };
  EventLoop loop{ this->clock };
  std::vector<std::unique_ptr<LoadFront>> fronts;
};

// Reports that are refused or not passed on would leave the fronts without the load of the others.
TEST(LoadService, TellsEachFrontTheLoadOfTheOthers)
{
  LoadFleet fleet(kFronts);
  auto const& entry = fleet.fronts[0]->cache->Endpoints().byId.at("e").entry;
  std::vector<double> loads;
  for (auto const& front : fleet.fronts)
    loads.push_back(front->loads->OnAttemptSent(entry, TokenUsage{ 1000, 100 }));
  auto const allEstimate = [&](double aMinimum, double aMaximum) {
    return fleet.RunUntil(
      [&] {
        for (unsigned front = 0; front < kFronts; ++front)
          if (fleet.Estimate(front) < aMinimum || fleet.Estimate(front) > aMaximum)
            return false;
        return true;
      },
      20s);
  };
  // Encoded loads are exact within 1.5%.
  EXPECT_TRUE(allEstimate(5900, 6100));
  for (unsigned front = 0; front < kFronts; ++front)
    fleet.fronts[front]->loads->OnAttemptEnd(ProcessOf(entry), loads[front]);
  // The load of others is a mean over some seconds.
  EXPECT_TRUE(allEstimate(0, 2000));
}

// Small fleets and services without model endpoints must not have more calls between fronts than before.
TEST(LoadService, SendsNothingInSmallFleets)
{
  LoadFleet fleet(kFronts + 1);
  EndpointEntry plain;
  plain.service = "plain";
  EXPECT_EQ(fleet.fronts[0]->loads->OnAttemptSent(plain, TokenUsage{ 1000, 100 }), 0);
  fleet.RunUntil([] { return false; }, 2500ms);
  for (unsigned front = 0; front < kFronts; ++front) {
    EXPECT_EQ(fleet.fronts[front]->peers.Calls(), 0U);
    EXPECT_EQ(fleet.Estimate(front), -1);
  }
}

}
