#pragma once

#include <LibCore/LibCore.h>
#include <LibServing/LibServing.h>
#include <memory>

namespace Hornbeam::Gateway {

/// An order for one stage as it goes from front to front.
struct RemoteOrder
{
  std::string service;
  StageJob order;
};

/// A known object of the store in the platform's form.
struct KnownObject
{
  unsigned kind{ 0 };
  std::string document;
};

using StageDone = std::function<void(StageResult)>;
using CancelAction = std::function<void()>;

/// What this front does for its peers.
struct FrontPeerHandlers
{
  /// Answers once; the returned action cancels the order.
  std::function<CancelAction(RemoteOrder, StageDone)> makeStage;
  std::function<void(std::string const& aService, std::vector<std::string> const& aHandles)> releaseResults;
  std::function<std::int64_t()> incarnation;
  std::function<std::vector<KnownObject>()> knownObjects;
};

/// Cap'n Proto RPC between fronts, on the loop. A connection with open orders is probed; one that fails or stays silent
/// is closed, and its orders end without a result.
class FrontPeers
{
public:
  explicit FrontPeers(EventLoop& aLoop);
  FrontPeers(FrontPeers const&) = delete;
  FrontPeers& operator=(FrontPeers const&) = delete;
  ~FrontPeers();

  /// False when the address could not be bound.
  bool Listen(std::string const& aAddress, FrontPeerHandlers aHandlers);

  /// Closes the listening socket and all connections that were accepted.
  void StopListening();

  /// aDone gets nothing when the peer failed. It does not run after the returned action.
  CancelAction MakeStage(std::string const& aAddress,
                         RemoteOrder const& aOrder,
                         std::function<void(std::optional<StageResult>)> aDone);

  void ReleaseResults(std::string const& aAddress,
                      std::string const& aService,
                      std::vector<std::string> const& aHandles);

  /// aDone gets the peer's incarnation, or nothing.
  void Ping(std::string const& aAddress, std::function<void(std::optional<std::int64_t>)> aDone);

  void FetchKnownObjects(std::string const& aAddress,
                         std::function<void(std::optional<std::vector<KnownObject>>)> aDone);

  std::uint64_t Calls() const { return this->calls; }

private:
  struct Implementation;

  std::unique_ptr<Implementation> implementation;
  std::uint64_t calls{ 0 };
};

}
