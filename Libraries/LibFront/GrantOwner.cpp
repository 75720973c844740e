#include "GrantKeys.h"
#include "GrantService.h"
#include <algorithm>

/// The owner side of GrantService: ledgers, phases, changes of epoch and reports.

namespace Hornbeam {

static constexpr Duration kReportInterval = 500ms;

bool
GrantService::EpochTransition::IsComplete() const
{
  auto const hasReported = [&](Member const& aMember) { return this->reported.contains(aMember.name); };
  return std::ranges::all_of(this->previous, hasReported) && std::ranges::all_of(this->current, hasReported);
}

void
GrantService::HandleEpoch(EpochRecord const& aRecord)
{
  auto const now = this->clock.Now();
  auto const& grants = this->settings.grants;
  auto const retention = grants.grantDuration + grants.maxWorkDuration + grants.driftAllowance;
  bool const continuous = this->lastActiveEpoch + 1 == aRecord.epoch;
  this->lastActiveEpoch = aRecord.epoch;
  std::erase_if(this->transitions, [&](EpochTransition const& aEach) {
    return now - aEach.activatedAt > retention && now >= aEach.residualUntil;
  });
  EpochTransition transition{ aRecord.previous, aRecord.members, now, continuous, {}, {} };
  transition.reported.insert(aRecord.drained.begin(), aRecord.drained.end());
  this->transitions.push_back(std::move(transition));
  std::erase_if(this->ledgers, [&](auto const& aEntry) {
    auto const& owner = OwnerOf(aRecord, aEntry.first, this->DataCenterOf(aEntry.first));
    return !continuous || owner != this->membership.Self();
  });
  std::erase_if(this->phases, [&](auto const& aEntry) {
    auto const key = EndpointKey(aEntry.first);
    return OwnerOf(aRecord, key, this->DataCenterOf(key)) != this->membership.Self();
  });
  // A grant from the previous epoch that arrives after this point would be missing from the report to the new owner.
  for (auto& [key, holding] : this->holdings) {
    if (holding.requestSentAt)
      CancelGrantRequest(holding);
  }
  this->reportsToSend.clear();
  for (auto const& member : aRecord.members)
    this->reportsToSend.insert(member.name);
  this->ScheduleFlush();
}

/// How long work may still be running that no member of the current epoch will report: work granted by owners whose
/// ledgers were lost, and work of holders that are no longer members.
Duration
GrantService::ResidualDuration() const
{
  auto const now = this->clock.Now();
  auto until = now;
  for (auto const& transition : this->transitions) {
    auto const ledgerLostUntil = TakenOverLedger(this->settings.grants, transition.activatedAt).takenOverUntil;
    until = std::max(until, transition.residualUntil);
    // Current members send their own reports to every member.
    bool const awaitsDepartedMember = std::ranges::any_of(transition.previous, [&](Member const& aMember) {
      auto const* const known = this->membership.FindKnownMember(aMember.name, aMember.incarnation);
      return known == nullptr && !transition.reported.contains(aMember.name);
    });
    if (awaitsDepartedMember)
      until = std::max(until, ledgerLostUntil);
  }
  for (auto const& [key, ledger] : this->ledgers) {
    for (auto const& [holder, entry] : ledger.entries) {
      if (!this->membership.IsMemberHolder(holder))
        until = std::max(until, entry.expiresAt);
    }
  }
  return until - now;
}

void
GrantService::AcceptReport(GrantBatch const& aBatch)
{
  auto const name = aBatch.holder.substr(0, aBatch.holder.rfind('.'));
  auto const isReporter = [&](Member const& aMember) { return aBatch.holder == HolderName(aMember); };
  // A complete report covers everything that its sender holds, from any epoch, so it counts for earlier transitions
  // too.
  for (auto& transition : this->transitions) {
    bool const awaited =
      std::ranges::any_of(transition.previous, isReporter) || std::ranges::any_of(transition.current, isReporter);
    // A restarted process cannot report what its previous incarnation held.
    auto const* const previousMember = FindMember(transition.previous, name);
    if (!awaited || (previousMember != nullptr && !isReporter(*previousMember)))
      continue;
    transition.reported.insert(name);
    transition.residualUntil = std::max(transition.residualUntil, this->clock.Now() + aBatch.residual);
  }
  if (!this->transitions.back().IsComplete())
    return;
  PART_LOG("grants") << "all members have reported the grants that they hold.";
  for (auto& [key, ledger] : this->ledgers)
    ledger.takenOverUntil = std::min(ledger.takenOverUntil, this->TakenOverUntil(key));
}

MonotonicTime
GrantService::TakenOverUntil(std::string const& aKey) const
{
  auto const dataCenter = this->DataCenterOf(aKey);
  auto const& grants = this->settings.grants;
  MonotonicTime until{};
  for (auto const& transition : this->transitions) {
    if (transition.previous.empty())
      continue;
    EpochRecord const before{ 0, transition.previous, {} };
    bool const ledgerKept = transition.continuous && OwnerOf(before, aKey, dataCenter) == this->membership.Self();
    if (ledgerKept)
      continue;
    auto const unreported = TakenOverLedger(grants, transition.activatedAt).takenOverUntil;
    until = std::max(until, transition.IsComplete() ? transition.residualUntil : unreported);
  }
  return until;
}

Ledger&
GrantService::LedgerOf(std::string const& aKey)
{
  auto const [entry, isNew] = this->ledgers.try_emplace(aKey);
  if (isNew)
    entry->second.takenOverUntil = this->TakenOverUntil(aKey);
  return entry->second;
}

EndpointPhase&
GrantService::PhaseOf(std::string const& aEndpoint, PoolRow const& aPool)
{
  auto const [entry, isNew] = this->phases.try_emplace(aEndpoint);
  if (isNew)
    ResetToCold(entry->second, aPool, this->clock.Now());
  return entry->second;
}

GrantBatchResponse
GrantService::HandleBatch(GrantBatch const& aBatch)
{
  GrantBatchResponse response;
  auto const* const record = this->membership.ActiveRecord();
  bool const canGrant = record != nullptr && record->epoch == aBatch.epoch && this->lastActiveEpoch == aBatch.epoch;
  for (auto const& item : aBatch.items) {
    bool const owns = canGrant && OwnerOf(*record, item.key, this->DataCenterOf(item.key)) == this->membership.Self();
    if (owns)
      response.results.push_back(this->HandleItem(item, record->members.size()));
    else
      response.results.push_back({ item.key, std::nullopt, 0, false, 0 });
  }
  if (canGrant && aBatch.complete) {
    this->AcceptReport(aBatch);
    response.reportTaken = true;
  }
  return response;
}

GrantResult
GrantService::HandleItem(GrantItem const& aItem, std::size_t aHolders)
{
  auto const& table = this->configuration.Current();
  auto const name = NameFromKey(aItem.key);
  auto const now = this->clock.Now();
  GrantResult result;
  result.key = aItem.key;
  auto& ledger = this->LedgerOf(aItem.key);
  auto rule = TakeoverRule::EqualPortions;
  if (IsAccountKey(aItem.key)) {
    auto const account = table.accounts.find(name);
    ledger.limit = account == table.accounts.end() ? 0 : account->second.limit;
    result.limit = ledger.limit;
  } else if (auto const endpoint = table.endpoints.find(name); endpoint != table.endpoints.end()) {
    this->HandleEndpointItem(aItem, endpoint->second, ledger, result);
    rule = result.cold ? TakeoverRule::Withhold : TakeoverRule::EqualPortions;
  } else {
    ledger.limit = 0;
  }
  result.grant = ProcessGrantRequest(ledger, aItem.request, this->settings.grants, rule, aHolders, now);
  return result;
}

void
GrantService::HandleEndpointItem(GrantItem const& aItem,
                                 EndpointRow const& aEndpoint,
                                 Ledger& aLedger,
                                 GrantResult& aResult)
{
  auto const& table = this->configuration.Current();
  auto const& pool = table.pools.at(aEndpoint.pool);
  auto const now = this->clock.Now();
  auto& phase = this->PhaseOf(aEndpoint.name, pool);
  auto const before = phase.phase;
  if (now < aLedger.takenOverUntil)
    OnHint(phase, aItem.hint, pool, now);
  OnWorkObserved(phase, aItem.observed, pool, this->phaseSettings, now);
  this->HandlePhaseChange(aEndpoint.name, before, phase, "calls that the fronts observed");
  bool const outOfRotation = IsOutOfRotation(table, aEndpoint) || this->membership.IsLeavingAddress(aEndpoint.address);
  aLedger.limit = outOfRotation ? 0 : LimitOf(phase, pool);
  aResult.limit = aLedger.limit;
  aResult.cold = phase.phase == Phase::Cold;
  aResult.incarnation = phase.incarnation;
}

void
GrantService::HandlePhaseChange(std::string const& aEndpoint,
                                Phase aBefore,
                                EndpointPhase const& aAfter,
                                char const* aReason)
{
  if (aBefore == aAfter.phase)
    return;
  char const* const name = aAfter.phase == Phase::Cold ? "cold" : aAfter.phase == Phase::Warm ? "warm" : "ramping";
  PART_LOG("grants") << "endpoint " << aEndpoint << " is " << name << " with limit " << aAfter.limit << ": " << aReason
                     << ".";
  if (aAfter.phase == Phase::Cold)
    this->RecallGrants(EndpointKey(aEndpoint));
}

/// Recalls the free slots of an endpoint that has become cold: the grants made while it was warm exceed its capacity.
void
GrantService::RecallGrants(std::string const& aKey)
{
  auto const* const record = this->membership.ActiveRecord();
  auto const ledger = this->ledgers.find(aKey);
  if (record == nullptr || ledger == this->ledgers.end())
    return;
  for (auto const& member : record->members) {
    auto const holder = HolderName(member);
    if (!ledger->second.entries.contains(holder))
      continue;
    if (member == this->membership.Self())
      this->clock.Schedule(Duration::zero(), [this, aKey] { this->HandleRecall(aKey); });
    else
      this->peers.recallGrant(member, aKey);
  }
}

void
GrantService::HandleRecall(std::string const& aKey)
{
  auto const found = this->holdings.find(aKey);
  if (found == this->holdings.end())
    return;
  SuspendHolding(found->second);
  this->endpointViews[NameFromKey(aKey)].cold = true;
  this->ScheduleFlush();
}

void
GrantService::PollReports()
{
  auto const* const record = this->membership.ActiveRecord();
  auto const& table = this->configuration.Current();
  if (record != nullptr) {
    for (auto const& [name, endpoint] : table.endpoints) {
      if (OwnerOf(*record, EndpointKey(name), endpoint.dataCenter) != this->membership.Self())
        continue;
      this->endpoints.report(endpoint.address, [this, name = name](std::optional<EndpointReport> aReport) {
        auto const& rows = this->configuration.Current().endpoints;
        auto const row = rows.find(name);
        if (!aReport || row == rows.end())
          return;
        auto const& pool = this->configuration.Current().pools.at(row->second.pool);
        auto& phase = this->PhaseOf(name, pool);
        auto const before = phase.phase;
        OnReport(phase, *aReport, pool, this->clock.Now());
        this->HandlePhaseChange(name, before, phase, "its report has another incarnation");
      });
    }
  }
  this->clock.Schedule(kReportInterval, [this] { this->PollReports(); });
}

}
