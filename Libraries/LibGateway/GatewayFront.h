#pragma once

#include "DirectoryService.h"

namespace Hornbeam::Gateway {

/// A front on the platform: runs all its services on one event loop and connects them through one kernel.
class GatewayFront
{
public:
  /// aConnector opens the front's connections to endpoints and to the store; TCP connections without one.
  GatewayFront(GatewaySettings aSettings,
               EventLoop& aLoop,
               std::function<void()> aOnStopped,
               StreamConnector aConnector = {});
  GatewayFront(GatewayFront const&) = delete;
  GatewayFront& operator=(GatewayFront const&) = delete;

  /// Listens on all addresses, or on none if one cannot be bound. Runs the event loop and tries again for up to
  /// aRetryTime: the former process at the addresses may still be ending. Logs an error and returns false after that.
  bool Open(Duration aRetryTime = Duration::zero());

  void Start();

  /// Shuts down gracefully: deregisters so that callers and peers use other fronts, refuses what cannot end in time,
  /// completes the rest within the grace time, closes all connections, and then calls aOnStopped.
  void BeginDraining();

  /// Stops serving RPC calls of other fronts. To them, this front is then unreachable.
  void StopPeers() { this->peers.StopListening(); }

  /// Serves RPC calls of other fronts; returns false if the address cannot be bound.
  bool ServePeers();

  /// Applies the settings that may change while the process runs.
  void Reload(GatewaySettings const& aSettings);

private:
  FrontPeerHandlers PeerHandlers();
  void ContinueStop();
  StopProgress MakeStopProgress() const;
  void ApplyCallerLimits();
  void AddEntries();
  HttpListener& AddEntry(CallerGroup aGroup, std::string aAddress, ExchangeHandler aHandler);
  bool ListenOnAll();

  struct Entry
  {
    std::unique_ptr<HttpListener> listener;
    std::string address;
  };

  GatewaySettings settings;
  EventLoop& loop;
  std::function<void()> onStopped;
  Kernel kernel;
  CallerMemory callerMemory;
  StreamConnector connector;
  ConnectionPool connections;
  StoreClient store;
  FrontPeers peers;
  GatewayMetrics metrics;
  std::unique_ptr<StateCache> stateCache;
  std::unique_ptr<EndpointPathService> endpointPaths;
  std::unique_ptr<RolloutService> rollouts;
  std::unique_ptr<StageOwnerService> stageOwner;
  std::unique_ptr<StageService> stages;
  std::unique_ptr<PresenceService> presence;
  std::unique_ptr<RelayService> relay;
  std::unique_ptr<CrashService> crashes;
  std::unique_ptr<StreamOriginService> streamOrigins;
  std::unique_ptr<LoadService> loads;
  std::unique_ptr<ProxyService> proxy;
  std::unique_ptr<ExplainService> explain;
  std::unique_ptr<DirectoryService> directory;
  std::vector<Entry> entries;
  HttpListener* callers{ nullptr };
  /// The need of one request for which a warning was logged.
  std::size_t loggedNeed{ 0 };
  std::optional<StopPlan> stop;
  StopStep stopStep{ StopStep::Serve };
};

}
