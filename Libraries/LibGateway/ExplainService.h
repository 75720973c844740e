#pragma once

#include "CrashService.h"
#include "StageService.h"
#include <nlohmann/json_fwd.hpp>

namespace Hornbeam::Gateway {

/// Answers where a request would be routed now and why, from the cached state. Nothing is sent or counted for it.
class ExplainService
{
public:
  explicit ExplainService(Kernel& aKernel);

  /// Responds to GET /explain?host=..&path=..&key=..&prefix=..&items=.. with JSON: 200 with an explanation, also if the
  /// request would be refused; 400 if the query is invalid; 405 for other methods. The key is neither logged nor part
  /// of the response.
  void Handle(Exchange& aExchange) const;

  /// From now on, explanations say that the front stops.
  void BeginDraining() { this->draining = true; }

private:
  nlohmann::json Explain(RequestMessage const& aRequest, Platform::RequestMetadata const& aMetadata) const;
  nlohmann::json ExplainStages(RequestStages const& aStages) const;
  nlohmann::json ExplainRoute(Route const& aRoute, Platform::RequestMetadata const& aMetadata) const;
  nlohmann::json ExplainPool(Route const& aRoute,
                             WeightedService const& aService,
                             Platform::RequestMetadata const& aMetadata) const;

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  StageService& stages;
  StageOwnerService& stageOwner;
  CrashService& crashes;
  bool draining{ false };
};

}
