#pragma once

#include <LibCore/LibCore.h>
#include <LibServing/LibServing.h>
#include <memory>

namespace Hornbeam::Gateway {

/// A stage job as sent from one front to another.
struct RemoteStageJob
{
  std::string service;
  StageJob job;
};

/// A cached object of the store as a JSON document.
struct CachedObject
{
  unsigned kind{ 0 };
  std::string document;
};

using StageCallback = std::function<void(StageResult)>;
using CancelAction = std::function<void()>;

/// Handlers of the calls that this front receives from its peers.
struct FrontPeerHandlers
{
  /// Calls back exactly once unless cancelled; the returned action cancels the job.
  std::function<CancelAction(RemoteStageJob, StageCallback)> runStage;
  std::function<void(std::string const& aService, std::vector<std::string> const& aHandles)> releaseResults;
  std::function<std::int64_t()> incarnation;
  std::function<std::vector<CachedObject>()> cachedObjects;
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

  void ReleaseResults(std::string const& aAddress,
                      std::string const& aService,
                      std::vector<std::string> const& aHandles);

  /// aDone receives the peer's incarnation, or nothing if the peer does not respond in time.
  void Ping(std::string const& aAddress, std::function<void(std::optional<std::int64_t>)> aDone);

  void FetchCachedObjects(std::string const& aAddress,
                          std::function<void(std::optional<std::vector<CachedObject>>)> aDone);

  std::uint64_t Calls() const { return this->calls; }

private:
  struct Implementation;

  std::unique_ptr<Implementation> implementation;
  std::uint64_t calls{ 0 };
};

}
