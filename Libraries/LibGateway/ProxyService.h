#pragma once

#include "CrashService.h"
#include "EndpointPathService.h"
#include "EventStream.h"
#include "GatewayMetrics.h"
#include "LoadService.h"
#include "RolloutService.h"
#include "StageService.h"
#include "StreamOriginService.h"
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

  /// From now on, refuses what cannot end before the stop.
  void BeginStop(StopPlan const& aPlan);

  /// Refuses the accepted requests that cannot end before the stop any more.
  void RefuseUnfinishable();

  /// Refuses all further requests, and ends those in progress.
  void EndRequests();

private:
  friend class ProxiedRequest;

  /// Returns the Retry-After of a request that was just read and cannot end before the stop; nothing if it is accepted.
  std::optional<Duration> RefusalDuringStop(RemainingWork const& aWork) const;
  OtherFronts FindOthers() const;
  /// Returns the age of the oldest request in progress on a route; zero if there is none.
  Duration OldestRequest(std::string const& aRoute) const;

  /// Retries the requests that wait for an endpoint, in order of priority.
  void RetryWaiting();
  void ScheduleRetryWaiting();

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  ConnectionPool& connections;
  StageService& stages;
  GatewayMetrics& metrics;
  CrashService& crashes;
  StreamOriginService& streamOrigins;
  LoadService& loads;
  RolloutService& rollouts;
  EndpointPathService const& endpointPaths;
  std::set<std::shared_ptr<ProxiedRequest>> activeRequests;
  std::vector<std::weak_ptr<ProxiedRequest>> waitingRequests;
  std::map<std::string, RetryQuota> retryBudgets;
  DurationHistory durations;
  std::optional<StopPlan> stop;
  /// Cleared when requests in progress are ended for the stop.
  bool accepting{ true };
  bool retryScheduled{ false };
  std::minstd_rand random;
};

}
