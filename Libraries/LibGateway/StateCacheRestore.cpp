#include "StateCache.h"
#include <algorithm>

// What a front does when the store returns from a copy, which lacks what was written since then.

namespace Hornbeam::Gateway {

/// Writers have written again about two seconds after the store's return.
static constexpr Duration kRewriteTime = 2300ms;
/// The store removes entries of endpoints after three check-in intervals of silence, so an entry that is still there is
/// that of a process that lives.
static constexpr Duration kSilenceTime = 4500ms;

std::uint64_t
StateCache::Era() const
{
  std::uint64_t era = 0;
  for (auto const& [kind, log] : this->logs)
    era = std::max(era, EraOf(log.revision));
  return era;
}

void
StateCache::OnStoreRestored()
{
  // The answer that told of the new era is delivered first; it may be a list itself.
  this->clock.Schedule(Duration::zero(), [this] {
    for (auto const& [kind, watch] : this->watches)
      watch->ListInEra(this->store.Era().latest);
  });
}

void
StateCache::NoteEraOfPeer(std::uint64_t aEra)
{
  if (aEra <= std::max(this->eraOfPeers, this->Era()))
    return;
  PART_LOG("store") << "event=era-of-peer era=" << aEra << " own_era=" << this->Era();
  this->eraOfPeers = aEra;
  for (auto const& [kind, watch] : this->watches)
    watch->ListInEra(aEra);
}

void
StateCache::BeginRestore(ObjectKind aKind, StorePosition aFormer, std::vector<LoggedObject> const& aChanges)
{
  auto const now = this->clock.Now();
  auto const removed = std::ranges::count_if(aChanges, [](auto const& aObject) { return !aObject.document; });
  PART_WARNING("store") << "event=state-restored kind=" << ToString(aKind) << ' '
                        << ToLogFields(this->logs.at(aKind).revision) << " former_revision=" << RevisionOf(aFormer)
                        << " former_era=" << EraOf(aFormer) << " missing=" << removed
                        << " different=" << std::int64_t(aChanges.size()) - removed;
  this->restore.settlesAt = now + kRewriteTime;
  this->restore.endpointsSettleAt = now + kSilenceTime;
  this->AwaitReregistration();
  // Each kind begins a restore, and further ones may follow; the last one settles them all.
  auto const isDue = [this](std::optional<MonotonicTime>& aTime) {
    bool const due = aTime && this->clock.Now() >= *aTime;
    if (due)
      aTime.reset();
    return due;
  };
  this->clock.Schedule(kRewriteTime, [this, isDue] {
    if (isDue(this->restore.settlesAt))
      this->SettleRestore();
  });
  this->clock.Schedule(kSilenceTime, [this, isDue] {
    if (isDue(this->restore.endpointsSettleAt))
      this->SettleEndpoints();
  });
}

bool
StateCache::KeepsKnownState(ObjectKind aKind, LoggedObject const& aObject)
{
  switch (aKind) {
    case ObjectKind::ServingTable:
      // Its version decides.
      return false;
    case ObjectKind::Endpoint:
      return this->KeepsKnownEndpoint(aObject);
    case ObjectKind::DataCenterOutOfRotation:
      return true;
    case ObjectKind::Front:
      return this->KeepsKnownFront(aObject);
    case ObjectKind::EndpointCrash:
      this->restore.reports.insert(aObject.name);
      return false;
    case ObjectKind::Rollout:
      // An order that the copy lacks stays until its operator had time to write it again.
      return !aObject.document;
    case ObjectKind::StreamOrigin:
      // Not watched.
      return false;
  }
  VerifyNotReached();
}

bool
StateCache::KeepsKnownEndpoint(LoggedObject const& aObject)
{
  // A missing entry is kept until its endpoint had time to register again.
  if (!aObject.document)
    return false;
  std::string error;
  auto const stored = Platform::ParseObjectDocument(*aObject.document, EraOf(aObject.revision));
  auto const entry = stored ? Platform::DecodeEndpoint(*stored, error) : std::nullopt;
  if (!entry || !IsOutdatedInCopy(this->endpoints, this->departedEndpoints, *entry))
    return false;
  PART_LOG("endpoints") << "event=withheld id=" << aObject.name << ' ' << ToLogFields(aObject.revision);
  this->restore.withheldEndpoints.insert(aObject.name);
  return true;
}

bool
StateCache::KeepsKnownFront(LoggedObject const& aObject)
{
  // This front acts on its own entry at once.
  if (aObject.name == this->settings.name)
    return false;
  if (!aObject.document)
    return true;
  std::string error;
  auto const stored = Platform::ParseObjectDocument(*aObject.document, EraOf(aObject.revision));
  auto const entry = stored ? Platform::DecodeFront(*stored, error) : std::nullopt;
  return entry && IsOutdatedInCopy(this->fronts, this->departedFronts, *entry);
}

void
StateCache::MoveRevisions(ObjectKind aKind)
{
  auto const move = [&](std::string const& aName, StorePosition& aRevision) {
    auto const object = this->ObjectInLog(aKind, aName);
    if (object && RevisionOf(object->revision) == RevisionOf(aRevision))
      aRevision = object->revision;
  };
  if (aKind == ObjectKind::Front)
    for (auto& [name, front] : this->fronts.byName)
      move(name, front.revision);
  if (aKind == ObjectKind::EndpointCrash)
    for (auto& [process, stored] : this->crashes)
      move(process, stored.revision);
  if (aKind == ObjectKind::Rollout)
    for (auto& [name, order] : this->rollouts)
      move(name, order.revision);
}

std::optional<StoredObject>
StateCache::ObjectInLog(ObjectKind aKind, std::string const& aName) const
{
  auto const& entries = this->logs.at(aKind).entries;
  auto const found = entries.find(aName);
  if (found == entries.end() || !found->second.object.document)
    return std::nullopt;
  auto object = Platform::ParseObjectDocument(*found->second.object.document, 0);
  if (object)
    object->revision = found->second.object.revision;
  return object;
}

StorePosition
StateCache::OwnRevision() const
{
  auto const known = this->fronts.byName.find(this->settings.name);
  if (known != this->fronts.byName.end())
    return known->second.revision;
  auto const object = this->ObjectInLog(ObjectKind::Front, this->settings.name);
  std::string error;
  // One that can be read is known, unless this front has removed it.
  return object && !Platform::DecodeFront(*object, error) ? object->revision : 0;
}

void
StateCache::DropRefusedOwnEntry(StoredObject const& aObject)
{
  auto const known = this->fronts.byName.find(this->settings.name);
  // This front may have replaced it already.
  if (aObject.name == this->settings.name && known != this->fronts.byName.end() &&
      known->second.revision < aObject.revision)
    this->fronts.byName.erase(known);
}

void
StateCache::SettleRestore()
{
  std::set<std::string> outOfRotation;
  for (auto const& [name, entry] : this->logs.at(ObjectKind::DataCenterOutOfRotation).entries)
    if (entry.object.document)
      outOfRotation.insert(name);
  this->UpdateDataCentersOutOfRotation(std::move(outOfRotation));
  this->SettleFronts();
  this->SettleRollouts();
  PART_LOG("store") << "event=restore-settled era=" << this->Era();
  this->NotifyListeners();
}

void
StateCache::SettleFronts()
{
  std::vector<std::string> missing;
  // This front knows of its own entry from writing it, before the store's changes tell.
  for (auto const& [name, front] : this->fronts.byName)
    if (name != this->settings.name && !this->ObjectInLog(ObjectKind::Front, name))
      missing.push_back(name);
  for (auto const& name : missing)
    this->OnRemoved(ObjectKind::Front, name);
  for (auto const& [name, entry] : this->logs.at(ObjectKind::Front).entries) {
    auto const object = this->ObjectInLog(ObjectKind::Front, name);
    auto const known = this->fronts.byName.find(name);
    bool const isKnown = object && known != this->fronts.byName.end() && known->second.revision == object->revision;
    if (!object || isKnown || name == this->settings.name)
      continue;
    this->UpdateFront(*object);
    // Its process had left, unless a probe shows that it has not.
    SuspectFront(this->fronts, name, this->clock.Now());
  }
}

void
StateCache::SettleRollouts()
{
  std::vector<std::string> missing;
  for (auto const& [name, order] : this->rollouts)
    if (!this->ObjectInLog(ObjectKind::Rollout, name))
      missing.push_back(name);
  for (auto const& name : missing)
    this->OnRemoved(ObjectKind::Rollout, name);
}

void
StateCache::ApplyRollout(StoredObject const& aObject)
{
  auto const known = this->rollouts.find(aObject.name);
  bool const isKnown = known != this->rollouts.end();
  if (isKnown && known->second.revision >= aObject.revision)
    return;
  std::string error;
  auto order = Platform::DecodeRollout(aObject, error);
  if (!order) {
    PART_WARNING("rollouts") << "event=refused name=" << aObject.name << " fault=\"" << error << "\"";
    this->rollouts.erase(aObject.name);
    this->NotifyListeners();
    return;
  }
  // A restored copy may have lost a final state, which is never changed for the same target.
  bool const sameOrder = isKnown && known->second.target == order->target && known->second.service == order->service;
  bool const wasFinal = sameOrder && known->second.recorded && known->second.recorded != RolloutState::Serving;
  if (!sameOrder || known->second.recorded != order->recorded)
    PART_LOG("rollouts") << "event=order name=" << aObject.name << " service=" << order->service
                         << " target=" << order->target << " duration_ms=" << Milliseconds(order->duration)
                         << " state=" << (order->recorded ? ToString(*order->recorded) : "none") << ' '
                         << ToLogFields(aObject.revision);
  order->recordedInStore = order->recorded;
  if (wasFinal)
    order->recorded = known->second.recorded;
  this->rollouts[aObject.name] = std::move(*order);
  this->NotifyListeners();
}

void
StateCache::SettleEndpoints()
{
  for (auto const& id : std::exchange(this->restore.withheldEndpoints, {})) {
    this->departedEndpoints.incarnations.erase(id);
    std::erase(this->departedEndpoints.order, id);
    auto const object = this->ObjectInLog(ObjectKind::Endpoint, id);
    std::string error;
    auto const entry = object ? Platform::DecodeEndpoint(*object, error) : std::nullopt;
    auto const known = this->endpoints.byId.find(id);
    bool const sameProcess =
      entry && known != this->endpoints.byId.end() && known->second.entry.incarnation == entry->incarnation;
    // A process that began to leave does not come back.
    if (entry && !(sameProcess && IsOutdated(this->endpoints, *entry)))
      this->UpdateEndpoint(*object);
  }
  this->NotifyListeners();
}

void
StateCache::ApplyNewerTable(std::vector<std::pair<ObjectKind, std::string>> const& aObjects)
{
  for (auto const& [kind, document] : aObjects) {
    auto const object =
      kind == ObjectKind::ServingTable ? Platform::ParseObjectDocument(document, 0) : std::optional<StoredObject>();
    if (object)
      this->UpdateTable(*object, ChangeSource::PeerCache);
  }
  this->NotifyListeners();
}

}
