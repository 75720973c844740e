#pragma once

#include "DirectoryService.h"

namespace Hornbeam::Gateway {

/// A front on the platform: all its services on one loop, wired through one kernel.
class GatewayFront
{
public:
  GatewayFront(GatewaySettings aSettings, EventLoop& aLoop, std::function<void()> aEnd);
  GatewayFront(GatewayFront const&) = delete;
  GatewayFront& operator=(GatewayFront const&) = delete;

  /// Opens all addresses; false, with a log line, when one cannot be bound.
  bool Open();

  void Start();

  /// Stops in order: callers and peers are sent elsewhere, open requests are served, then the process ends.
  void BeginDraining();

  /// Takes no calls of other fronts any more, as a front that they cannot reach.
  void StopPeers() { this->peers.StopListening(); }

  /// Serves peers; false when the address could not be bound.
  bool ServePeers();

  /// Takes what may change while the process runs from the settings file.
  void Reload(GatewaySettings const& aSettings);

private:
  FrontPeerHandlers PeerHandlers();
  void ReviewDraining();
  void ReviewCallerRules();
  HttpListener& AddEntry(ExchangeHandler aHandler);

  GatewaySettings settings;
  EventLoop& loop;
  std::function<void()> end;
  Kernel kernel;
  ConnectionPool connections;
  StoreClient store;
  FrontPeers peers;
  GatewayMetrics metrics;
  std::unique_ptr<StateCache> stateCache;
  std::unique_ptr<StageOwnerService> stageOwner;
  std::unique_ptr<StageService> stages;
  std::unique_ptr<PresenceService> presence;
  std::unique_ptr<ProxyService> proxy;
  std::unique_ptr<DirectoryService> directory;
  std::vector<std::unique_ptr<HttpListener>> entries;
  HttpListener* callers{ nullptr };
  std::optional<MonotonicTime> drainingSince;
};

}
