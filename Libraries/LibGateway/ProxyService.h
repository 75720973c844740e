#pragma once

#include "EventStream.h"
#include "GatewayMetrics.h"
#include "StageService.h"
#include <random>
#include <set>

namespace Hornbeam::Gateway {

class ProxiedRequest;

/// Carries callers' requests to endpoints.
class ProxyService
{
public:
  explicit ProxyService(Kernel& aKernel);

  void Handle(std::shared_ptr<Exchange> aExchange);

  std::size_t Active() const { return this->active.size(); }

private:
  friend class ProxiedRequest;

  /// Tries the requests that wait for an endpoint again, the most urgent first.
  void ReviewWaiting();
  void ScheduleReview();

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  ConnectionPool& connections;
  StageService& stages;
  GatewayMetrics& metrics;
  std::set<std::shared_ptr<ProxiedRequest>> active;
  std::vector<std::weak_ptr<ProxiedRequest>> waiting;
  std::map<std::string, RetryQuota> retryShares;
  bool reviewScheduled{ false };
  std::minstd_rand random;
};

}
