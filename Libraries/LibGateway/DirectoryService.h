#pragma once

#include "ExplainService.h"
#include "ProxyService.h"
#include "RelayService.h"

namespace Hornbeam::Gateway {

/// Serves the directory lookups of callers, the platform's readiness probes, the metrics and the cached state.
class DirectoryService
{
public:
  explicit DirectoryService(Kernel& aKernel);

  void HandleDirectory(std::shared_ptr<Exchange> const& aExchange);
  void HandleReadiness(std::shared_ptr<Exchange> const& aExchange);
  void HandleMetrics(std::shared_ptr<Exchange> const& aExchange);

  /// Reports this front as not ready and removes it from its directory responses.
  void BeginDraining() { this->draining = true; }

private:
  std::vector<std::string> Addresses() const;
  void UpdateMetrics();
  std::string RenderState() const;

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  EventLoop const& loop;
  ConnectionPool& connections;
  StoreClient& store;
  FrontPeers& peers;
  StageOwnerService& stageOwner;
  ProxyService& proxy;
  RelayService& relay;
  CrashService& crashes;
  CallerMemory const& callerMemory;
  ExplainService& explain;
  GatewayMetrics& metrics;
  RolloutService& rollouts;
  EndpointPathService const& endpointPaths;
  bool draining{ false };
};

}
