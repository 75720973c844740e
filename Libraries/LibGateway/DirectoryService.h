#pragma once

#include "PresenceService.h"
#include "ProxyService.h"

namespace Hornbeam::Gateway {

/// Answers callers that ask which fronts to use, the platform that asks whether this front is ready, and whoever reads
/// the metrics or a front's beliefs.
class DirectoryService
{
public:
  explicit DirectoryService(Kernel& aKernel);

  void HandleDirectory(std::shared_ptr<Exchange> const& aExchange);
  void HandleReadiness(std::shared_ptr<Exchange> const& aExchange);
  void HandleMetrics(std::shared_ptr<Exchange> const& aExchange);

  /// This front takes no new callers any more.
  void Leave() { this->leaving = true; }

private:
  std::vector<std::string> Addresses() const;
  void UpdateMetrics();
  std::string Beliefs() const;

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  ConnectionPool& connections;
  StoreClient& store;
  FrontPeers& peers;
  StageOwnerService& stageOwner;
  ProxyService& proxy;
  GatewayMetrics& metrics;
  bool leaving{ false };
};

}
