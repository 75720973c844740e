#include "GrantService.h"
#include "GrantKeys.h"
#include <algorithm>
#include <utility>

namespace Hornbeam {

static constexpr Duration kSweepInterval = 50ms;
/// An owner that has not responded to a request for this long counts as unresponsive.
static constexpr Duration kOwnerResponseTimeout = 50ms;
/// How long a front waits before it sends another request for a key whose owner had no slots to grant.
static constexpr Duration kStarvedRequestInterval = 100ms;
GrantService::GrantService(Kernel& aKernel)
  : clock(aKernel.Find<Clock>(ServiceName::kClock))
  , membership(aKernel.Find<MembershipService>(ServiceName::kMembership))
  , configuration(aKernel.Find<ConfigurationService>(ServiceName::kConfiguration))
  , peers(aKernel.Find<PeerPort>(ServiceName::kPeerPort))
  , endpoints(aKernel.Find<EndpointPort>(ServiceName::kEndpointPort))
  , settings(aKernel.Find<FrontSettings const>(ServiceName::kSettings))
{
}

void
GrantService::Start()
{
  this->membership.OnEpochActivated([this](EpochRecord const& aRecord) { this->HandleEpoch(aRecord); });
  this->Sweep();
  this->PollReports();
}

void
GrantService::OnSlotsChanged(std::function<void()> aCallback)
{
  this->slotCallbacks.push_back(std::move(aCallback));
}

int
GrantService::FreeEndpointSlots(std::string const& aEndpoint) const
{
  auto const* const holding = this->EndpointHolding(aEndpoint);
  return holding == nullptr ? 0 : AvailableSlots(*holding, this->clock.Now());
}

Holding const*
GrantService::EndpointHolding(std::string const& aEndpoint) const
{
  auto const found = this->holdings.find(EndpointKey(aEndpoint));
  return found == this->holdings.end() ? nullptr : &found->second;
}

EndpointView&
GrantService::ViewOf(EndpointRow const& aEndpoint)
{
  auto const [entry, isNew] = this->endpointViews.try_emplace(aEndpoint.name);
  if (isNew) {
    auto const& pools = this->configuration.Current().pools;
    auto const pool = pools.find(aEndpoint.pool);
    if (pool != pools.end())
      entry->second.latency.mean = pool->second.expectedServiceTime;
  }
  return entry->second;
}

int
GrantService::LastKnownLimit(std::string const& aEndpoint) const
{
  auto const found = this->endpointViews.find(aEndpoint);
  return found == this->endpointViews.end() ? 0 : found->second.limit;
}

bool
GrantService::AcquireEndpointSlot(std::string const& aEndpoint)
{
  auto const found = this->holdings.find(EndpointKey(aEndpoint));
  if (found == this->holdings.end() || !AcquireSlot(found->second, this->clock.Now()))
    return false;
  if (AvailableSlots(found->second, this->clock.Now()) == 0)
    this->ScheduleFlush();
  return true;
}

bool
GrantService::IsEndpointGrantValid(std::string const& aEndpoint) const
{
  auto const* const holding = this->EndpointHolding(aEndpoint);
  return holding != nullptr && holding->used <= holding->total && this->clock.Now() < holding->expiresAt;
}

void
GrantService::ReleaseEndpointSlot(EndpointRow const& aEndpoint, CallOutcome aOutcome, Duration aLatency)
{
  auto const found = this->holdings.find(EndpointKey(aEndpoint.name));
  VERIFY(found != this->holdings.end());
  auto& holding = found->second;
  ReleaseSlot(holding);
  auto& known = this->ViewOf(aEndpoint);
  if (aOutcome == CallOutcome::Succeeded) {
    ObserveService(known.latency, aLatency);
    OnCallSucceeded(known.outlier);
    ++known.unreported.succeeded;
    known.unreported.totalLatency += aLatency;
  }
  if (aOutcome == CallOutcome::Failed) {
    ++known.unreported.failed;
    SuspendHolding(holding);
  }
  this->ScheduleFlush();
}

void
GrantService::SetEndpointWaiting(std::string const& aEndpoint, int aWaiting)
{
  auto const key = EndpointKey(aEndpoint);
  if (aWaiting == 0 && !this->holdings.contains(key))
    return;
  this->holdings[key].waiting = aWaiting;
  if (aWaiting > 0)
    this->ScheduleFlush();
}

bool
GrantService::AcquireAccountSlot(std::string const& aAccount)
{
  auto const key = AccountKey(aAccount);
  auto& holding = this->holdings[key];
  if (AcquireSlot(holding, this->clock.Now()))
    return true;
  if (!this->IsOwnerUnresponsive(key, holding))
    return false;
  // While the owner does not respond, each front may use an equal portion of the limit: enforcing the limit less
  // exactly does less harm than refusing the account at every front.
  auto const account = this->configuration.Current().accounts.find(aAccount);
  auto const* const record = this->membership.ActiveRecord();
  if (account == this->configuration.Current().accounts.end() || record == nullptr)
    return false;
  int const members = static_cast<int>(record->members.size());
  if (holding.used >= std::max(1, account->second.limit / members))
    return false;
  ++holding.used;
  return true;
}

bool
GrantService::IsOwnerUnresponsive(std::string const& aKey, Holding const& aHolding) const
{
  bool const timedOut = aHolding.requestSentAt && this->clock.Now() - *aHolding.requestSentAt >= kOwnerResponseTimeout;
  return timedOut || this->keysWithUnresponsiveOwner.contains(aKey);
}

void
GrantService::ReleaseAccountSlot(std::string const& aAccount)
{
  ReleaseSlot(this->holdings[AccountKey(aAccount)]);
}

void
GrantService::SetAccountWaiting(std::string const& aAccount, int aWaiting)
{
  this->holdings[AccountKey(aAccount)].waiting = aWaiting;
  if (aWaiting > 0)
    this->ScheduleFlush();
}

void
GrantService::ScheduleFlush()
{
  if (this->flushScheduled)
    return;
  this->flushScheduled = true;
  this->clock.Schedule(Duration::zero(), [this] {
    this->flushScheduled = false;
    this->Flush();
  });
}

HoldingPolicy
GrantService::PolicyOf(std::string const& aKey) const
{
  HoldingPolicy policy;
  if (IsAccountKey(aKey))
    return policy;
  auto const known = this->endpointViews.find(NameFromKey(aKey));
  if (known == this->endpointViews.end() || known->second.cold)
    policy.reservePercent = 0;
  return policy;
}

std::string
GrantService::DataCenterOf(std::string const& aKey) const
{
  if (IsAccountKey(aKey))
    return {};
  auto const& rows = this->configuration.Current().endpoints;
  auto const row = rows.find(NameFromKey(aKey));
  return row == rows.end() ? std::string() : row->second.dataCenter;
}

GrantItem
GrantService::MakeItem(std::string const& aKey, Holding& aHolding, std::string const& aHolder)
{
  GrantItem item{ aKey, BeginGrantRequest(aHolding, aHolder, this->PolicyOf(aKey), this->clock.Now()), {}, {} };
  if (IsAccountKey(aKey))
    return item;
  auto const known = this->endpointViews.find(NameFromKey(aKey));
  if (known == this->endpointViews.end())
    return item;
  item.observed = std::exchange(known->second.unreported, {});
  item.hint = { known->second.incarnation, known->second.cold ? 0 : known->second.limit };
  return item;
}

/// Makes the batch for one owner: everything held after a change of epoch, otherwise the keys with a request due.
GrantBatch
GrantService::MakeBatch(EpochRecord const& aRecord, Member const& aOwner)
{
  GrantBatch batch;
  batch.holder = HolderName(this->membership.Self());
  batch.epoch = aRecord.epoch;
  batch.complete = this->reportsToSend.contains(aOwner.name);
  batch.residual = batch.complete ? this->ResidualDuration() : Duration::zero();
  auto const now = this->clock.Now();
  for (auto& [key, holding] : this->holdings) {
    if (holding.requestSentAt)
      continue;
    bool const due = IsGrantRequestDue(holding, this->PolicyOf(key), this->settings.grants, now);
    bool const report = batch.complete && (holding.used > 0 || AvailableSlots(holding, now) > 0);
    if (!due && !report)
      continue;
    if (OwnerOf(aRecord, key, this->DataCenterOf(key)) == aOwner)
      batch.items.push_back(this->MakeItem(key, holding, batch.holder));
  }
  return batch;
}

void
GrantService::Flush()
{
  auto const* const active = this->membership.ActiveRecord();
  if (active == nullptr)
    return;
  // Sending may complete synchronously and change the record.
  auto const record = *active;
  for (auto const& owner : record.members) {
    auto batch = this->MakeBatch(record, owner);
    if (batch.complete)
      this->reportsToSend.erase(owner.name);
    if (batch.complete || !batch.items.empty())
      this->SendBatch(owner, std::move(batch));
  }
}

void
GrantService::SendBatch(Member const& aOwner, GrantBatch aBatch)
{
  auto const handleResponse = [this, aBatch, name = aOwner.name](std::optional<GrantBatchResponse> const& aResponse) {
    bool const current = this->lastActiveEpoch == aBatch.epoch;
    if (aBatch.complete && current && (!aResponse || !aResponse->reportTaken))
      this->reportsToSend.insert(name);
    if (aResponse)
      this->ApplyResults(aResponse->results);
    else
      this->HandleBatchFailure(aBatch);
  };
  if (aOwner == this->membership.Self())
    handleResponse(this->HandleBatch(aBatch));
  else
    this->peers.requestGrants(aOwner, aBatch, handleResponse);
}

void
GrantService::HandleBatchFailure(GrantBatch const& aBatch)
{
  for (auto const& item : aBatch.items) {
    auto const found = this->holdings.find(item.key);
    if (found == this->holdings.end() || found->second.sequence != item.request.sequence)
      continue;
    FailGrantRequest(found->second, this->PolicyOf(item.key), this->clock.Now());
    this->keysWithUnresponsiveOwner.insert(item.key);
    if (item.observed.failed > 0)
      this->endpointViews[NameFromKey(item.key)].unreported.failed += item.observed.failed;
  }
  for (auto const& callback : this->slotCallbacks)
    callback();
}

void
GrantService::ApplyResults(std::vector<GrantResult> const& aResults)
{
  for (auto const& result : aResults) {
    auto const found = this->holdings.find(result.key);
    if (found == this->holdings.end())
      continue;
    auto& holding = found->second;
    if (!result.grant) {
      FailGrantRequest(holding, this->PolicyOf(result.key), this->clock.Now());
      this->keysWithUnresponsiveOwner.insert(result.key);
      continue;
    }
    this->keysWithUnresponsiveOwner.erase(result.key);
    FinishGrantRequest(holding, *result.grant, this->settings.grants);
    bool const starved = holding.waiting > 0 && holding.total <= holding.used;
    auto const interval = starved ? kStarvedRequestInterval : this->PolicyOf(result.key).requestInterval;
    holding.nextRequestAt = this->clock.Now() + interval;
    if (IsAccountKey(result.key))
      continue;
    auto& known = this->endpointViews[NameFromKey(result.key)];
    known.cold = result.cold;
    known.limit = result.limit;
    known.incarnation = result.incarnation;
  }
  for (auto const& callback : this->slotCallbacks)
    callback();
}

void
GrantService::Sweep()
{
  auto const now = this->clock.Now();
  std::erase_if(this->holdings, [&](auto const& aEntry) {
    auto const& holding = aEntry.second;
    bool const unused = holding.used == 0 && holding.waiting == 0 && !holding.requestSentAt && !holding.urgent;
    return unused && now - holding.expiresAt > this->settings.grants.grantDuration;
  });
  for (auto& [key, ledger] : this->ledgers)
    PruneLedger(ledger, now);
  std::erase_if(this->ledgers, [&](auto const& aEntry) {
    return aEntry.second.entries.empty() && now >= aEntry.second.takenOverUntil;
  });
  this->Flush();
  this->clock.Schedule(kSweepInterval, [this] { this->Sweep(); });
}

}
