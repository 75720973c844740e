#include "RolloutService.h"
#include "GatewayNames.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Hornbeam::Gateway {

/// Reports become due at this grain, half of it early or late: the largest fleet reports every 1.85 s, and a lease ends
/// after 2 s.
static constexpr Duration kTickInterval = 100ms;
/// A front that has just started may not know the orders for this time, even if the store is healthy. A store that does
/// not know their kind must not hold a version back forever.
static constexpr Duration kFirstListTime = 3s;

RolloutService::RolloutService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , peers(aKernel.Find<FrontPeers>(GatewayName::kPeers))
  , store(aKernel.Find<StoreClient>(GatewayName::kStore))
  , metrics(aKernel.Find<GatewayMetrics>(GatewayName::kMetrics))
  , incarnation(this->clock.WallNow().time_since_epoch().count())
  , started(this->clock.Now())
{
  if (this->settings.rollouts)
    this->stateCache.AddChangeListener([this] { this->OnStateChanged(); });
}

void
RolloutService::Start()
{
  if (this->settings.rollouts)
    this->clock.Schedule(kTickInterval, [this] { this->Tick(); });
}

RolloutService::Observed const*
RolloutService::FindOrder(std::string const& aService) const
{
  auto const found = this->observed.find(aService);
  return found == this->observed.end() ? nullptr : &found->second;
}

void
RolloutService::OnStateChanged()
{
  auto const now = this->clock.Now();
  NoteArrivals(this->arrivals, this->stateCache.Endpoints(), now);
  std::map<std::string, RolloutOrder const*> orders;
  for (auto const& [name, order] : this->stateCache.Rollouts()) {
    // Of several orders for a service, the one that was written last counts.
    auto& known = orders[order.service];
    if (known == nullptr || known->revision < order.revision)
      known = &order;
  }
  for (auto const& [service, order] : orders) {
    auto& entry = this->observed[service];
    if (entry.order.target != order->target) {
      entry = {};
      entry.learnt = entry.nextReport = now;
      entry.report.target = order->target;
      entry.report.incarnation = this->incarnation;
    }
    entry.order = *order;
  }
  std::erase_if(this->observed, [&](auto const& aEntry) { return !orders.contains(aEntry.first); });
  std::erase_if(this->owned, [&](auto const& aEntry) { return !orders.contains(aEntry.first); });
  this->NotifyShareListeners();
}

void
RolloutService::NotifyShareListeners()
{
  for (auto const& listener : this->shareListeners)
    listener();
}

void
RolloutService::OnRequest(std::string const& aService)
{
  if (auto const found = this->observed.find(aService); found != this->observed.end())
    ++found->second.exposure.requests;
}

std::optional<std::string>
RolloutService::FindHeldBackVersion(std::string const& aService) const
{
  auto const now = this->clock.Now();
  auto const& endpoints = this->stateCache.Endpoints();
  auto const pool = endpoints.idsByService.find(aService);
  if (pool == endpoints.idsByService.end())
    return std::nullopt;
  auto held = HeldBackVersion(this->arrivals, aService, now);
  if (!held && !this->stateCache.KnowsRollouts() && now - this->started < kFirstListTime) {
    // The newest process has the version that an order may name.
    auto const newest = std::ranges::max_element(
      pool->second, {}, [&](auto const& aId) { return endpoints.byId.at(aId).entry.incarnation; });
    if (newest != pool->second.end())
      held = endpoints.byId.at(*newest).entry.softwareVersion;
  }
  bool const hasOther = held && std::ranges::any_of(pool->second, [&](auto const& aId) {
                          auto const& endpoint = endpoints.byId.at(aId);
                          return endpoint.entry.softwareVersion != *held && IsUsable(endpoints, endpoint);
                        });
  return hasOther ? held : std::nullopt;
}

VersionChoice
RolloutService::ChoiceFor(std::string const& aService,
                          double aDraw,
                          std::optional<std::string> const& aStreamVersion) const
{
  if (!this->settings.rollouts)
    return {};
  auto const now = this->clock.Now();
  auto const* const entry = this->FindOrder(aService);
  if (entry == nullptr) {
    auto const held = this->FindHeldBackVersion(aService);
    return held ? VersionChoice{ VersionRestriction::ExcludeTarget, *held } : VersionChoice{};
  }
  if (aStreamVersion)
    return VersionChoiceForStream(entry->order, entry->lease, *aStreamVersion, now);
  return VersionChoiceFor(*this->settings.rollouts, entry->order, entry->lease, entry->exposure, aDraw, now);
}

bool
RolloutService::IsAvoidedAfterFailure(std::string const& aService, std::string const& aVersion) const
{
  auto const* const entry = this->FindOrder(aService);
  return entry != nullptr && entry->order.target == aVersion && entry->order.recorded != RolloutState::Completed &&
         entry->lease.share < 1;
}

bool
RolloutService::MayRunStages(std::string const& aService, std::string const& aVersion) const
{
  if (!this->settings.rollouts)
    return true;
  auto const* const entry = this->FindOrder(aService);
  if (entry == nullptr)
    return this->FindHeldBackVersion(aService) != aVersion;
  bool const targetOnly = entry->order.recorded == RolloutState::Completed ||
                          (entry->order.recorded != RolloutState::RolledBack && entry->lease.share >= 1 &&
                           entry->lease.until > this->clock.Now());
  return (aVersion == entry->order.target) == targetOnly;
}

std::uint64_t
RolloutService::OnAttemptSent(KnownEndpoint const& aEndpoint, std::string const& aRoute)
{
  if (!this->settings.rollouts)
    return 0;
  auto const now = this->clock.Now();
  auto const& entry = aEndpoint.entry;
  VersionAttempt attempt{ entry.service, aRoute, entry.dataCenter, entry.id, entry.softwareVersion, now };
  attempt.ignored = aEndpoint.coldUntil > now;
  auto const found = this->observed.find(entry.service);
  if (found != this->observed.end()) {
    auto& observedOrder = found->second;
    attempt.target = observedOrder.order.target;
    if (observedOrder.lease.until > now)
      attempt.shareThousandths = unsigned(observedOrder.lease.share * 1000);
    observedOrder.exposure.toTarget += attempt.version == attempt.target ? 1 : 0;
  }
  this->attempts[++this->lastAttempt] = std::move(attempt);
  return this->lastAttempt;
}

void
RolloutService::Count(Observed& aObserved, VersionAttempt& aAttempt, ResponseOutcome aOutcome)
{
  // Responses to requests that were sent under another order, or before it was known, are not counted.
  if (aAttempt.ignored || aAttempt.target != aObserved.order.target)
    return;
  Stratum const stratum{ aAttempt.route, aAttempt.dataCenter, aAttempt.shareThousandths };
  auto& strata = aObserved.report.counts;
  if (!strata.contains(stratum) && strata.size() >= kMaxStrata)
    return;
  bool const atTarget = aAttempt.version == aAttempt.target;
  auto& stratumCounts = strata[stratum];
  auto& counts = atTarget ? stratumCounts.target : stratumCounts.other;
  if (!aAttempt.counted)
    AddResponse(counts, aOutcome, this->clock.Now() - aAttempt.sent);
  else if (aOutcome == ResponseOutcome::Failed)
    AddLateFailure(counts);
  aAttempt.counted = true;
  if (!atTarget || aOutcome != ResponseOutcome::Failed)
    return;
  auto& bad = aObserved.report.badByEndpoint;
  ++bad[aAttempt.endpoint];
  if (bad.size() > kMaxCountedEndpoints)
    bad.erase(std::ranges::min_element(bad, {}, [](auto const& aEntry) { return aEntry.second; }));
}

void
RolloutService::OnAnswer(std::uint64_t aAttempt, ResponseOutcome aOutcome)
{
  auto const attempt = this->attempts.find(aAttempt);
  if (attempt == this->attempts.end())
    return;
  if (auto const found = this->observed.find(attempt->second.service); found != this->observed.end())
    this->Count(found->second, attempt->second, aOutcome);
  // The end of an error response is no second failure.
  if (aOutcome == ResponseOutcome::Failed)
    attempt->second.ignored = true;
}

void
RolloutService::OnAttemptEnd(std::uint64_t aAttempt, std::optional<ResponseOutcome> aOutcome)
{
  auto const attempt = this->attempts.find(aAttempt);
  if (attempt == this->attempts.end())
    return;
  auto const found = this->observed.find(attempt->second.service);
  if (aOutcome && found != this->observed.end() && (!attempt->second.counted || aOutcome == ResponseOutcome::Failed))
    this->Count(found->second, attempt->second, *aOutcome);
  this->attempts.erase(attempt);
}

void
RolloutService::Tick()
{
  this->clock.Schedule(kTickInterval, [this] { this->Tick(); });
  auto const now = this->clock.Now();
  for (auto& [service, entry] : this->observed) {
    bool const isFinal = entry.order.recorded && entry.order.recorded != RolloutState::Serving;
    if (isFinal && entry.order.recordedInStore != entry.order.recorded && this->IsOwner(service))
      this->WriteStatus(entry.order);
    if (!isFinal && !entry.reporting && now + kTickInterval / 2 >= entry.nextReport)
      this->Report(service, entry);
  }
}

void
RolloutService::Report(std::string const& aService, Observed& aObserved)
{
  auto const now = this->clock.Now();
  auto const owner = OwnerOf(this->stateCache.Fronts(), aService, now);
  aObserved.nextReport = now + ReportInterval(this->stateCache.Fronts().byName.size());
  if (!owner)
    return;
  aObserved.report.age = now - aObserved.learnt;
  aObserved.report.inProgressElsewhere = std::uint64_t(std::ranges::count_if(this->attempts, [&](auto const& aEntry) {
    return aEntry.second.service == aService && aEntry.second.version != aObserved.order.target;
  }));
  RemoteVersionReport const report{ this->settings.name, aService, aObserved.report };
  auto const target = aObserved.order.target;
  if (owner->name == this->settings.name) {
    this->ApplyShare(aService, target, this->OnReport(report), now);
    return;
  }
  aObserved.reporting = true;
  this->peers.ReportVersions(
    owner->peerAddress, report, [this, aService, target, now, name = owner->name](std::optional<double> aShare) {
      if (auto const found = this->observed.find(aService); found != this->observed.end())
        found->second.reporting = false;
      if (aShare)
        this->ApplyShare(aService, target, *aShare, now);
      else
        SuspectFront(this->stateCache.Fronts(), name, this->clock.Now());
    });
}

void
RolloutService::ApplyShare(std::string const& aService, std::string const& aTarget, double aShare, MonotonicTime aSent)
{
  auto const found = this->observed.find(aService);
  if (found == this->observed.end() || found->second.order.target != aTarget)
    return;
  auto& entry = found->second;
  double const share = aShare >= 0 && aShare <= 1 ? aShare : 0;
  bool const changed = entry.lease.share != share;
  // The lease runs from the call on, so that a late answer does not prolong it.
  entry.lease = { share, aSent + kShareLeaseTime };
  if (!changed)
    return;
  PART_LOG("rollouts") << "event=share service=" << aService << " target=" << aTarget << " share=" << share
                       << " requests=" << entry.exposure.requests << " to_target=" << entry.exposure.toTarget;
  this->NotifyShareListeners();
}

nlohmann::json
RolloutService::RenderState() const
{
  auto const now = this->clock.Now();
  auto result = nlohmann::json::array();
  for (auto const& [service, entry] : this->observed)
    result.push_back({ { "service", service },
                       { "target", entry.order.target },
                       { "state", std::string(ToString(entry.order.recorded.value_or(RolloutState::Serving))) },
                       { "duration_ms", Milliseconds(entry.order.duration) },
                       { "known_for_ms", Milliseconds(now - entry.learnt) },
                       { "share", entry.lease.until > now ? entry.lease.share : 0 },
                       { "requests", entry.exposure.requests },
                       { "to_target", entry.exposure.toTarget },
                       { "owner", this->IsOwner(service) } });
  return result;
}

void
RolloutService::UpdateMetrics()
{
  auto const now = this->clock.Now();
  for (auto const& known : this->observed) {
    auto const& entry = known.second;
    auto const set = [&](std::string aName, double aValue) {
      aName += ":";
      aName += known.first;
      this->metrics.SetGauge(aName, aValue);
    };
    VersionCounts target;
    VersionCounts other;
    for (auto const& [stratum, counts] : entry.report.counts) {
      target.responses += counts.target.responses;
      target.failures += counts.target.failures;
      other.responses += counts.other.responses;
      other.failures += counts.other.failures;
    }
    set("rollout_share", entry.lease.until > now ? entry.lease.share : 0);
    set("rollout_state", double(entry.order.recorded.value_or(RolloutState::Serving)));
    set("rollout_target_responses", double(target.responses));
    set("rollout_target_failures", double(target.failures));
    set("rollout_other_responses", double(other.responses));
    set("rollout_other_failures", double(other.failures));
  }
}

}
