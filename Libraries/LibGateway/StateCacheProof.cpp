#include "StateCache.h"
#include <algorithm>
#include <array>

// How a front notices that it misses changes of the store.

namespace Hornbeam::Gateway {

/// The kind that checks list: it has few objects.
static constexpr auto kCheckedKind = ObjectKind::DataCenterOutOfRotation;
/// The kinds without which the state is not proven the newest; their order is that of StoreProof.
static constexpr std::array kProvenKinds{ ObjectKind::ServingTable,
                                          ObjectKind::Endpoint,
                                          ObjectKind::DataCenterOutOfRotation,
                                          ObjectKind::Front };
/// Watches tell of a change by then: they are sent 400 ms after the change before it.
static constexpr Duration kWatchLag = 450ms;
/// A change that another front told must have come from this front's own watch by then.
static constexpr Duration kOwnWatchLag = 1s;

void
StateCache::InitializeProof()
{
  this->proof.known.assign(kProvenKinds.size(), 0);
}

void
StateCache::NoteKnown(ObjectKind aKind)
{
  auto const position = std::ranges::find(kProvenKinds, aKind);
  if (position != kProvenKinds.end())
    OnKnown(this->proof, std::size_t(position - kProvenKinds.begin()), this->watches.at(aKind)->Known());
}

void
StateCache::CheckStore(RelayRoles const& aRoles, bool aHasFollowers)
{
  // While the watch of the checked kind retries, its own calls tell when the store is back.
  if (!this->watches.at(kCheckedKind)->IsWaiting())
    return;
  auto const interval = CheckInterval(aRoles, this->use, aHasFollowers, this->Age());
  if (!BeginCheckIfDue(this->proof, interval, this->clock.Now()))
    return;
  this->store.List(kCheckedKind, [this](Platform::ObjectList aResponse) { this->OnCheckDone(std::move(aResponse)); });
}

void
StateCache::OnCheckDone(Platform::ObjectList aResponse)
{
  if (aResponse.outcome != Platform::StoreOutcome::Done) {
    OnCheckFailed(this->proof);
    this->watches.at(kCheckedKind)->NoteFailure("check", aResponse.outcome);
    return;
  }
  this->ApplyCheckedList(aResponse);
  this->watches.at(kCheckedKind)->NoteList(aResponse.revision);
  this->OnRevisionChecked(aResponse.revision, kWatchLag);
}

void
StateCache::OnListed(ObjectKind aKind, std::vector<StoredObject> const& aObjects, StorePosition aRevision)
{
  for (auto const& object : aObjects)
    OnSeen(this->proof, object.revision);
  // The list that follows a failure is a check, and after an outage all watches may be lost.
  if (aKind == kCheckedKind)
    this->OnRevisionChecked(aRevision, Duration::zero());
}

void
StateCache::OnRevisionChecked(StorePosition aRevision, Duration aLag)
{
  OnCheckAnswered(this->proof, aRevision, aLag, this->clock.Now());
  if (this->proof.answer)
    this->clock.Schedule(aLag, [this] { this->VerifyKinds(); });
}

void
StateCache::ApplyCheckedList(Platform::ObjectList const& aResponse)
{
  auto const& log = this->logs.at(kCheckedKind);
  auto const exists = [](auto const& aEntry) { return aEntry.second.object.document.has_value(); };
  bool same = std::ranges::count_if(log.entries, exists) == std::ptrdiff_t(aResponse.objects.size());
  ObjectUpdate update{ true, 0, aResponse.revision, {} };
  for (auto const& object : aResponse.objects) {
    auto const known = log.entries.find(object.name);
    same = same && known != log.entries.end() && exists(*known) && known->second.object.revision == object.revision;
    update.objects.push_back({ object.name, object.revision, Platform::ToText(object.document) });
  }
  // An update without changes would only raise the log's revision, and be relayed to all followers.
  if (!same)
    this->Apply(kCheckedKind, update, ChangeSource::List);
}

void
StateCache::VerifyKinds()
{
  if (this->use == StoreUse::None)
    return;
  auto const missing = KindsToVerify(this->proof, this->clock.Now());
  if (missing.empty())
    return;
  // A change that was seen at no object may be one of an optional kind.
  for (auto const& [kind, watch] : this->watches)
    if (IsOptional(kind))
      watch->Verify(this->proof.answer->revision);
  for (auto const index : missing)
    this->watches.at(kProvenKinds.at(index))->Verify(this->proof.answer->revision);
}

void
StateCache::ApplyRelayed(ObjectKind aKind, ObjectUpdate const& aUpdate)
{
  this->Apply(aKind, aUpdate, ChangeSource::Relay);
  if (this->use == StoreUse::None || aUpdate.objects.empty())
    return;
  this->clock.Schedule(kOwnWatchLag, [this, aKind, revision = aUpdate.to] {
    if (this->use != StoreUse::None && this->watches.contains(aKind))
      this->watches.at(aKind)->Verify(revision);
  });
}

}
