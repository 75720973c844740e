#pragma once

#include "AdministrationService.h"
#include "CallerService.h"
#include "ShutdownService.h"

namespace Hornbeam {

/// What a front needs from outside: the ports may be real or fakes.
struct FrontPorts
{
  Clock& clock;
  StorePort& store;
  PeerPort& peers;
  EndpointPort& endpoints;
};

/// All services of one front, wired through one kernel.
class Front
{
public:
  Front(FrontSettings aSettings, Incarnation aIncarnation, FrontPorts aPorts, std::function<void()> aEnd);
  Front(Front const&) = delete;
  Front& operator=(Front const&) = delete;

  void Start();

  /// What this front does for its peers.
  PeerHandlers Handlers();

  template<typename Service>
  Service& Find(char const* aName)
  {
    return this->kernel.Find<Service>(aName);
  }

private:
  Kernel kernel;
  FrontSettings const settings;
  std::unique_ptr<MembershipService> membership;
  std::unique_ptr<ConfigurationService> configuration;
  std::unique_ptr<GrantService> grants;
  std::unique_ptr<RequestService> requests;
  std::unique_ptr<CallerService> callers;
  std::unique_ptr<MetricsService> metrics;
  std::unique_ptr<AdministrationService> administration;
  std::unique_ptr<ShutdownService> shutdown;
};

}
