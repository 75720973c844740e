#pragma once

#include "EventStream.h"
#include "GatewayMetrics.h"
#include "StageService.h"
#include <random>
#include <set>

namespace Hornbeam::Gateway {

class ProxiedRequest;

/// Proxies callers' requests to endpoints.
class ProxyService
{
public:
  explicit ProxyService(Kernel& aKernel);

  void Handle(std::shared_ptr<Exchange> aExchange);

  std::size_t ActiveRequests() const { return this->activeRequests.size(); }

  /// Logs a line for each request that has not ended.
  void LogActiveRequests() const;

private:
  friend class ProxiedRequest;

  /// Retries the requests that wait for an endpoint, in order of priority.
  void RetryWaiting();
  void ScheduleRetryWaiting();

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  ConnectionPool& connections;
  StageService& stages;
  GatewayMetrics& metrics;
  std::set<std::shared_ptr<ProxiedRequest>> activeRequests;
  std::vector<std::weak_ptr<ProxiedRequest>> waitingRequests;
  std::map<std::string, RetryQuota> retryBudgets;
  bool retryScheduled{ false };
  std::minstd_rand random;
};

}
