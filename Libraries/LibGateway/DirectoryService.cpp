#include "DirectoryService.h"
#include "GatewayNames.h"
#include <nlohmann/json.hpp>

namespace Hornbeam::Gateway {

/// The platform uses at most this many addresses of a response.
static constexpr std::size_t kMaxAddresses = 64;

DirectoryService::DirectoryService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , loop(aKernel.Find<EventLoop const>(GatewayName::kEventLoop))
  , connections(aKernel.Find<ConnectionPool>(GatewayName::kConnections))
  , store(aKernel.Find<StoreClient>(GatewayName::kStore))
  , peers(aKernel.Find<FrontPeers>(GatewayName::kPeers))
  , stageOwner(aKernel.Find<StageOwnerService>(GatewayName::kStageOwner))
  , proxy(aKernel.Find<ProxyService>(GatewayName::kProxy))
  , relay(aKernel.Find<RelayService>(GatewayName::kRelay))
  , crashes(aKernel.Find<CrashService>(GatewayName::kCrashes))
  , callerMemory(aKernel.Find<CallerMemory const>(GatewayName::kCallerMemory))
  , explain(aKernel.Find<ExplainService>(GatewayName::kExplain))
  , metrics(aKernel.Find<GatewayMetrics>(GatewayName::kMetrics))
  , rollouts(aKernel.Find<RolloutService>(GatewayName::kRollouts))
  , endpointPaths(aKernel.Find<EndpointPathService>(GatewayName::kEndpointPaths))
{
}

static void
RespondText(Exchange& aExchange, unsigned aStatus, std::string const& aType, std::string const& aBody)
{
  aExchange.Respond({ aStatus, { { "Content-Type", aType } } }, aBody);
}

std::vector<std::string>
DirectoryService::Addresses() const
{
  auto const now = this->clock.Now();
  std::vector<std::pair<std::uint64_t, std::string>> candidates;
  for (auto const& [name, front] : this->stateCache.Fronts().byName) {
    bool const own = name == this->settings.name;
    if (own ? this->draining : front.suspectUntil > now)
      continue;
    // Rendezvous hashing by this front's name: if there are more fronts than fit into a response, each front returns a
    // different subset.
    candidates.emplace_back(RendezvousWeight(this->settings.name, name), front.entry.callerAddress);
  }
  // A draining front still serves what it can finish, which is better than no address.
  if (candidates.empty())
    candidates.emplace_back(0, this->settings.callerAddress);
  std::ranges::sort(candidates, std::greater());
  candidates.resize(std::min(candidates.size(), kMaxAddresses));
  std::vector<std::string> result;
  result.reserve(candidates.size());
  for (auto& [weight, address] : candidates)
    result.push_back(std::move(address));
  return result;
}

void
DirectoryService::HandleDirectory(std::shared_ptr<Exchange> const& aExchange)
{
  if (!Platform::IsDirectoryQuery(aExchange->Request())) {
    RespondText(*aExchange, 404, "text/plain", "not here");
    return;
  }
  auto const addresses = this->stateCache.IsInitialized() ? this->Addresses() : std::vector<std::string>();
  if (addresses.empty()) {
    RespondText(*aExchange, 503, "text/plain", "no front is known");
    return;
  }
  bool const namesStoppingFront = this->draining && addresses.front() == this->settings.callerAddress;
  auto const lifetime = namesStoppingFront ? kLifetimeWhileStopping : this->settings.directoryLifetime;
  auto const body = Platform::EncodeDirectoryResponse(addresses, lifetime);
  RespondText(*aExchange, 200, "application/json", body);
}

void
DirectoryService::HandleReadiness(std::shared_ptr<Exchange> const& aExchange)
{
  bool const ready =
    Platform::IsReadinessQuery(aExchange->Request()) && this->stateCache.IsInitialized() && !this->draining;
  RespondText(*aExchange, ready ? 200 : 503, "text/plain", ready ? "ready" : "not ready");
}

void
DirectoryService::UpdateMetrics()
{
  auto& target = this->metrics;
  auto const& endpoints = this->stateCache.Endpoints();
  target.SetGauge("table_version", this->stateCache.Table() ? double(this->stateCache.Table()->version) : 0);
  target.SetGauge("beliefs_age_seconds", double(Milliseconds(this->stateCache.Age())) / 1000);
  Duration longest{ 0 };
  for (auto const& [kind, time] : this->stateCache.TimesSinceAnswer())
    longest = std::max(longest, time);
  target.SetGauge("store_longest_unanswered_seconds", double(Milliseconds(longest)) / 1000);
  target.SetGauge("loop_longest_turn_seconds", Seconds(this->loop.LongestTurn()));
  target.SetGauge("caught_exceptions", double(CaughtExceptions()));
  target.SetGauge("endpoints", double(endpoints.byId.size()));
  auto const count = [&](auto const& aHolds) {
    return double(
      std::ranges::count_if(endpoints.byId, [&](auto const& aEntry) { return aHolds(aEntry.second.signals); }));
  };
  auto const now = this->clock.Now();
  target.SetGauge("endpoints_limited", count([](auto const& aSignals) { return aSignals.limit.has_value(); }));
  target.SetGauge("endpoints_paused", count([&](auto const& aSignals) { return aSignals.pausedUntil > now; }));
  target.SetGauge("endpoints_leaving", count([](auto const& aSignals) { return aSignals.leaving; }));
  target.SetGauge("data_centers_out", double(endpoints.dataCentersOutOfRotation.size()));
  target.SetGauge("fronts", double(this->stateCache.Fronts().byName.size()));
  target.SetGauge("requests_active", double(this->proxy.ActiveRequests()));
  target.SetGauge("store_calls", double(this->store.Calls()));
  target.SetGauge("store_era", double(this->stateCache.Era()));
  target.SetGauge("store_restores_seen", double(this->stateCache.Restores()));
  target.SetGauge("watches_store", this->relay.Use() == StoreUse::None ? 0 : 1);
  target.SetGauge("followers", double(this->relay.Followers()));
  target.SetGauge("peer_calls", double(this->peers.Calls()));
  target.SetGauge("endpoint_calls", double(this->connections.Usage().calls));
  target.SetGauge("endpoint_connections_made", double(this->connections.Usage().connectionsMade));
  target.SetGauge("endpoint_call_failures", double(this->connections.Usage().failures));
  auto const& budget = this->callerMemory.Budget();
  target.SetGauge("caller_bytes", double(budget.bytes));
  target.SetGauge("caller_bytes_limit", double(budget.limits.bytes));
  target.SetGauge("caller_connections", double(budget.callers));
  target.SetGauge("caller_connections_limit", double(budget.limits.connections));
  target.SetGauge("caller_connections_internal", double(budget.internalCallers));
  auto const& refusals = this->callerMemory.Refusals();
  target.SetGauge("caller_requests_refused_for_memory", double(refusals.requestsRefused));
  target.SetGauge("caller_inputs_dropped_for_memory", double(refusals.inputsDropped));
  target.SetGauge("caller_connections_closed_unread", double(refusals.unreadClosed));
  target.SetGauge("caller_connections_closed_for_room", double(refusals.connectionsClosed));
  auto const& counts = this->stageOwner.Counts();
  target.SetGauge("endpoint_crashes_seen", double(this->crashes.Crashes()));
  target.SetGauge("crash_candidates_quarantined", double(this->crashes.Quarantined().size()));
  target.SetGauge("requests_refused_in_quarantine", double(this->crashes.Refusals()));
  target.SetGauge("stage_calls", double(counts.calls));
  target.SetGauge("stage_pieces", double(counts.items));
  target.SetGauge("stage_calls_failed", double(counts.failedCalls));
  target.SetGauge("endpoints_missed", double(this->endpointPaths.MissedEndpoints()));
  target.SetGauge("cut_off_from_endpoints", this->endpointPaths.IsCutOff() ? 1 : 0);
  target.SetGauge("connections_through_other_fronts", double(this->endpointPaths.ThroughOthers()));
  target.SetGauge("tunnels_open", double(this->endpointPaths.Tunnels().Count()));
  target.SetGauge("tunnels_established", double(this->endpointPaths.Tunnels().Established()));
  this->rollouts.UpdateMetrics();
}

std::string
DirectoryService::RenderState() const
{
  using nlohmann::json;
  auto const now = this->clock.Now();
  json result;
  result["name"] = this->settings.name;
  result["table_version"] = this->stateCache.Table() ? this->stateCache.Table()->version : 0;
  result["store_reached"] = this->stateCache.IsCurrent();
  result["watches_store"] = this->relay.Use() != StoreUse::None;
  result["followers"] = this->relay.Followers();
  result["store_era"] = this->stateCache.Era();
  result["age_ms"] = Milliseconds(this->stateCache.Age());
  auto& unanswered = result["ms_since_store_answer"] = json::object();
  for (auto const& [kind, time] : this->stateCache.TimesSinceAnswer())
    unanswered[std::string(ToString(kind))] = Milliseconds(time);
  result["leaving"] = this->draining;
  result["data_centers_out"] = this->stateCache.Endpoints().dataCentersOutOfRotation;
  auto& endpoints = result["endpoints"] = json::array();
  for (auto const& [id, endpoint] : this->stateCache.Endpoints().byId)
    endpoints.push_back({ { "id", id },
                          { "service", endpoint.entry.service },
                          { "data_center", endpoint.entry.dataCenter },
                          { "state", endpoint.entry.state == EndpointState::Ready ? "ready" : "leaving" },
                          { "cold_ms", std::max<std::int64_t>(0, Milliseconds(endpoint.coldUntil - now)) },
                          { "ejected_ms", std::max<std::int64_t>(0, Milliseconds(endpoint.ejectedUntil - now)) },
                          { "says_leaving", endpoint.signals.leaving },
                          { "limit", endpoint.signals.limit ? json(*endpoint.signals.limit) : json() },
                          { "paused_ms", std::max<std::int64_t>(0, Milliseconds(endpoint.signals.pausedUntil - now)) },
                          { "outstanding", endpoint.outstanding } });
  auto& quarantined = result["quarantined"] = json::array();
  for (auto const& [name, quarantine] : this->crashes.Quarantined())
    quarantined.push_back({ { "candidate", name },
                            { "crashes", quarantine.crashes },
                            { "reporters", quarantine.reporters },
                            { "left_ms", std::max<std::int64_t>(0, Milliseconds(quarantine.until - now)) } });
  if (this->settings.rollouts)
    result["rollouts"] = this->rollouts.RenderState();
  auto& pools = result["stage_pools"] = json::array();
  for (auto const& [service, pool] : this->stageOwner.Pools())
    pools.push_back({ { "service", service },
                      { "orders", pool.jobs.size() },
                      { "running_calls", pool.running.size() },
                      { "results_held", pool.held.size() },
                      { "backlog_ms", Milliseconds(pool.backlog) } });
  auto& fronts = result["fronts"] = json::array();
  for (auto const& [name, front] : this->stateCache.Fronts().byName)
    fronts.push_back({ { "name", name },
                       { "address", front.entry.callerAddress },
                       { "suspect_ms", std::max<std::int64_t>(0, Milliseconds(front.suspectUntil - now)) } });
  return Platform::ToText(result);
}

void
DirectoryService::HandleMetrics(std::shared_ptr<Exchange> const& aExchange)
{
  auto const& target = aExchange->Request().target;
  if (target == "/metrics") {
    this->UpdateMetrics();
    RespondText(*aExchange, 200, "text/plain; version=0.0.4", this->metrics.Render());
  } else if (target == "/beliefs") {
    RespondText(*aExchange, 200, "application/json", this->RenderState());
  } else if (target.starts_with("/explain?")) {
    this->explain.Handle(*aExchange);
  } else {
    RespondText(*aExchange, 404, "text/plain", "try /metrics, /beliefs or /explain?host=..&path=..");
  }
}

}
