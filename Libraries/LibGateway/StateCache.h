#pragma once

#include "GatewaySettings.h"
#include "ObjectWatch.h"
#include "StoreBackOff.h"
#include <random>

namespace Hornbeam::Gateway {

/// What this front knows of the table, the endpoints, the data centres taken out and the other fronts, and how old it
/// is. Everything comes from the store, or from a peer while the store is away at the start.
class StateCache
{
public:
  explicit StateCache(Kernel& aKernel);

  void Start();

  /// Null until a table is known. A request keeps the table that it began with.
  std::shared_ptr<ServingTable const> Table() const { return this->table; }
  EndpointSet& Endpoints() { return this->endpoints; }
  FrontSet& Fronts() { return this->fronts; }

  /// Table, endpoints and fronts are known.
  bool Complete() const;

  /// Adds a function that runs after each change.
  void OnChange(std::function<void()> aAction) { this->listeners.push_back(std::move(aAction)); }

  /// This front's own entry, as the store has it; zero when it has none.
  std::uint64_t OwnRevision() const;

  /// The known objects in the platform's form, for a peer that cannot reach the store.
  std::vector<std::pair<ObjectKind, std::string>> KnownObjects() const;

  /// Takes objects from a peer; the store's word goes before them.
  void TakeFromPeer(ObjectKind aKind, std::string const& aDocument);

  bool StoreIsReached() const;

  /// The age of the oldest belief: the time since the store last answered all watches.
  Duration Age() const;

  SelectionView View() const;

private:
  void StartWatch(ObjectKind aKind);
  void OnList(ObjectKind aKind, std::vector<StoredObject> aObjects);
  void OnChanged(ObjectKind aKind, StoredObject const& aObject);
  void OnRemoved(ObjectKind aKind, StoredObject const& aObject);
  void TakeTable(StoredObject const& aObject);
  void TakeEndpoint(StoredObject const& aObject);
  void TakeDataCentersOut(std::set<std::string> aOut);
  void TakeFront(StoredObject const& aObject);
  void DropEndpoint(std::string const& aId, std::string_view aReason);
  void ReviewLapsed();
  void OnReach(StoreReach aReach);
  void Tell();

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
  /// Until then a missing endpoint may only have lapsed while the store was away.
  MonotonicTime lapseUntil{};
  bool tellScheduled{ false };
  std::vector<std::function<void()>> listeners;
};

}
