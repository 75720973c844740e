#pragma once

#include "StateCache.h"

namespace Hornbeam::Gateway {

/// Keeps track of which endpoints this front reaches itself, connects to the others through other fronts, and connects
/// other fronts to endpoints (docs/design/EndpointPaths.md).
class EndpointPathService
{
public:
  EndpointPathService(Kernel& aKernel, uv_loop_t& aLoop, StreamConnector aConnector);

  /// Serves other fronts, if the settings have an address for it. Returns false if it cannot be bound.
  bool Open();

  /// Stops listening, so that Open() can be called again.
  void Close() { this->tunnels.Close(); }

  void Start();

  /// Serves no further connections. To be called repeatedly while the front stops.
  void ContinueStop() { this->tunnels.ContinueStop(); }

  /// Whether other fronts' requests are passing through this one.
  bool IsBusy() const { return this->tunnels.IsBusy(); }

  /// Whether what fails at an endpoint may be due to this front's link, so that it says nothing about the endpoint.
  bool IsLinkInDoubt(std::string const& aAddress) const;

  bool IsCutOff() const { return Gateway::IsCutOff(this->paths, this->clock.Now()); }
  std::size_t MissedEndpoints() const { return this->paths.missed.size(); }
  TunnelServer const& Tunnels() const { return this->tunnels; }
  /// The number of connections to endpoints that were opened through other fronts.
  std::uint64_t ThroughOthers() const { return this->throughOthers; }

private:
  std::string Choose(std::string const& aAddress) const;
  void OnConnection(std::string const& aAddress, std::string const& aTunnel, ConnectionOutcome aOutcome);
  TunnelPermission Permit(std::string const& aAddress) const;
  bool IsEndpoint(std::string const& aAddress) const;
  void ProbeLinks();
  void ProbeLink(std::string const& aAddress);
  /// Logs when the links to all endpoints seem to be lost, and when one of them is back.
  void NoteState();

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  ConnectionPool& connections;
  StreamConnector connector;
  EndpointPaths paths;
  TunnelServer tunnels;
  std::uint64_t throughOthers{ 0 };
  bool wasCutOff{ false };
};

}
