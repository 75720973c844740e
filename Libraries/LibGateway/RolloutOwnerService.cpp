#include "RolloutService.h"
#include <algorithm>

// The part of a rollout that one front does for all: the owner of an order.

namespace Hornbeam::Gateway {

/// At most two writes a second.
static constexpr Duration kWriteInterval = 500ms;
static constexpr Duration kMaxWriteDelay = 4s;
/// State that is older is not the store's: no share is raised. Relays prove theirs every 0.75 s.
static constexpr Duration kMaxStateAge = 2500ms;

bool
RolloutService::IsOwner(std::string const& aService) const
{
  auto const owner = OwnerOf(this->stateCache.Fronts(), aService, this->clock.Now());
  return owner && owner->name == this->settings.name;
}

double
RolloutService::OnReport(RemoteVersionReport const& aReport)
{
  auto const now = this->clock.Now();
  auto const* const known = this->FindOrder(aReport.service);
  if (!this->settings.rollouts || known == nullptr)
    return 0;
  auto& entry = this->owned[aReport.service];
  bool const sameOrder = std::ranges::all_of(entry.owner.reporters, [&](auto const& aReporter) {
    return aReporter.second.report.target == known->order.target;
  });
  // An owner that got no reports for so long was not the owner meanwhile; its share may be out of date.
  if (!sameOrder || now - entry.lastReport > kShareLeaseTime)
    entry = {};
  if (!TakeReport(entry.owner, known->order, aReport.front, aReport.report, now)) {
    PART_WARNING("rollouts") << "event=report-ignored service=" << aReport.service << " front=" << aReport.front
                             << " target=" << aReport.report.target;
    return 0;
  }
  entry.lastReport = now;
  return this->Decide(known->order, entry);
}

RolloutView
RolloutService::MakeView(RolloutOrder const& aOrder) const
{
  RolloutView view;
  for (auto const& [name, front] : this->stateCache.Fronts().byName)
    view.fronts.insert(name);
  view.storeIsCurrent = this->stateCache.Age() <= kMaxStateAge;
  auto const& endpoints = this->stateCache.Endpoints();
  view.targetEndpoints = std::size_t(std::ranges::count_if(endpoints.byId, [&](auto const& aEntry) {
    auto const& endpoint = aEntry.second;
    return endpoint.entry.service == aOrder.service && endpoint.entry.softwareVersion == aOrder.target &&
           IsUsable(endpoints, endpoint);
  }));
  return view;
}

double
RolloutService::Decide(RolloutOrder const& aOrder, Owned& aOwned)
{
  auto const decision =
    DecideRollout(*this->settings.rollouts, aOrder, aOwned.owner, this->MakeView(aOrder), this->clock.Now());
  this->LogDecision(aOrder, aOwned, decision);
  this->WriteStatus(aOrder);
  return decision.share;
}

void
RolloutService::LogDecision(RolloutOrder const& aOrder, Owned& aOwned, RolloutDecision const& aDecision) const
{
  if (aDecision.share == aOwned.loggedShare && aDecision.state == aOwned.loggedState)
    return;
  aOwned.loggedShare = aDecision.share;
  aOwned.loggedState = aDecision.state;
  auto const& all = aDecision.cumulative;
  auto const& recent = aDecision.recent;
  PART_LOG("rollouts") << "event=" << (aDecision.state == RolloutState::Serving ? "step" : "verdict")
                       << " service=" << aOrder.service << " target=" << aOrder.target
                       << " state=" << ToString(aDecision.state) << " share=" << aDecision.share
                       << " reason=" << aDecision.reason << " elapsed_ms=" << Milliseconds(aDecision.elapsed)
                       << " reporters=" << aOwned.owner.reporters.size() << " target_responses=" << all.targetResponses
                       << " target_bad=" << all.targetBad << " other_responses=" << all.otherResponses
                       << " other_bad=" << all.otherBad << " excess=" << all.excess << " variance=" << all.variance
                       << " recent_target_bad=" << recent.targetBad << " recent_excess=" << recent.excess
                       << " recent_variance=" << recent.variance;
}

void
RolloutService::WriteStatus(RolloutOrder const& aOrder)
{
  auto const found = this->owned.find(aOrder.service);
  auto const verdict = found == this->owned.end() ? std::nullopt : found->second.owner.verdict;
  bool const isFinal = aOrder.recorded && aOrder.recorded != RolloutState::Serving;
  auto const state = isFinal ? *aOrder.recorded : verdict.value_or(RolloutState::Serving);
  auto& write = this->writes[aOrder.name];
  if (aOrder.recordedInStore == state || write.inFlight || this->clock.Now() < write.next)
    return;
  write.inFlight = true;
  this->store.ReplaceStatus(
    ObjectKind::Rollout,
    aOrder.name,
    aOrder.revision,
    Platform::EncodeRolloutStatus(aOrder, state),
    [this, name = aOrder.name](Platform::WriteResult const& aResult) { this->OnStatusWritten(name, aResult); });
}

void
RolloutService::OnStatusWritten(std::string const& aName, Platform::WriteResult const& aResult)
{
  using Platform::StoreOutcome;
  auto& write = this->writes[aName];
  write.inFlight = false;
  bool const done = aResult.outcome == StoreOutcome::Done;
  write.failures = done || aResult.outcome == StoreOutcome::Conflict ? 0 : std::min(write.failures + 1, 8U);
  write.next = this->clock.Now() + std::min<Duration>(kMaxWriteDelay, kWriteInterval * (1U << write.failures) / 2);
  write.next = std::max<MonotonicTime>(write.next, this->clock.Now() + kWriteInterval);
  PART_LOG("rollouts") << "event=status-written name=" << aName << " outcome=" << ToString(aResult.outcome);
  if (aResult.object && aResult.object->name == aName) {
    this->stateCache.ApplyRollout(*aResult.object);
    return;
  }
  // The object may have changed; the decision is taken again with what the store has now.
  if (!done)
    this->store.Get(ObjectKind::Rollout, aName, [this](Platform::ObjectRead const& aRead) {
      if (aRead.outcome == StoreOutcome::Done && aRead.object)
        this->stateCache.ApplyRollout(*aRead.object);
    });
}

}
