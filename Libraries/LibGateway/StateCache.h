#pragma once

#include "GatewaySettings.h"
#include "ObjectWatch.h"
#include "StoreBackOff.h"
#include <random>

namespace Hornbeam::Gateway {

/// Caches the serving table, the endpoints, the data centres out of rotation and the fronts, and tracks how old this
/// state is. The state comes from the store, or from a peer if the store is unavailable at startup.
class StateCache
{
public:
  explicit StateCache(Kernel& aKernel);

  void Start();

  /// Returns null until a table is known. A request keeps using the table with which it started.
  std::shared_ptr<ServingTable const> Table() const { return this->table; }
  EndpointSet& Endpoints() { return this->endpoints; }
  FrontSet& Fronts() { return this->fronts; }

  /// Whether the table, the endpoints and the fronts have all been loaded.
  bool IsInitialized() const;

  /// Adds a callback that runs after changes.
  void AddChangeListener(std::function<void()> aAction) { this->listeners.push_back(std::move(aAction)); }

  /// Returns the revision of this front's own entry in the store; 0 if there is none.
  std::uint64_t OwnRevision() const;

  /// Returns the cached objects as JSON documents of the store, for a peer that cannot reach the store.
  std::vector<std::pair<ObjectKind, std::string>> CachedObjects() const;

  /// Applies an object from a peer's cache. It is ignored if the store is reachable: the store takes precedence.
  void ApplyFromPeer(ObjectKind aKind, std::string const& aDocument);

  bool IsStoreReachable() const;

  /// Returns the age of the oldest cached state: the longest time since a watch that cannot reach the store last
  /// received a response. It is zero while all watches reach the store.
  Duration Age() const;

  SelectionView MakeSelectionView() const;

private:
  void StartWatch(ObjectKind aKind);
  void OnList(ObjectKind aKind, std::vector<StoredObject> aObjects);
  void OnChanged(ObjectKind aKind, StoredObject const& aObject);
  void OnRemoved(ObjectKind aKind, StoredObject const& aObject);
  void UpdateTable(StoredObject const& aObject);
  void UpdateEndpoint(StoredObject const& aObject);
  void UpdateDataCentersOutOfRotation(std::set<std::string> aOutOfRotation);
  void UpdateFront(StoredObject const& aObject);
  void DropEndpoint(std::string const& aId, std::string_view aReason);
  void DropExpiredEndpoints();
  void OnReachabilityChange(StoreReachability aReachability);
  void NotifyListeners();

  GatewaySettings const& settings;
  Clock& clock;
  StoreClient& store;
  ConnectionPool& connections;
  std::map<ObjectKind, std::unique_ptr<ObjectWatch>> watches;
  StoreBackOff backOff;
  std::minstd_rand random;
  std::map<ObjectKind, std::map<std::string, std::string>> documents;
  std::shared_ptr<ServingTable const> table;
  EndpointSet endpoints;
  FrontSet fronts;
  bool endpointsKnown{ false };
  bool frontsKnown{ false };
  /// Until then, the entry of a missing endpoint may merely have expired while the store was unavailable.
  MonotonicTime reregistrationEnd{};
  bool notificationScheduled{ false };
  std::vector<std::function<void()>> listeners;
};

}
