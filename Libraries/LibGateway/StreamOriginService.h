#pragma once

#include "FrontPeers.h"
#include "SoftwareVersionReader.h"

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
/// were restarted. While a service has one version only, nothing is recorded; that there is no other is read from the
/// store when a stream is taken up, as a front that has not heard of one proves nothing. Otherwise each front tells the
/// origins of the streams that it begins to two keepers, the first of which writes them to the store in batches. A
/// stream whose origin was not recorded in time is unknown and cannot be taken up.
class StreamOriginService
{
public:
  explicit StreamOriginService(Kernel& aKernel);

  void Start();

  /// Records that the first event of a stream is forwarded.
  void OnStreamBegun(StreamRecord const& aRecord);

  /// Finds the origin of a stream that a caller takes up. Calls back exactly once, possibly at once.
  void Find(StreamQuestion const& aQuestion, std::function<void(FoundOrigin)> aDone);

  /// Takes the records that another front passes to their keeper.
  void OnRecords(std::vector<StreamRecord> const& aRecords);

  /// Finds an origin for another front, as its keeper.
  void FindAsKeeper(StreamQuestion const& aQuestion, OriginCallback aDone);

private:
  void OnStateChanged();
  void ScheduleRefresh();
  void OnBecameSeveral(std::string const& aService);
  /// Whether no version may have left before this front started without its knowledge.
  bool KnowsFormerVersions() const;

  void QueueForKeeper(StreamRecord const& aRecord);
  void SendToKeepers();
  void SendBatch(FrontEntry const& aKeeper, std::vector<StreamRecord> const& aRecords, unsigned aAttempt);
  std::vector<FrontEntry> KeepersOf(std::string const& aRequestId) const;
  /// Whether this front writes the record of a request to the store.
  bool Writes(std::string const& aRequestId) const;

  /// Reads from the store whether a service has one software version only, and which.
  void ConfirmOnlyVersion(std::string const& aService, std::function<void(std::optional<std::string>)> aDone);
  void OnVersionsRead(ReadVersions const& aVersions);
  void NoteStoredVersions(std::optional<Platform::VersionsByService> const& aVersions, StorePosition aRevision);
  /// Asks the keepers of a request all at once; aDone receives the first origin that one knows.
  void AskKeepers(StreamQuestion const& aQuestion, OriginCallback aDone);
  /// Finds the record of a request here or in the store.
  void FindRecord(StreamQuestion const& aQuestion, OriginCallback aDone);

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
  SoftwareVersionReader versionReader;
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
