#include "StateCache.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

/// Endpoints whose entries expired while the store was unavailable register again about two seconds after it recovers.
static constexpr Duration kReregistrationTime = 2300ms;

StateCache::StateCache(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , store(aKernel.Find<StoreClient>(GatewayName::kStore))
  , connections(aKernel.Find<ConnectionPool>(GatewayName::kConnections))
  , random(std::random_device{}())
{
}

void
StateCache::Start()
{
  for (auto const kind :
       { ObjectKind::ServingTable, ObjectKind::Endpoint, ObjectKind::DataCenterOutOfRotation, ObjectKind::Front })
    this->StartWatch(kind);
}

void
StateCache::StartWatch(ObjectKind aKind)
{
  ObjectWatchEvents events;
  events.onList = [this, aKind](std::vector<StoredObject> aObjects) { this->OnList(aKind, std::move(aObjects)); };
  events.onChanged = [this, aKind](StoredObject aObject) { this->OnChanged(aKind, aObject); };
  events.onRemoved = [this, aKind](StoredObject aObject) { this->OnRemoved(aKind, aObject); };
  events.onReachabilityChange = [this, aKind](StoreReachability aReachability) {
    if (aReachability == StoreReachability::Unreachable)
      for (auto const& [kind, watch] : this->watches)
        watch->NoteDisconnect();
    if (aKind == ObjectKind::Endpoint)
      this->OnReachabilityChange(aReachability);
  };
  events.onFailure = [this, aKind] {
    std::uniform_real_distribution<double> jitter;
    return OnStoreFailure(this->backOff, aKind, jitter(this->random));
  };
  events.onResponse = [this, aKind] {
    for (auto const kind : OnStoreResponse(this->backOff, aKind))
      this->watches.at(kind)->RetryNow();
  };
  auto& watch = this->watches[aKind];
  watch = std::make_unique<ObjectWatch>(this->store, this->clock, aKind, std::move(events));
  watch->Start();
}

void
StateCache::OnReachabilityChange(StoreReachability aReachability)
{
  if (aReachability == StoreReachability::Reachable && this->endpointsKnown) {
    this->reregistrationEnd = this->clock.Now() + kReregistrationTime;
    this->clock.Schedule(kReregistrationTime + 10ms, [this] { this->DropExpiredEndpoints(); });
  }
}

bool
StateCache::IsInitialized() const
{
  return this->table != nullptr && this->endpointsKnown && this->frontsKnown;
}

bool
StateCache::IsStoreReachable() const
{
  return std::ranges::all_of(
    this->watches, [](auto const& aEntry) { return aEntry.second->Reachability() == StoreReachability::Reachable; });
}

Duration
StateCache::Age() const
{
  auto oldest = this->clock.Now();
  for (auto const& [kind, watch] : this->watches)
    if (watch->Reachability() != StoreReachability::Reachable)
      oldest = std::min(oldest, watch->LastResponseTime());
  return this->clock.Now() - oldest;
}

std::uint64_t
StateCache::OwnRevision() const
{
  auto const found = this->fronts.byName.find(this->settings.name);
  return found == this->fronts.byName.end() ? 0 : found->second.revision;
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
StateCache::OnList(ObjectKind aKind, std::vector<StoredObject> aObjects)
{
  std::set<std::string> present;
  for (auto const& object : aObjects)
    present.insert(object.name);
  this->documents[aKind].clear();
  for (auto const& object : aObjects)
    this->OnChanged(aKind, object);
  switch (aKind) {
    case ObjectKind::Endpoint:
      this->endpointsKnown = true;
      for (auto& [id, endpoint] : this->endpoints.byId)
        if (!present.contains(id) && !endpoint.removeAt)
          endpoint.removeAt = std::max(this->reregistrationEnd, this->clock.Now());
      this->DropExpiredEndpoints();
      break;
    case ObjectKind::DataCenterOutOfRotation:
      this->UpdateDataCentersOutOfRotation(present);
      break;
    case ObjectKind::Front:
      this->frontsKnown = true;
      std::erase_if(this->fronts.byName, [&](auto const& aEntry) { return !present.contains(aEntry.first); });
      break;
    case ObjectKind::ServingTable:
      break;
  }
  this->NotifyListeners();
}

void
StateCache::OnChanged(ObjectKind aKind, StoredObject const& aObject)
{
  this->documents[aKind][aObject.name] = aObject.document.dump();
  switch (aKind) {
    case ObjectKind::ServingTable:
      this->UpdateTable(aObject);
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
  }
  this->NotifyListeners();
}

void
StateCache::OnRemoved(ObjectKind aKind, StoredObject const& aObject)
{
  this->documents[aKind].erase(aObject.name);
  switch (aKind) {
    case ObjectKind::ServingTable:
      PART_WARNING("table") << "event=removed name=" << aObject.name << " kept=yes";
      break;
    case ObjectKind::Endpoint:
      if (this->clock.Now() < this->reregistrationEnd) {
        auto const found = this->endpoints.byId.find(aObject.name);
        if (found != this->endpoints.byId.end())
          found->second.removeAt = this->reregistrationEnd;
      } else {
        this->DropEndpoint(aObject.name, "removed");
      }
      break;
    case ObjectKind::DataCenterOutOfRotation: {
      auto outOfRotation = this->endpoints.dataCentersOutOfRotation;
      outOfRotation.erase(aObject.name);
      this->UpdateDataCentersOutOfRotation(std::move(outOfRotation));
      break;
    }
    case ObjectKind::Front:
      PART_LOG("fronts") << "event=removed name=" << aObject.name;
      this->fronts.byName.erase(aObject.name);
      break;
  }
  this->NotifyListeners();
}

void
StateCache::UpdateTable(StoredObject const& aObject)
{
  if (aObject.name != "main")
    return;
  std::string error;
  auto decoded = Platform::DecodeServingTable(aObject, error);
  if (!decoded) {
    PART_WARNING("table") << "event=refused revision=" << aObject.revision << " fault=\"" << error << "\"";
    return;
  }
  if (this->table && decoded->version <= this->table->version)
    return;
  PART_LOG("table") << "event=in-force version=" << decoded->version << " revision=" << aObject.revision
                    << " previous=" << (this->table ? this->table->version : 0)
                    << " services=" << decoded->services.size();
  this->table = std::make_shared<ServingTable const>(std::move(*decoded));
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
  auto const coldTime = this->table ? RuleOf(*this->table, entry->service).coldTime : Duration::zero();
  auto const change = ApplyEntry(this->endpoints, *entry, coldTime, this->clock.Now());
  if (change == EntryChange::Unchanged)
    return;
  if (change == EntryChange::Restarted)
    this->connections.CloseIdleConnections(entry->address);
  PART_LOG("endpoints") << "event=entry id=" << entry->id << " service=" << entry->service
                        << " address=" << entry->address << " data_center=" << entry->dataCenter
                        << " state=" << (entry->state == EndpointState::Ready ? "ready" : "leaving")
                        << " cold_ms=" << Milliseconds(entry->coldFor) << " revision=" << aObject.revision
                        << (change == EntryChange::Restarted ? " restarted=yes" : "");
}

void
StateCache::DropEndpoint(std::string const& aId, std::string_view aReason)
{
  auto const found = this->endpoints.byId.find(aId);
  if (found == this->endpoints.byId.end())
    return;
  PART_LOG("endpoints") << "event=dropped id=" << aId << " reason=" << aReason;
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
    return;
  }
  auto const known = this->fronts.byName.find(entry->name);
  if (known == this->fronts.byName.end() || known->second.entry != *entry)
    PART_LOG("fronts") << "event=entry name=" << entry->name << " incarnation=" << entry->incarnation
                       << " revision=" << aObject.revision;
  ApplyFront(this->fronts, *entry, aObject.revision);
}

std::vector<std::pair<ObjectKind, std::string>>
StateCache::CachedObjects() const
{
  std::vector<std::pair<ObjectKind, std::string>> result;
  for (auto const& [kind, objects] : this->documents)
    for (auto const& [name, document] : objects)
      result.emplace_back(kind, document);
  return result;
}

void
StateCache::ApplyFromPeer(ObjectKind aKind, std::string const& aDocument)
{
  auto const watch = this->watches.find(aKind);
  if (watch == this->watches.end() || watch->second->Reachability() == StoreReachability::Reachable)
    return;
  auto const object = Platform::ParseObjectDocument(aDocument);
  if (!object)
    return;
  this->OnChanged(aKind, *object);
  this->endpointsKnown = this->endpointsKnown || aKind == ObjectKind::Endpoint;
  this->frontsKnown = this->frontsKnown || aKind == ObjectKind::Front;
}

}
