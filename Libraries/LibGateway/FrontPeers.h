#pragma once

#include "CachedState.h"
#include <LibCore/LibCore.h>
#include <LibRelay/LibRelay.h>
#include <LibServing/LibServing.h>
#include <memory>

namespace Hornbeam::Gateway {

/// A stage job as sent from one front to another.
struct RemoteStageJob
{
  std::string service;
  StageJob job;
};

/// What a front tells those that probe it.
struct PeerStatus
{
  std::int64_t incarnation{ 0 };
  /// The version of the table in force; zero if none is.
  std::uint64_t tableVersion{ 0 };
  /// The era of the store, as far as the front knows.
  std::uint64_t storeEra{ 0 };
};

/// A poll of a relay by one of its followers.
struct FollowRequest
{
  /// The follower's revision of each kind of object, in the order of the kinds.
  std::vector<StorePosition> revisions;
  /// How long to wait for a change.
  Duration wait{ 0 };
  PollKind kind{ PollKind::Changes };
  /// The hashes of the large documents from whose differences the follower can tell others.
  std::vector<std::uint64_t> bases;
};

struct FollowResponse
{
  struct KindUpdate
  {
    unsigned kind{ 0 };
    ObjectUpdate update;
    /// Differences that stand for the documents of objects in the update, by name. Never null.
    std::map<std::string, std::shared_ptr<DocumentDelta const>> deltas;
  };
  std::vector<KindUpdate> updates;
  /// The relay's revision of each kind of object, in the order of the kinds.
  std::vector<StorePosition> revisions;
  /// The age of the relay's state; zero while the relay watches the store.
  Duration age{ 0 };
  /// Whether the relay itself watches the store.
  bool watchesStore{ false };
};

/// Asks for the origin of a stream that a caller takes up.
struct StreamQuestion
{
  /// The request that brought the stream's first event; empty if the caller did not name it.
  std::string requestId;
  std::string service;
  std::uint64_t requester{ 0 };
};

/// A front's report to the owner of a rollout order.
struct RemoteVersionReport
{
  std::string front;
  std::string service;
  VersionReport report;
};

/// Receives the origin of a stream; nothing if it is not known.
using OriginCallback = std::function<void(std::optional<StreamOrigin>)>;
using FollowCallback = std::function<void(FollowResponse)>;
using StageCallback = std::function<void(StageResult)>;
using CancelAction = std::function<void()>;

/// Handlers of the calls that this front receives from its peers.
struct FrontPeerHandlers
{
  /// Calls back exactly once unless cancelled; the returned action cancels the job.
  std::function<CancelAction(RemoteStageJob, StageCallback)> runStage;
  std::function<void(std::string const& aService, std::vector<std::string> const& aHandles)> releaseResults;
  std::function<PeerStatus()> status;
  std::function<CachedState()> cachedState;
  /// Calls back exactly once unless cancelled; the returned action cancels the poll.
  std::function<CancelAction(FollowRequest, FollowCallback)> follow;
  std::function<void(std::vector<StreamRecord> const&)> recordStreams;
  /// Calls back exactly once.
  std::function<void(StreamQuestion const&, OriginCallback)> findStream;
  /// Returns nothing if the report is not accepted.
  std::function<std::optional<LoadReport>(LoadReport)> exchangeLoads;
  /// Returns the share of the front's requests that may go to the target, from 0 to 1.
  std::function<double(RemoteVersionReport const&)> reportVersions;
};

/// Cap'n Proto RPC between fronts, on the event loop. Connections with jobs in flight are probed. A connection that
/// fails or whose probe times out is closed, and its jobs end without a result.
class FrontPeers
{
public:
  explicit FrontPeers(EventLoop& aLoop);
  FrontPeers(FrontPeers const&) = delete;
  FrontPeers& operator=(FrontPeers const&) = delete;
  ~FrontPeers();

  /// Returns false if the address cannot be bound.
  bool Listen(std::string const& aAddress, FrontPeerHandlers aHandlers);

  /// Closes the listening socket and all accepted connections.
  void StopListening();

  /// Runs a stage job at a peer. aDone receives nothing if the peer fails, and is not called after the returned cancel
  /// action has run.
  CancelAction RunStage(std::string const& aAddress,
                        RemoteStageJob const& aJob,
                        std::function<void(std::optional<StageResult>)> aDone);

  /// aDone receives whether the peer took over the release.
  void ReleaseResults(std::string const& aAddress,
                      std::string const& aService,
                      std::vector<std::string> const& aHandles,
                      std::function<void(bool)> aDone);

  /// aDone receives nothing if the peer does not respond in time.
  void Ping(std::string const& aAddress, std::function<void(std::optional<PeerStatus>)> aDone);

  void FetchCachedState(std::string const& aAddress, std::function<void(std::optional<CachedState>)> aDone);

  /// Polls a relay. aDone receives nothing if the relay does not respond shortly after the request's wait.
  void Follow(std::string const& aAddress,
              FollowRequest const& aRequest,
              std::function<void(std::optional<FollowResponse>)> aDone);

  /// Passes the origins of streams to their keeper. aDone receives whether it has them.
  void RecordStreams(std::string const& aAddress,
                     std::vector<StreamRecord> const& aRecords,
                     std::function<void(bool)> aDone);

  /// Asks a keeper of a request's record. aDone receives nothing if it is not known or the peer does not respond in
  /// time.
  void FindStream(std::string const& aAddress, StreamQuestion const& aQuestion, OriginCallback aDone);

  /// Reports loads to a collector. aDone receives its reply, or nothing if it does not accept the report or does not
  /// respond in time.
  void ExchangeLoads(std::string const& aAddress,
                     LoadReport const& aReport,
                     std::function<void(std::optional<LoadReport>)> aDone);

  /// Reports to the owner of a rollout order. aDone receives the granted share, from 0 to 1; nothing if the owner does
  /// not respond in time.
  void ReportVersions(std::string const& aAddress,
                      RemoteVersionReport const& aReport,
                      std::function<void(std::optional<double>)> aDone);

  std::uint64_t Calls() const { return this->calls; }

private:
  struct Implementation;

  std::unique_ptr<Implementation> implementation;
  std::uint64_t calls{ 0 };
};

}
