#include "ExplainService.h"
#include "GatewayNames.h"
#include "ProxiedRequest.h"
#include <nlohmann/json.hpp>

namespace Hornbeam::Gateway {

using nlohmann::json;

ExplainService::ExplainService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , stages(aKernel.Find<StageService>(GatewayName::kStages))
  , stageOwner(aKernel.Find<StageOwnerService>(GatewayName::kStageOwner))
  , crashes(aKernel.Find<CrashService>(GatewayName::kCrashes))
{
}

static std::int64_t
TimeLeft(MonotonicTime aUntil, MonotonicTime aNow)
{
  return std::max<std::int64_t>(0, Milliseconds(aUntil - aNow));
}

void
ExplainService::Handle(Exchange& aExchange) const
{
  auto const respond = [&](unsigned aStatus, json const& aBody) {
    aExchange.Respond({ aStatus, { { "Content-Type", "application/json" } } }, Platform::ToText(aBody));
  };
  if (aExchange.Request().method != "GET")
    return respond(405, { { "detail", "only GET" } });
  std::string error;
  auto const request = Platform::DecodeExplainQuery(aExchange.Request().target, error);
  auto const metadata = request ? Platform::DecodeRequest(*request, error) : std::nullopt;
  if (!metadata)
    return respond(400, { { "detail", error } });
  auto result = this->Explain(*request, *metadata);
  result["front"] = this->settings.name;
  result["stopping"] = this->draining;
  result["table_version"] = this->stateCache.Table() ? this->stateCache.Table()->version : 0;
  result["store_reached"] = this->stateCache.IsCurrent();
  result["age_ms"] = Milliseconds(this->stateCache.Age());
  respond(200, result);
}

static json
Refusal(unsigned aStatus, std::string_view aReason)
{
  return { { "verdict", "refuse" }, { "status", aStatus }, { "reason", aReason } };
}

static std::string_view
ToString(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::Safe:
      return "safe";
    case RequestKind::Unsafe:
      return "unsafe";
    case RequestKind::Streaming:
      return "streaming";
  }
  VerifyNotReached();
}

// The order of the verdicts is that of ProxyService::Handle() and ProxiedRequest.
json
ExplainService::Explain(RequestMessage const& aRequest, Platform::RequestMetadata const& aMetadata) const
{
  auto const table = this->stateCache.Table();
  if (!table || !this->stateCache.IsInitialized())
    return Refusal(503, "no-table-yet");
  auto const* const route = MatchRoute(*table, aMetadata.host, aRequest.target);
  if (route == nullptr)
    return Refusal(404, "no-route");
  auto const key = CheckKey(*table, *route, aMetadata.key);
  auto result =
    key.verdict == KeyVerdict::Unknown ? Refusal(401, "unknown-key") : this->ExplainRoute(*route, aMetadata);
  result["route"] = { { "name", route->name },
                      { "kind", ToString(route->kind) },
                      { "timeout_ms", Milliseconds(route->timeout) },
                      { "target_ms", Milliseconds(route->targetLatency) },
                      { "max_attempts", route->maxAttempts },
                      { "affinity", route->prefixAffinity } };
  result["account"] = key.account.name;
  result["priority"] = key.account.priority.value_or(route->priority);
  return result;
}

json
ExplainService::ExplainRoute(Route const& aRoute, Platform::RequestMetadata const& aMetadata) const
{
  json result{ { "verdict", "send" } };
  if (!aRoute.stages.empty()) {
    if (HasTooManyItems(aMetadata.stageItemCounts))
      return Refusal(413, "too-many-pieces");
    auto const plan = PlanStages(aRoute.stages, aMetadata.stageItemCounts);
    if (!plan)
      return Refusal(400, "pieces-do-not-fit-stages");
    result["stages"] = this->ExplainStages(*plan);
  }
  // A quarantined fingerprint is not found: it depends on the body.
  if (auto const quarantined = this->crashes.FindQuarantined(SharedParts(aMetadata.prefixHashes))) {
    result.update(Refusal(503, "quarantined"));
    result["quarantined"] = { { "candidate", quarantined->name }, { "left_ms", Milliseconds(quarantined->timeLeft) } };
  }
  auto& services = result["services"] = json::array();
  for (auto const& service : aRoute.services)
    services.push_back(this->ExplainPool(aRoute, service, aMetadata));
  bool const waits = std::ranges::any_of(services, [](auto const& aService) { return aService["chosen"].is_null(); });
  if (waits && result["verdict"] == "send") {
    result["verdict"] = "wait";
    result["reason"] = "no-endpoint";
  }
  return result;
}

json
ExplainService::ExplainStages(RequestStages const& aStages) const
{
  auto const now = this->clock.Now();
  auto const& backlogs = this->stages.Backlogs();
  auto result = json::array();
  for (std::size_t index = 0; index < aStages.rules.size(); ++index) {
    auto const& rule = aStages.rules[index];
    auto const owner = OwnerOf(this->stateCache.Fronts(), rule.service, now);
    auto const reported = backlogs.byService.find(rule.service);
    auto const pool = this->stageOwner.Pools().find(rule.service);
    auto& stage = result.emplace_back(json{ { "service", rule.service },
                                            { "items", aStages.items[index] },
                                            { "after", rule.after },
                                            { "owner", owner ? owner->name : this->settings.name } });
    auto const& endpoints = this->stateCache.Endpoints().idsByService;
    auto const found = endpoints.find(rule.service);
    stage["endpoints"] = found == endpoints.end() ? 0 : found->second.size();
    stage["backlog_ms"] = Milliseconds(BacklogOf(backlogs, rule.service, now));
    stage["backlog_age_ms"] =
      reported == backlogs.byService.end() ? json() : json(Milliseconds(now - reported->second.reportedAt));
    bool const own = stage["owner"] == this->settings.name && pool != this->stageOwner.Pools().end();
    stage["pool_backlog_ms"] = own ? json(Milliseconds(pool->second.backlog)) : json();
  }
  return result;
}

static json
ToJson(ExplainedEndpoint const& aExplained, MonotonicTime aNow)
{
  auto const& endpoint = *aExplained.endpoint;
  auto const& signals = endpoint.signals;
  return { { "id", endpoint.entry.id },
           { "address", endpoint.entry.address },
           { "reason", ToString(aExplained.reason) },
           { "state", endpoint.entry.state == EndpointState::Ready ? "ready" : "leaving" },
           { "says_leaving", signals.leaving },
           { "data_center", endpoint.entry.dataCenter },
           { "software", endpoint.entry.softwareVersion },
           { "outstanding", endpoint.outstanding },
           { "connected", aExplained.connected },
           { "affinity_rank", aExplained.affinityRank == 0 ? json() : json(aExplained.affinityRank) },
           { "consecutive_failures", endpoint.consecutiveFailures },
           { "cold_ms", TimeLeft(endpoint.coldUntil, aNow) },
           { "ejected_ms", TimeLeft(endpoint.ejectedUntil, aNow) },
           { "limit", signals.limit ? json(*signals.limit) : json() },
           { "limit_age_ms", signals.limit ? json(Milliseconds(aNow - signals.limitNamedAt)) : json() },
           { "paused_ms", TimeLeft(signals.pausedUntil, aNow) },
           { "wait_ms", Milliseconds(aExplained.wait) } };
}

json
ExplainService::ExplainPool(Route const& aRoute,
                            WeightedService const& aService,
                            Platform::RequestMetadata const& aMetadata) const
{
  auto const now = this->clock.Now();
  auto const view = this->stateCache.MakeSelectionView();
  EndpointQuery const query{
    aService.service, AffinityKeyOf(aRoute, aMetadata.prefixHashes), {}, this->settings.name, this->settings.dataCenter
  };
  auto const choice = ExplainChoice(view, query, now);
  auto endpoints = json::array();
  for (auto const& endpoint : choice.endpoints) {
    endpoints.push_back(ToJson(endpoint, now));
    endpoints.back()["state_age_ms"] = Milliseconds(this->stateCache.Age());
  }
  return { { "service", aService.service },
           { "weight", aService.weight },
           { "chosen", choice.chosen ? json(*choice.chosen) : json() },
           { "connection_quota", ConnectionQuota(view, aService.service) },
           { "endpoints", std::move(endpoints) } };
}

}
