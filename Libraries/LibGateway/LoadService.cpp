#include "LoadService.h"
#include "FrontPeers.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

/// How long a collector that did not respond is passed over. By then it has been removed from the store or responds.
static constexpr Duration kUnreachableTime = 3s;
/// How often it is checked whether loads are to be exchanged, while they are not.
static constexpr Duration kIdleInterval = 1s;
static constexpr std::size_t kMaxUnreachable = 64;

LoadService::LoadService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , peers(aKernel.Find<FrontPeers>(GatewayName::kPeers))
  , metrics(aKernel.Find<GatewayMetrics>(GatewayName::kMetrics))
  , random(std::random_device{}())
{
  this->exchange.front = this->settings.name;
  this->exchange.dataCenter = this->settings.dataCenter;
  this->exchange.incarnation = this->clock.WallNow().time_since_epoch().count();
}

void
LoadService::Start()
{
  this->clock.Schedule(kIdleInterval, [this] { this->Tick(); });
}

double
LoadService::OnAttemptSent(EndpointEntry const& aEndpoint, std::optional<TokenUsage> const& aUsage)
{
  auto const table = this->stateCache.Table();
  if (!table || !RuleOf(*table, aEndpoint.service).hasModelEndpoints)
    return 0;
  auto const load = LoadOf(aUsage);
  AddOwnLoad(this->exchange, ProcessOf(aEndpoint), load);
  return load;
}

void
LoadService::OnAttemptEnd(EndpointProcess const& aProcess, double aLoad)
{
  if (aLoad > 0)
    RemoveOwnLoad(this->exchange, aProcess, aLoad);
}

std::size_t
LoadService::ModelEndpoints() const
{
  auto const table = this->stateCache.Table();
  std::size_t count = 0;
  if (table)
    for (auto const& [service, ids] : this->stateCache.Endpoints().idsByService)
      count += RuleOf(*table, service).hasModelEndpoints ? ids.size() : 0;
  return count;
}

std::optional<LoadRole>
LoadService::FindRole()
{
  auto const now = this->clock.Now();
  auto const& fronts = this->stateCache.Fronts();
  auto const endpoints = this->ModelEndpoints();
  if (!this->stateCache.IsInitialized() || endpoints == 0 || fronts.byName.size() < this->settings.exchangeLoadsFrom)
    return std::nullopt;
  std::erase_if(this->unreachable, [&](auto const& aEntry) { return aEntry.second <= now; });
  std::set<std::string> passedOver;
  for (auto const& [name, until] : this->unreachable)
    passedOver.insert(name);
  return FindLoadRole(fronts, this->settings.name, passedOver, endpoints, now);
}

void
LoadService::Tick()
{
  auto const found = this->FindRole();
  if (found)
    this->ApplyRole(*found);
  else if (this->role)
    this->EndExchange();
  this->role = found;
  if (!found) {
    this->clock.Schedule(kIdleInterval, [this] { this->Tick(); });
    return;
  }
  if (found->level == 0)
    this->Refresh();
  // A front without a collector calls nobody, and is called by those that report to it.
  if (found->parent)
    this->SendReport(*found->parent);
  for (auto const& peer : found->peers)
    this->SendReport(peer);
  this->UpdateMetrics();
  // Fronts that started together would report at the same time.
  std::uniform_real_distribution<double> jitter(0.95, 1.05);
  this->clock.Schedule(FromSeconds(Seconds(found->interval) * jitter(this->random)), [this] { this->Tick(); });
}

void
LoadService::EndExchange()
{
  PART_LOG("loads") << "event=not-exchanged fronts=" << this->stateCache.Fronts().byName.size()
                    << " model_endpoints=" << this->ModelEndpoints();
  this->role.reset();
  this->view.reset();
  this->UpdateMetrics();
}

void
LoadService::ApplyRole(LoadRole const& aRole)
{
  auto const nameOf = [](std::optional<LoadRole> const& aOther) {
    return aOther && aOther->parent ? aOther->parent->name : std::string();
  };
  if (!this->role || this->role->level != aRole.level || nameOf(this->role) != nameOf(aRole))
    PART_LOG("loads") << "event=collector level=" << aRole.level << " collector=" << nameOf(aRole)
                      << " former=" << nameOf(this->role) << " interval_ms=" << Milliseconds(aRole.interval)
                      << " fronts=" << this->stateCache.Fronts().byName.size()
                      << " model_endpoints=" << this->ModelEndpoints() << " unreachable=" << this->unreachable.size();
  SetLoadLevel(this->exchange, aRole.level);
  this->exchange.interval = aRole.interval;
}

void
LoadService::SendReport(FrontEntry const& aCollector)
{
  auto const report = MakeReport(this->exchange, this->clock.Now());
  this->peers.ExchangeLoads(
    aCollector.peerAddress, report, [this, aCollector](std::optional<LoadReport> const& aReply) {
      this->OnReply(aCollector, aReply);
    });
}

void
LoadService::OnReply(FrontEntry const& aCollector, std::optional<LoadReport> const& aReply)
{
  auto const now = this->clock.Now();
  // Another process may have the address.
  bool const expected = aReply && aReply->front == aCollector.name && aReply->dataCenter == aCollector.dataCenter;
  if (!expected && this->unreachable.size() < kMaxUnreachable)
    this->unreachable[aCollector.name] = now + kUnreachableTime;
  if (expected && aCollector.dataCenter != this->settings.dataCenter)
    TakeReport(this->exchange, *aReply, now);
  else if (expected && this->role && this->role->parent && this->role->parent->name == aCollector.name)
    TakeReply(this->exchange, aReply->sum, now);
  if (aCollector.dataCenter == this->settings.dataCenter && this->role)
    this->Refresh();
}

std::optional<LoadReport>
LoadService::OnReport(LoadReport aReport)
{
  auto const now = this->clock.Now();
  auto const& fronts = this->stateCache.Fronts();
  // Only fronts that are known count. Until a new one is, its load is not.
  if (!this->role || !fronts.byName.contains(aReport.front) ||
      fronts.byName.at(aReport.front).entry.dataCenter != aReport.dataCenter)
    return std::nullopt;
  LoadReport reply{ this->exchange.front,    this->exchange.dataCenter, this->exchange.incarnation,
                    ++this->exchange.number, this->exchange.level,      {} };
  if (TakeReport(this->exchange, aReport, now) == ReportVerdict::Accepted)
    reply.sum = MakeReply(this->exchange, aReport, now);
  else
    return std::nullopt;
  return reply;
}

void
LoadService::Refresh()
{
  auto const now = this->clock.Now();
  if (this->view && this->view->expires <= now)
    this->view.reset();
  this->view = MakeFleetLoads(this->exchange, this->view, this->stateCache.Fronts().byName.size(), now);
}

void
LoadService::UpdateMetrics()
{
  double own = 0;
  for (auto const& [name, load] : this->exchange.own)
    own += load;
  double estimated = 0;
  double busiest = 0;
  auto const table = this->stateCache.Table();
  auto const& endpoints = this->stateCache.Endpoints();
  if (this->view && table)
    for (auto const& [id, endpoint] : endpoints.byId) {
      if (!RuleOf(*table, endpoint.entry.service).hasModelEndpoints)
        continue;
      auto const load = EstimatedLoad(*this->view, ProcessOf(endpoint.entry));
      estimated += load;
      busiest = std::max(busiest, load);
    }
  double const mean = estimated / double(std::max<std::size_t>(1, this->ModelEndpoints()));
  this->metrics.SetGauge("loads_level", this->role ? this->role->level : -1);
  this->metrics.SetGauge("loads_known_fronts", this->view ? this->view->fronts : 0);
  this->metrics.SetGauge("loads_age_seconds", this->view ? Seconds(this->view->age) : -1);
  this->metrics.SetGauge("loads_own", own);
  this->metrics.SetGauge("loads_estimated", estimated);
  this->metrics.SetGauge("loads_busiest_over_mean", mean > 0 ? busiest / mean : 0);
}

}
