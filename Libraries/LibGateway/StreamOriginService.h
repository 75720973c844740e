#pragma once

#include "FrontPeers.h"
#include "StateCache.h"

namespace Hornbeam::Gateway {

/// What is known of a stream that a caller takes up.
struct FoundOrigin
{
  /// Nothing if the stream must not go on, as nobody can say where it began.
  std::optional<StreamOrigin> origin;
  /// How it was found, or why it was not; for logs.
  std::string_view source;
};

/// Finds the software version at which a stream began that a caller takes up, at any front and also after all fronts
/// were restarted. While a service has one version only, nothing is recorded. Otherwise each front tells the origins of
/// the streams that it begins to a keeper, which writes them to the store in batches. A stream whose origin was not
/// recorded in time is unknown and cannot be taken up.
class StreamOriginService
{
public:
  explicit StreamOriginService(Kernel& aKernel);

  void Start();

  /// Records that the first event of a stream is forwarded.
  void OnStreamBegun(StreamRecord const& aRecord);

  /// Finds the origin of a stream of a service that a request of aRequester takes up. aRequestId is the request that
  /// brought the stream's first event; empty if the caller did not name it. Calls back exactly once, possibly at once.
  void Find(std::string const& aRequestId,
            std::string const& aService,
            std::uint64_t aRequester,
            std::function<void(FoundOrigin)> aDone);

  /// Takes the records that another front passes to their keeper.
  void OnRecords(std::vector<StreamRecord> const& aRecords);

  /// Finds an origin for another front, as its keeper.
  void FindAsKeeper(std::string const& aRequestId, OriginCallback aDone);

private:
  void OnStateChanged();
  void ScheduleRefresh();
  void OnBecameSeveral(std::string const& aService);
  /// Whether no version may have left before this front started without its knowledge.
  bool KnowsFormerVersions() const;

  void QueueForKeeper(StreamRecord const& aRecord);
  void SendToKeepers();
  void SendBatch(FrontEntry const& aKeeper, std::vector<StreamRecord> const& aRecords, unsigned aAttempt);
  std::optional<FrontEntry> KeeperOf(std::string const& aRequestId) const;

  void QueueForStore(StreamRecord const& aRecord);
  void ScheduleWrite();
  void WriteBatch();
  void WriteVersionsIfChanged();

  /// Lists what is in the store; aDone runs when it is known, or could not be read.
  void Load(std::function<void()> aDone);
  void OnLoaded(Platform::ObjectList const& aList);
  /// Goes on with the objects of this front's former process: the one that was written the longest ago is next.
  void AdoptOwnObjects(std::vector<Platform::StoredObject> const& aObjects);
  std::string ObjectName(std::size_t aIndex) const;
  void LoadUntilKnown();

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  FrontPeers& peers;
  StoreClient& store;
  StreamOrigins origins;
  SoftwareVersions versions;
  MonotonicTime started{};
  /// Records to be passed to their keepers.
  std::vector<StreamRecord> unsent;
  bool sendScheduled{ false };
  /// Records that this front keeps and that are not in the store.
  std::vector<StreamRecord> unwritten;
  bool writeScheduled{ false };
  /// The objects in which this front keeps records; the oldest is used again.
  std::map<std::string, StorePosition> ownObjects;
  std::size_t nextObject{ 0 };
  std::vector<std::function<void()>> waitingForLoad;
  bool loading{ false };
  /// When the store was last listed with success.
  std::optional<MonotonicTime> loaded;
  std::optional<Platform::VersionsByService> storedVersions;
  StorePosition storedVersionsRevision{ 0 };
  bool writingVersions{ false };
};

}
