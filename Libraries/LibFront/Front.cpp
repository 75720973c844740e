#include "Front.h"

namespace Hornbeam {

Front::Front(FrontSettings aSettings, Incarnation aIncarnation, FrontPorts aPorts, std::function<void()> aOnEnded)
  : settings(std::move(aSettings))
{
  this->kernel.Provide(ServiceName::kSettings, this->settings);
  this->kernel.Provide(ServiceName::kClock, aPorts.clock);
  this->kernel.Provide(ServiceName::kStorePort, aPorts.store);
  this->kernel.Provide(ServiceName::kPeerPort, aPorts.peers);
  this->kernel.Provide(ServiceName::kEndpointPort, aPorts.endpoints);
  this->membership = std::make_unique<MembershipService>(this->kernel, aIncarnation);
  this->kernel.Provide(ServiceName::kMembership, *this->membership);
  this->configuration = std::make_unique<ConfigurationService>(this->kernel);
  this->kernel.Provide(ServiceName::kConfiguration, *this->configuration);
  this->grants = std::make_unique<GrantService>(this->kernel);
  this->kernel.Provide(ServiceName::kGrants, *this->grants);
  this->requests = std::make_unique<RequestService>(this->kernel);
  this->kernel.Provide(ServiceName::kRequests, *this->requests);
  this->callers = std::make_unique<CallerService>(this->kernel);
  this->kernel.Provide(ServiceName::kCallers, *this->callers);
  this->metrics = std::make_unique<MetricsService>(this->kernel);
  this->kernel.Provide(ServiceName::kMetrics, *this->metrics);
  this->administration = std::make_unique<AdministrationService>(this->kernel);
  this->kernel.Provide(ServiceName::kAdministration, *this->administration);
  this->shutdown = std::make_unique<ShutdownService>(this->kernel, std::move(aOnEnded));
  this->kernel.Provide(ServiceName::kShutdown, *this->shutdown);
}

void
Front::Start()
{
  this->grants->Start();
  this->requests->Start();
  this->configuration->Start();
  this->membership->Start();
}

PeerHandlers
Front::Handlers()
{
  PeerHandlers handlers;
  handlers.onHeartbeat = [this](Heartbeat const& aHeartbeat) { return this->membership->HandleHeartbeat(aHeartbeat); };
  handlers.onGrantBatch = [this](GrantBatch const& aBatch) { return this->grants->HandleBatch(aBatch); };
  handlers.onFetchTable = [this] { return this->configuration->StoredForm(); };
  handlers.onRecallGrant = [this](std::string const& aKey) { this->grants->HandleRecall(aKey); };
  handlers.onForward = [this](ForwardedRequest const& aRequest, std::function<void(std::string)> aDone) {
    this->callers->HandleForwarded(aRequest, std::move(aDone));
  };
  return handlers;
}

}
