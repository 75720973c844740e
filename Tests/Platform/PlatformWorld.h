#pragma once

#include "CallerRequest.h"
#include "StandInEndpoint.h"
#include "StandInStore.h"
#include "StandInTable.h"
#include <LibGateway/LibGateway.h>
#include <LibGateway/ProxyService.h>
#include <set>

namespace Hornbeam::Testing {

/// The response that a caller received.
struct CallerResponse
{
  bool ended{ false };
  Gateway::CallEnd end{ Gateway::CallEnd::NotSent };
  unsigned status{ 0 };
  std::string body;
  Gateway::HeaderFields fields;
  Duration duration{ 0 };
};

/// What becomes of a front's connections to endpoints while it is cut off from them.
enum class LostLink
{
  None,
  /// Open connections stay open and bring nothing; new ones are never established.
  Hanging,
  /// Open connections live on; new ones are refused.
  OldKept,
};

/// Fronts, a stand-in store and stand-in endpoints on loopback, all on one event loop in real time.
class PlatformWorld
{
public:
  explicit PlatformWorld(unsigned aFronts);

  /// Starts all fronts, with table version 1 if the store has no table.
  void Start();
  void StartFront(unsigned aFront);

  StandInEndpoint& AddEndpoint(EndpointKind aKind,
                               std::string const& aService,
                               std::string const& aDataCenter = "a",
                               std::string const& aVersion = "v1");
  void Register(StandInEndpoint const& aEndpoint,
                std::string const& aService,
                std::string const& aState,
                std::string const& aDataCenter = "a");

  /// Writes a table to the store. aVersion must increase to take effect; aTimeout applies to all routes.
  void PutTable(std::uint64_t aVersion, Duration aTimeout = 3s);

  std::shared_ptr<CallerResponse> Send(unsigned aFront,
                                       CallerRequest const& aRequest,
                                       Gateway::CallHandle* aHandle = nullptr,
                                       Gateway::Reuse aReuse = Gateway::Reuse::Fresh);

  /// Sends raw bytes and returns everything received until the connection ends or aTime has passed.
  std::string SendRaw(unsigned aFront, std::string const& aBytes, Duration aTime);

  /// Cuts a front off from all endpoints, or heals its link. The front, the store and the other fronts reach each
  /// other.
  void SetLink(unsigned aFront, LostLink aLink);

  /// Runs the event loop until the condition holds; returns false if it does not within aTime.
  bool RunUntil(std::function<bool()> const& aCondition, Duration aTime = 5s);
  void RunFor(Duration aTime);

  CallerResponse Call(unsigned aFront, CallerRequest const& aRequest);

  std::string CallerAddress(unsigned aFront) const { return this->AddressOf(aFront, 0); }
  /// Returns an address of a front: port 3 is for calls between fronts, the others are those of Get().
  std::string AddressOf(unsigned aFront, unsigned aPort) const;
  /// Returns an address that nothing uses yet.
  std::string NextAddress();
  /// Sends a GET request to another address of a front. aPort is 1 for readiness, 2 for the directory, 4 for metrics.
  CallerResponse Get(unsigned aFront, unsigned aPort, std::string const& aTarget);

  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  std::unique_ptr<StandInStore> store;
  std::vector<std::unique_ptr<StandInEndpoint>> endpoints;
  std::vector<std::unique_ptr<Gateway::GatewayFront>> fronts;
  std::vector<bool> stopped;
  /// Called when a front's process would end.
  std::function<void(unsigned aFront)> onStopped;
  /// The grace time of fronts that are started from now on.
  Duration graceTime{ 8s };
  /// Whether fronts that are started from now on belong to the first start of the fleet.
  bool firstStart{ true };
  /// The seeds of fronts that are started from now on; the first front if empty.
  std::vector<std::string> seeds;
  /// The address at which fronts that are started from now on find the store; that of `store` if empty.
  std::string storeAddress;
  /// The rules of rollouts of fronts that are started from now on; rollouts are not in use without them.
  std::optional<Gateway::RolloutRules> rollouts;
  /// Addresses of endpoints besides those in `endpoints`, to which links can be lost as well.
  std::set<std::string> otherEndpoints;
  Gateway::ConnectionPool callers{ this->loop.UvLoop(), this->clock };

private:
  struct FrontLink
  {
    LostLink state{ LostLink::None };
    std::vector<std::weak_ptr<Gateway::TcpStream>> streams;
  };

  bool IsEndpoint(std::string const& aAddress) const;
  Gateway::StreamConnector ConnectorOf(unsigned aFront);
  std::map<unsigned, FrontLink> links;
  unsigned basePort{ 0 };
  unsigned nextPort{ 0 };
};

}
