#include "GatewayNames.h"
#include "ProxiedRequest.h"

namespace Hornbeam::Gateway {

/// How often requests that wait for an endpoint are retried, in addition to each change of the cached state.
static constexpr Duration kWaitingRetryInterval = 25ms;
/// Retry-After while no table is known; reading the store takes a front about this long.
static constexpr Duration kRetryAfterNoTable = 500ms;

ProxyService::ProxyService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , connections(aKernel.Find<ConnectionPool>(GatewayName::kConnections))
  , stages(aKernel.Find<StageService>(GatewayName::kStages))
  , metrics(aKernel.Find<GatewayMetrics>(GatewayName::kMetrics))
  , crashes(aKernel.Find<CrashService>(GatewayName::kCrashes))
  , streamOrigins(aKernel.Find<StreamOriginService>(GatewayName::kStreamOrigins))
  , loads(aKernel.Find<LoadService>(GatewayName::kLoads))
  , rollouts(aKernel.Find<RolloutService>(GatewayName::kRollouts))
  , endpointPaths(aKernel.Find<EndpointPathService>(GatewayName::kEndpointPaths))
  , random(std::random_device{}())
{
  this->stateCache.AddChangeListener([this] { this->RetryWaiting(); });
}

static void
RespondLocally(Exchange& aExchange,
               unsigned aStatus,
               std::string const& aId,
               std::string_view aReason,
               std::optional<Duration> aRetryAfter)
{
  aExchange.Respond(Platform::EncodeLocalResponse(aStatus, aId, aRetryAfter), aReason);
}

void
ProxyService::Handle(std::shared_ptr<Exchange> aExchange)
{
  this->metrics.receivedRequests.Increment();
  std::string error;
  auto const& message = aExchange->Request();
  auto const metadata = Platform::DecodeRequest(message, error);
  auto const refuse = [&](unsigned aStatus, std::string_view aReason, std::optional<Duration> aRetryAfter) {
    auto const id = metadata ? metadata->requestId : std::string();
    this->metrics.CountEndedRequest(RequestOutcome::Refused, aStatus);
    PART_LOG("request") << "id=" << id << " outcome=refused status=" << aStatus << " reason=" << aReason
                        << " method=" << message.method
                        << " table=" << (this->stateCache.Table() ? this->stateCache.Table()->version : 0)
                        << " beliefs_age_ms=" << Milliseconds(this->stateCache.Age());
    RespondLocally(*aExchange, aStatus, id, aReason, aRetryAfter);
  };
  if (!metadata)
    return refuse(400, error, std::nullopt);
  auto const table = this->stateCache.Table();
  if (!table || !this->stateCache.IsInitialized())
    return refuse(503, "no-table-yet", kRetryAfterNoTable);
  auto const* const route = MatchRoute(*table, metadata->host, message.target);
  if (route == nullptr)
    return refuse(404, "no-route", std::nullopt);
  auto const key = CheckKey(*table, *route, metadata->key);
  if (key.verdict == KeyVerdict::Unknown)
    return refuse(401, "unknown-key", std::nullopt);
  auto const deadline = DeadlineOf(*route, metadata->clientTimeout, aExchange->Received());
  if (auto const retryAfter = this->RefusalDuringStop({ route->name, route->targetLatency, deadline }))
    return refuse(503, "stopping", retryAfter);
  auto const request = std::make_shared<ProxiedRequest>(*this, aExchange, table, *route, key.account, *metadata);
  this->activeRequests.insert(request);
  request->Run([&] { request->Begin(); });
}

OtherFronts
ProxyService::FindOthers() const
{
  return FindOtherFronts(this->stateCache.Fronts(), this->settings.name, this->clock.Now());
}

Duration
ProxyService::OldestRequest(std::string const& aRoute) const
{
  auto const now = this->clock.Now();
  Duration oldest{ 0 };
  for (auto const& request : this->activeRequests)
    if (request->RouteName() == aRoute)
      oldest = std::max<Duration>(oldest, now - request->Received());
  return oldest;
}

std::optional<Duration>
ProxyService::RefusalDuringStop(RemainingWork const& aWork) const
{
  if (!this->stop)
    return std::nullopt;
  auto const now = this->clock.Now();
  auto const needed = EstimateDuringStop(*this->stop, this->durations, aWork, this->OldestRequest(aWork.route), now);
  auto const others = this->FindOthers();
  if (this->accepting && AcceptsDuringStop(*this->stop, aWork, needed, others, now))
    return std::nullopt;
  return RetryAfterDuringStop(others);
}

void
ProxyService::BeginStop(StopPlan const& aPlan)
{
  this->stop = aPlan;
  this->RefuseUnfinishable();
}

void
ProxyService::RefuseUnfinishable()
{
  // A refused request leaves the set.
  for (auto const& request : std::vector(this->activeRequests.begin(), this->activeRequests.end()))
    request->RefuseIfUnfinishable();
}

void
ProxyService::EndRequests()
{
  this->accepting = false;
  for (auto const& request : std::vector(this->activeRequests.begin(), this->activeRequests.end()))
    request->EndForStop();
}

void
ProxyService::RetryWaiting()
{
  auto const waiting = std::move(this->waitingRequests);
  this->waitingRequests.clear();
  std::vector<std::shared_ptr<ProxiedRequest>> requests;
  for (auto const& weak : waiting)
    if (auto request = weak.lock())
      requests.push_back(std::move(request));
  std::ranges::stable_sort(
    requests, {}, [](auto const& aRequest) { return std::pair(aRequest->Priority(), aRequest->Received()); });
  for (auto const& request : requests)
    request->Run([&] { request->TryEndpoint(); });
}

void
ProxyService::ScheduleRetryWaiting()
{
  if (this->retryScheduled)
    return;
  this->retryScheduled = true;
  this->clock.Schedule(kWaitingRetryInterval, [this] {
    this->retryScheduled = false;
    this->RetryWaiting();
  });
}

}
