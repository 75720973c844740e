#include "GatewayNames.h"
#include "ProxiedRequest.h"

namespace Hornbeam::Gateway {

/// How often requests without an endpoint look again, besides at each change.
static constexpr Duration kReviewInterval = 25ms;
/// Until a table is known; a front takes about this long to read the store.
static constexpr Duration kRetryWithoutTable = 500ms;

ProxyService::ProxyService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , connections(aKernel.Find<ConnectionPool>(GatewayName::kConnections))
  , stages(aKernel.Find<StageService>(GatewayName::kStages))
  , metrics(aKernel.Find<GatewayMetrics>(GatewayName::kMetrics))
  , random(std::random_device{}())
{
  this->stateCache.OnChange([this] { this->ReviewWaiting(); });
}

static void
RespondOwn(Exchange& aExchange,
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
  this->metrics.received.Increment();
  std::string fault;
  auto const& message = aExchange->Request();
  auto const facts = Platform::DecodeRequest(message, fault);
  auto const refuse = [&](unsigned aStatus, std::string_view aReason, std::optional<Duration> aRetryAfter) {
    auto const id = facts ? facts->requestId : std::string();
    this->metrics.CountEnd(RequestOutcome::Refused, aStatus);
    PART_LOG("request") << "id=" << id << " outcome=refused status=" << aStatus << " reason=" << aReason
                        << " method=" << message.method
                        << " table=" << (this->stateCache.Table() ? this->stateCache.Table()->version : 0)
                        << " beliefs_age_ms=" << Milliseconds(this->stateCache.Age());
    RespondOwn(*aExchange, aStatus, id, aReason, aRetryAfter);
  };
  if (!facts)
    return refuse(400, fault, std::nullopt);
  auto const table = this->stateCache.Table();
  if (!table || !this->stateCache.Complete())
    return refuse(503, "no-table-yet", kRetryWithoutTable);
  auto const* const route = MatchRoute(*table, facts->host, message.target);
  if (route == nullptr)
    return refuse(404, "no-route", std::nullopt);
  auto const key = CheckKey(*table, *route, facts->key);
  if (key.verdict == KeyVerdict::Unknown)
    return refuse(401, "unknown-key", std::nullopt);
  auto const request = std::make_shared<ProxiedRequest>(*this, aExchange, table, *route, key.account, *facts);
  this->active.insert(request);
  request->Begin();
}

void
ProxyService::ReviewWaiting()
{
  auto const waiting = std::move(this->waiting);
  this->waiting.clear();
  std::vector<std::shared_ptr<ProxiedRequest>> requests;
  for (auto const& weak : waiting)
    if (auto request = weak.lock())
      requests.push_back(std::move(request));
  std::ranges::stable_sort(
    requests, {}, [](auto const& aRequest) { return std::pair(aRequest->Rank(), aRequest->Received()); });
  for (auto const& request : requests)
    request->TryEndpoint();
}

void
ProxyService::ScheduleReview()
{
  if (this->reviewScheduled)
    return;
  this->reviewScheduled = true;
  this->clock.Schedule(kReviewInterval, [this] {
    this->reviewScheduled = false;
    this->ReviewWaiting();
  });
}

}
