#pragma once

#include "AdministrationService.h"
#include "CallerService.h"
#include "ShutdownService.h"

namespace Hornbeam {

/// The external dependencies of a front, which tests replace by fakes.
struct FrontPorts
{
  Clock& clock;
  StorePort& store;
  PeerPort& peers;
  EndpointPort& endpoints;
};

/// All services of one front, registered in one kernel.
class Front
{
public:
  Front(FrontSettings aSettings, Incarnation aIncarnation, FrontPorts aPorts, std::function<void()> aOnEnded);
  Front(Front const&) = delete;
  Front& operator=(Front const&) = delete;

  void Start();

  /// The handlers for calls from other fronts.
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
