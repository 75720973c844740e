#include "StateCache.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

/// Endpoints whose entries expired while the store was unavailable register again about two seconds after it recovers.
static constexpr Duration kReregistrationTime = 2300ms;
/// While relays respond, a front that cannot read the store repeats its call after one to two times this delay. A call
/// that times out just before the store's return, the delay and the next call must take less than 3 s.
static constexpr Duration kFallbackDelay = 600ms;
/// The age reported while no state was ever confirmed.
static constexpr Duration kUnknownAge = 1h;

/// A store that refuses only the optional kind is asked again after this delay.
static constexpr Duration kOptionalKindDelay = 5s;
static constexpr auto kFallbackKind = ObjectKind::DataCenterOutOfRotation;

static std::vector<ObjectKind>
KindsOf(GatewaySettings const& aSettings)
{
  std::vector<ObjectKind> kinds{ ObjectKind::ServingTable,
                                 ObjectKind::Endpoint,
                                 ObjectKind::DataCenterOutOfRotation,
                                 ObjectKind::Front,
                                 ObjectKind::EndpointCrash };
  if (aSettings.rollouts)
    kinds.push_back(ObjectKind::Rollout);
  return kinds;
}

bool
IsOptional(ObjectKind aKind)
{
  return aKind == ObjectKind::EndpointCrash || aKind == ObjectKind::Rollout;
}

static std::string_view
ToString(ChangeSource aSource)
{
  switch (aSource) {
    case ChangeSource::Watch:
      return "watch";
    case ChangeSource::List:
      return "list";
    case ChangeSource::Relay:
      return "relay";
    case ChangeSource::PeerCache:
      return "peer-cache";
  }
  VerifyNotReached();
}

StateCache::StateCache(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , kinds(KindsOf(this->settings))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , store(aKernel.Find<StoreClient>(GatewayName::kStore))
  , connections(aKernel.Find<ConnectionPool>(GatewayName::kConnections))
  , random(std::random_device{}())
{
  this->InitializeProof();
  this->store.AddRestoreListener([this] { this->OnStoreRestored(); });
}

void
StateCache::Start(StoreUse aUse)
{
  this->use = aUse;
  for (auto const kind : this->kinds) {
    this->logs[kind];
    this->StartWatch(kind);
  }
}

void
StateCache::StartWatch(ObjectKind aKind)
{
  ObjectWatchEvents events;
  events.onList = [this, aKind](std::vector<StoredObject> const& aObjects, StorePosition aRevision) {
    ObjectUpdate update{ true, 0, aRevision, {} };
    for (auto const& object : aObjects)
      update.objects.push_back({ object.name, object.revision, Platform::ToText(object.document) });
    this->Apply(aKind, update, ChangeSource::List);
    this->OnListed(aKind, aObjects, aRevision);
  };
  events.onEvents = [this, aKind](auto const& aEvents, StorePosition aFrom, StorePosition aTo) {
    this->OnEvents(aKind, aEvents, aFrom, aTo);
  };
  events.onReachabilityChange = [this, aKind](StoreReachability aReachability) {
    if (!IsOptional(aKind))
      this->OnReachabilityChange(aKind, aReachability);
  };
  events.onFailure = [this, aKind] { return this->DelayAfterFailure(aKind); };
  events.onResponse = [this, aKind] {
    if (std::exchange(this->triesAlone, false))
      this->EnableWatches();
    for (auto const kind : OnStoreResponse(this->backOff, aKind))
      this->watches.at(kind)->RetryNow();
  };
  events.onKnown = [this, aKind] { this->NoteKnown(aKind); };
  auto& watch = this->watches[aKind];
  watch = std::make_unique<ObjectWatch>(this->store, this->clock, aKind, std::move(events));
  watch->SetWatching(this->use != StoreUse::None);
  watch->Start();
}

Duration
StateCache::DelayAfterFailure(ObjectKind aKind)
{
  std::uniform_real_distribution<double> distribution;
  double const jitter = distribution(this->random);
  if (IsOptional(aKind)) {
    // It does not try on behalf of the others, but is retried with them.
    this->backOff.failing.insert(aKind);
    return kOptionalKindDelay + FromSeconds(Seconds(kOptionalKindDelay) * jitter);
  }
  this->lastFailure = this->clock.Now();
  auto const delay = OnStoreFailure(this->backOff, aKind, jitter);
  if (this->use != StoreUse::Fallback)
    return delay;
  return std::max(delay, kFallbackDelay + FromSeconds(Seconds(kFallbackDelay) * jitter));
}

void
StateCache::SetStoreUse(StoreUse aUse)
{
  if (aUse == this->use)
    return;
  PART_LOG("store") << "event=use watching=" << (aUse != StoreUse::None) << " fallback=" << (aUse == StoreUse::Fallback)
                    << " age_ms=" << Milliseconds(this->Age());
  bool const watched = this->use == StoreUse::Watch;
  this->use = aUse;
  // Without watches, nothing is known of whether the store can be reached now.
  this->triesAlone = aUse == StoreUse::Fallback &&
                     !(watched && this->watches.at(kFallbackKind)->Reachability() == StoreReachability::Reachable);
  this->EnableWatches();
}

void
StateCache::EnableWatches()
{
  if (this->use == StoreUse::None)
    this->backOff = {};
  for (auto const& [kind, watch] : this->watches)
    watch->SetWatching(this->use != StoreUse::None && (!this->triesAlone || kind == kFallbackKind));
}

void
StateCache::OnReachabilityChange(ObjectKind aKind, StoreReachability aReachability)
{
  for (auto const& [kind, watch] : this->watches) {
    if (aReachability == StoreReachability::Unreachable)
      watch->NoteDisconnect();
    else if (kind != aKind)
      watch->ListIfWaitingSince(this->lastFailure);
  }
  if (aKind != ObjectKind::Endpoint)
    return;
  // If relays had recent state meanwhile, only this front's connection was disturbed, and nothing expired.
  bool const outage = this->clock.Now() - this->confirmed > kMaxRelayedAge;
  if (aReachability == StoreReachability::Reachable && outage && this->IsLoaded())
    this->AwaitReregistration();
}

void
StateCache::AwaitReregistration()
{
  this->reregistrationEnd = this->clock.Now() + kReregistrationTime;
  this->clock.Schedule(kReregistrationTime + 10ms, [this] { this->DropExpiredEndpoints(); });
}

bool
StateCache::IsLoaded() const
{
  return this->fetchedFromSeed || std::ranges::all_of(this->logs, [](auto const& aEntry) {
           return aEntry.second.revision != 0 || IsOptional(aEntry.first);
         });
}

bool
StateCache::KnowsRollouts() const
{
  auto const log = this->logs.find(ObjectKind::Rollout);
  return log != this->logs.end() && log->second.revision != 0;
}

bool
StateCache::IsInitialized() const
{
  return this->table != nullptr && this->IsLoaded();
}

bool
StateCache::IsCurrent() const
{
  auto const reachable = [](auto const& aEntry) {
    return aEntry.second->Reachability() == StoreReachability::Reachable || IsOptional(aEntry.first);
  };
  if (this->use != StoreUse::None && std::ranges::all_of(this->watches, reachable))
    return true;
  return this->clock.Now() - std::max(this->loadedAt, this->confirmed) <= kMaxRelayedAge + kMaxFallbackSpread;
}

void
StateCache::BeginRelayedChanges(MonotonicTime aTime)
{
  bool const isOld = this->confirmed != MonotonicTime() && this->TimeOutOfReach() > kMaxRelayedAge;
  if (isOld && this->clock.Now() - aTime <= kMaxRelayedAge)
    this->AwaitReregistration();
}

void
StateCache::Confirm(MonotonicTime aTime)
{
  this->confirmed = std::max(this->confirmed, aTime);
}

Duration
StateCache::Age() const
{
  auto const provenAt = std::max({ this->loadedAt, this->confirmed, this->proof.provenAt });
  return provenAt == MonotonicTime() ? kUnknownAge : std::min<Duration>(this->clock.Now() - provenAt, kUnknownAge);
}

Duration
StateCache::TimeOutOfReach() const
{
  auto const now = this->clock.Now();
  auto const confirmedAt = std::max(this->loadedAt, this->confirmed);
  auto const sinceConfirmed = confirmedAt == MonotonicTime() ? kUnknownAge : Duration(now - confirmedAt);
  if (this->use == StoreUse::None)
    return sinceConfirmed;
  auto oldest = now;
  for (auto const& [kind, watch] : this->watches)
    if (watch->Reachability() != StoreReachability::Reachable && !IsOptional(kind))
      oldest = std::min(oldest, watch->LastResponseTime());
  return std::min<Duration>({ now - oldest, sinceConfirmed, kUnknownAge });
}

std::vector<std::pair<ObjectKind, Duration>>
StateCache::TimesSinceAnswer() const
{
  std::vector<std::pair<ObjectKind, Duration>> times;
  if (this->use == StoreUse::None)
    return times;
  for (auto const& [kind, watch] : this->watches)
    times.emplace_back(kind, std::min<Duration>(this->clock.Now() - watch->LastResponseTime(), kUnknownAge));
  return times;
}

std::vector<StorePosition>
StateCache::Revisions() const
{
  std::vector<StorePosition> revisions;
  revisions.reserve(this->kinds.size());
  for (auto const kind : this->kinds)
    revisions.push_back(this->logs.at(kind).revision);
  return revisions;
}

std::vector<std::pair<ObjectKind, ObjectUpdate>>
StateCache::UpdatesSince(std::vector<StorePosition> const& aRevisions) const
{
  std::vector<std::pair<ObjectKind, ObjectUpdate>> updates;
  for (std::size_t index = 0; index < std::min(this->kinds.size(), aRevisions.size()); ++index) {
    auto update = UpdateSince(this->logs.at(this->kinds[index]), aRevisions[index]);
    if (update.to > aRevisions[index])
      updates.emplace_back(this->kinds[index], std::move(update));
  }
  return updates;
}

void
StateCache::ForEachDocument(std::function<void(ObjectKind, LoggedObject const&)> const& aVisit) const
{
  for (auto const& [kind, log] : this->logs)
    for (auto const& [name, entry] : log.entries)
      if (entry.object.document)
        aVisit(kind, entry.object);
}

SelectionView
StateCache::MakeSelectionView() const
{
  auto const connected = [this](std::string const& aAddress) { return this->connections.HasIdle(aAddress); };
  return { this->endpoints, this->fronts, *this->table, this->settings.cold, connected };
}

void
StateCache::NotifyListeners()
{
  // All changes of one store response are reported in a single notification.
  if (this->notificationScheduled)
    return;
  this->notificationScheduled = true;
  this->clock.Schedule(Duration::zero(), [this] {
    this->notificationScheduled = false;
    for (auto const& listener : this->listeners)
      listener();
  });
}

void
StateCache::OnEvents(ObjectKind aKind,
                     std::vector<Platform::ObjectEvent> const& aEvents,
                     StorePosition aFrom,
                     StorePosition aTo)
{
  for (auto const& event : aEvents)
    OnSeen(this->proof, event.object.revision);
  // The last event of an object tells its state.
  std::map<std::string, LoggedObject> latest;
  for (auto const& [object, removed] : aEvents)
    latest[object.name] = { object.name,
                            object.revision,
                            removed ? std::nullopt : std::optional(Platform::ToText(object.document)) };
  ObjectUpdate update{ false, aFrom, aTo, {} };
  for (auto& [name, object] : latest)
    update.objects.push_back(std::move(object));
  this->Apply(aKind, update, ChangeSource::Watch);
}

void
StateCache::Apply(ObjectKind aKind, ObjectUpdate const& aUpdate, ChangeSource aSource)
{
  // Another front may relay a kind that this one does not use.
  auto const position = this->logs.find(aKind);
  if (position == this->logs.end())
    return;
  auto& log = position->second;
  auto const before = log.revision;
  bool const loadedBefore = this->IsLoaded();
  auto const changes = ApplyUpdate(log, aUpdate);
  if (log.revision == before)
    return;
  bool const restored = before != 0 && EraOf(log.revision) != EraOf(before);
  // A front that follows relays may learn of the era from them first.
  this->store.NoteEra(EraOf(log.revision));
  if (restored)
    this->BeginRestore(aKind, before, changes);
  for (auto const& object : changes) {
    if (restored && this->KeepsKnownState(aKind, object))
      continue;
    if (!object.document)
      this->OnRemoved(aKind, object.name);
    else if (auto const stored = Platform::ParseObjectDocument(*object.document, EraOf(object.revision)))
      this->OnChanged(aKind, *stored, aSource);
  }
  if (restored)
    this->MoveRevisions(aKind);
  if (!loadedBefore && this->IsLoaded())
    this->loadedAt = this->clock.Now();
  this->NotifyListeners();
}

void
StateCache::OnChanged(ObjectKind aKind, StoredObject const& aObject, ChangeSource aSource)
{
  switch (aKind) {
    case ObjectKind::ServingTable:
      this->UpdateTable(aObject, aSource);
      break;
    case ObjectKind::Endpoint:
      this->UpdateEndpoint(aObject);
      break;
    case ObjectKind::DataCenterOutOfRotation: {
      auto outOfRotation = this->endpoints.dataCentersOutOfRotation;
      outOfRotation.insert(aObject.name);
      this->UpdateDataCentersOutOfRotation(std::move(outOfRotation));
      break;
    }
    case ObjectKind::Front:
      this->UpdateFront(aObject);
      break;
    case ObjectKind::EndpointCrash:
      this->ApplyCrash(aObject);
      break;
    case ObjectKind::Rollout:
      this->ApplyRollout(aObject);
      break;
    case ObjectKind::StreamOrigin:
      // Not watched.
      break;
  }
}

void
StateCache::OnRemoved(ObjectKind aKind, std::string const& aName)
{
  switch (aKind) {
    case ObjectKind::ServingTable:
      PART_WARNING("table") << "event=removed name=" << aName << " kept=yes";
      break;
    case ObjectKind::Endpoint:
      if (this->clock.Now() < this->reregistrationEnd) {
        auto const found = this->endpoints.byId.find(aName);
        if (found != this->endpoints.byId.end())
          found->second.removeAt = this->reregistrationEnd;
      } else {
        this->DropEndpoint(aName, "removed");
      }
      break;
    case ObjectKind::DataCenterOutOfRotation: {
      auto outOfRotation = this->endpoints.dataCentersOutOfRotation;
      outOfRotation.erase(aName);
      this->UpdateDataCentersOutOfRotation(std::move(outOfRotation));
      break;
    }
    case ObjectKind::Front:
      PART_LOG("fronts") << "event=removed name=" << aName;
      if (auto const known = this->fronts.byName.find(aName); known != this->fronts.byName.end())
        RecordDeparture(this->departedFronts, aName, known->second.entry.incarnation);
      RemoveFront(this->fronts, aName, this->clock.Now());
      break;
    case ObjectKind::EndpointCrash:
      this->crashes.erase(aName);
      break;
    case ObjectKind::Rollout:
      PART_LOG("rollouts") << "event=withdrawn name=" << aName;
      this->rollouts.erase(aName);
      break;
    case ObjectKind::StreamOrigin:
      // Not watched.
      break;
  }
}

void
StateCache::UpdateTable(StoredObject const& aObject, ChangeSource aSource)
{
  if (aObject.name != "main")
    return;
  std::string error;
  auto decoded = Platform::DecodeServingTable(aObject, error);
  if (!decoded) {
    PART_WARNING("table") << "event=refused " << ToLogFields(aObject.revision) << " fault=\"" << error << "\"";
    return;
  }
  if (this->table && decoded->version <= this->table->version)
    return;
  auto document = Platform::ToText(aObject.document);
  PART_LOG("table") << "event=in-force version=" << decoded->version << ' ' << ToLogFields(aObject.revision)
                    << " previous=" << (this->table ? this->table->version : 0)
                    << " services=" << decoded->services.size() << " source=" << ToString(aSource)
                    << " age_ms=" << Milliseconds(this->Age()) << " bytes=" << document.size();
  this->table = std::make_shared<ServingTable const>(std::move(*decoded));
  this->tableDocument = std::move(document);
}

void
StateCache::UpdateEndpoint(StoredObject const& aObject)
{
  std::string error;
  auto const entry = Platform::DecodeEndpoint(aObject, error);
  if (!entry) {
    PART_WARNING("endpoints") << "event=refused id=" << aObject.name << " fault=\"" << error << "\"";
    this->DropEndpoint(aObject.name, "no-entry");
    return;
  }
  if (this->restore.endpointsSettleAt && IsOutdated(this->endpoints, *entry)) {
    this->restore.withheldEndpoints.insert(entry->id);
    return;
  }
  auto const coldTime = this->table ? RuleOf(*this->table, entry->service).coldTime : Duration::zero();
  auto const change = ApplyEntry(this->endpoints, *entry, coldTime, this->clock.Now());
  if (change == EntryChange::Unchanged)
    return;
  if (change == EntryChange::Restarted)
    this->connections.CloseIdleConnections(entry->address);
  PART_LOG("endpoints") << "event=entry id=" << entry->id << " service=" << entry->service
                        << " address=" << entry->address << " data_center=" << entry->dataCenter
                        << " state=" << (entry->state == EndpointState::Ready ? "ready" : "leaving")
                        << " cold_ms=" << Milliseconds(entry->coldFor) << ' ' << ToLogFields(aObject.revision)
                        << (change == EntryChange::Restarted ? " restarted=yes" : "");
}

void
StateCache::DropEndpoint(std::string const& aId, std::string_view aReason)
{
  auto const found = this->endpoints.byId.find(aId);
  if (found == this->endpoints.byId.end())
    return;
  PART_LOG("endpoints") << "event=dropped id=" << aId << " reason=" << aReason;
  RecordDeparture(this->departedEndpoints, aId, found->second.entry.incarnation);
  this->connections.CloseIdleConnections(found->second.entry.address);
  RemoveEndpoint(this->endpoints, aId);
}

void
StateCache::DropExpiredEndpoints()
{
  auto const now = this->clock.Now();
  std::vector<std::string> expired;
  for (auto const& [id, endpoint] : this->endpoints.byId)
    if (endpoint.removeAt && *endpoint.removeAt <= now)
      expired.push_back(id);
  for (auto const& id : expired)
    this->DropEndpoint(id, "still-missing");
  if (!expired.empty())
    this->NotifyListeners();
}

void
StateCache::UpdateDataCentersOutOfRotation(std::set<std::string> aOutOfRotation)
{
  if (aOutOfRotation == this->endpoints.dataCentersOutOfRotation)
    return;
  std::string names;
  for (auto const& name : aOutOfRotation)
    names += (names.empty() ? "" : ",") + name;
  PART_LOG("endpoints") << "event=data-centers-out-of-rotation names=" << (names.empty() ? "none" : names);
  static ServingTable const none;
  SetDataCentersOutOfRotation(
    this->endpoints, std::move(aOutOfRotation), this->table ? *this->table : none, this->clock.Now());
}

void
StateCache::UpdateFront(StoredObject const& aObject)
{
  std::string error;
  auto const entry = Platform::DecodeFront(aObject, error);
  if (!entry) {
    PART_WARNING("fronts") << "event=refused name=" << aObject.name << " fault=\"" << error << "\"";
    this->DropRefusedOwnEntry(aObject);
    return;
  }
  auto const known = this->fronts.byName.find(entry->name);
  if (known == this->fronts.byName.end() || known->second.entry != *entry)
    PART_LOG("fronts") << "event=entry name=" << entry->name << " incarnation=" << entry->incarnation << ' '
                       << ToLogFields(aObject.revision);
  ApplyFront(this->fronts, *entry, aObject.revision);
}

void
StateCache::ApplyCrash(StoredObject const& aObject)
{
  auto const known = this->crashes.find(aObject.name);
  if (known != this->crashes.end() && known->second.revision >= aObject.revision)
    return;
  std::string error;
  auto report = Platform::DecodeCrashReport(aObject, error);
  if (!report) {
    PART_WARNING("crashes") << "event=refused process=" << aObject.name << " fault=\"" << error << "\"";
    // What is known of the crash still counts, and the next write replaces the object.
    if (known != this->crashes.end())
      known->second.revision = aObject.revision;
    return;
  }
  this->crashes[aObject.name] = { std::move(*report), aObject.revision };
  this->NotifyListeners();
}

std::vector<std::pair<ObjectKind, std::string>>
StateCache::CachedObjects() const
{
  std::vector<std::pair<ObjectKind, std::string>> result;
  for (auto const& [kind, log] : this->logs)
    for (auto const& [name, entry] : log.entries)
      if (entry.object.document && kind != ObjectKind::ServingTable)
        result.emplace_back(kind, *entry.object.document);
  // The table in force may be newer than what a restored store holds.
  if (!this->tableDocument.empty())
    result.emplace_back(ObjectKind::ServingTable, this->tableDocument);
  return result;
}

void
StateCache::ApplyFromSeed(std::vector<std::pair<ObjectKind, std::string>> const& aObjects, CacheCoverage aCoverage)
{
  std::set<ObjectKind> kinds;
  for (auto const& [kind, document] : aObjects) {
    auto const log = this->logs.find(kind);
    if (log == this->logs.end() || log->second.revision != 0)
      continue;
    auto const object = Platform::ParseObjectDocument(document, 0);
    if (!object)
      continue;
    // The log's revision stays zero, so that the first list or relayed update corrects these objects.
    log->second.entries[object->name] = { { object->name, object->revision, document }, 0 };
    this->OnChanged(kind, *object, ChangeSource::PeerCache);
    kinds.insert(kind);
  }
  bool const bringsMost = kinds.contains(ObjectKind::Endpoint) && kinds.contains(ObjectKind::Front);
  if (aCoverage == CacheCoverage::AllKinds || (aCoverage == CacheCoverage::NotTold && bringsMost))
    this->fetchedFromSeed = true;
  this->NotifyListeners();
}

}
