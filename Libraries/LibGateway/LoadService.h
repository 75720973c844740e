#pragma once

#include "GatewayMetrics.h"
#include "StateCache.h"

namespace Hornbeam::Gateway {

class FrontPeers;

/// Exchanges with the other fronts how much load each puts on model endpoints. Nothing is sent while there are fewer
/// fronts than the settings say, or no service has model endpoints.
class LoadService
{
public:
  explicit LoadService(Kernel& aKernel);

  void Start();

  /// Counts an attempt that is sent; returns its load, zero if its service has no model endpoints.
  double OnAttemptSent(EndpointEntry const& aEndpoint, std::optional<TokenUsage> const& aUsage);
  void OnAttemptEnd(EndpointProcess const& aProcess, double aLoad);

  /// Handles the report of another front; returns nothing if it is not accepted.
  std::optional<LoadReport> OnReport(LoadReport aReport);

  /// Returns the loads of the fleet; null if they are not known.
  FleetLoads const* FleetView() const { return this->view ? &*this->view : nullptr; }

private:
  /// Returns the number of endpoints of services that have model endpoints.
  std::size_t ModelEndpoints() const;
  std::optional<LoadRole> FindRole();
  void Tick();
  void ApplyRole(LoadRole const& aRole);
  void EndExchange();
  void SendReport(FrontEntry const& aCollector);
  void OnReply(FrontEntry const& aCollector, std::optional<LoadReport> const& aReply);
  void Refresh();
  void UpdateMetrics();

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  FrontPeers& peers;
  GatewayMetrics& metrics;
  std::minstd_rand random;
  LoadExchange exchange;
  std::optional<FleetLoads> view;
  /// The last known role; nothing while loads are not exchanged.
  std::optional<LoadRole> role;
  /// Collectors that did not respond, and until when others are used instead.
  std::map<std::string, MonotonicTime> unreachable;
};

}
