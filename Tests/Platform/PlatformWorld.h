#pragma once

#include "CallerRequest.h"
#include "StandInEndpoint.h"
#include "StandInStore.h"
#include "StandInTable.h"
#include <LibGateway/LibGateway.h>
#include <LibGateway/ProxyService.h>

namespace Hornbeam::Testing {

/// What a caller got.
struct CallerAnswer
{
  bool ended{ false };
  Gateway::CallEnd end{ Gateway::CallEnd::NotSent };
  unsigned status{ 0 };
  std::string body;
  Gateway::HeaderFields fields;
  Duration took{ 0 };
};

/// Fronts, the store and endpoints on loopback, all on one loop in real time.
class PlatformWorld
{
public:
  explicit PlatformWorld(unsigned aFronts);

  /// Opens the fronts and waits until all know the table and each other.
  void Start();
  void StartFront(unsigned aFront);

  StandInEndpoint& AddEndpoint(EndpointKind aKind, std::string const& aService, std::string const& aDataCenter = "a");
  void Enter(StandInEndpoint const& aEndpoint,
             std::string const& aService,
             std::string const& aState,
             std::string const& aDataCenter = "a");

  /// Puts the table; aVersion grows. aTimeout is that of all routes.
  void PutTable(std::uint64_t aVersion, Duration aTimeout = 3s);

  std::shared_ptr<CallerAnswer> Send(unsigned aFront,
                                     CallerRequest const& aRequest,
                                     Gateway::CallHandle* aHandle = nullptr,
                                     Gateway::Reuse aReuse = Gateway::Reuse::Fresh);

  /// Sends bytes as they are and collects what comes back until the connection ends or aTime has passed.
  std::string SendRaw(unsigned aFront, std::string const& aBytes, Duration aTime);

  /// Turns the loop until the condition holds; false when it does not within aTime.
  bool RunUntil(std::function<bool()> const& aCondition, Duration aTime = 5s);
  void RunFor(Duration aTime);

  CallerAnswer Call(unsigned aFront, CallerRequest const& aRequest);

  std::string CallerAddress(unsigned aFront) const { return this->AddressOf(aFront, 0); }
  /// The status and body that a front gives on one of its other addresses: 1 readiness, 2 directory, 4 metrics.
  CallerAnswer Ask(unsigned aFront, unsigned aPort, std::string const& aTarget);

  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  std::unique_ptr<StandInStore> store;
  std::vector<std::unique_ptr<StandInEndpoint>> endpoints;
  std::vector<std::unique_ptr<Gateway::GatewayFront>> fronts;
  std::vector<bool> ended;
  Gateway::ConnectionPool callers{ this->loop.UvLoop(), this->clock };

private:
  std::string AddressOf(unsigned aFront, unsigned aPort) const;
  std::string NextAddress();

  unsigned base{ 0 };
  unsigned nextPort{ 0 };
};

}
