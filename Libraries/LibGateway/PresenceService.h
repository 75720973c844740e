#pragma once

#include "FrontPeers.h"
#include "StateCache.h"

namespace Hornbeam::Gateway {

/// Keeps this front entered in the store while it serves, and removes the entries of fronts that have died. Each front
/// probes only the next few in the order of names, so the cost does not grow with the fleet.
class PresenceService
{
public:
  explicit PresenceService(Kernel& aKernel);

  void Start();

  /// Leaves the store: callers and peers are not to come here any more.
  void Leave();

  std::int64_t Incarnation() const { return this->incarnation; }

private:
  void Enter();
  void OnEntered(Platform::WriteResult aResult);
  void Retry();
  void Probe();
  void ProbeFront(FrontEntry const& aFront);
  void OnProbeFailed(FrontEntry const& aFront);
  void RemoveDead(FrontEntry const& aFront);
  void AskPeers();

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  StoreClient& store;
  FrontPeers& peers;
  FrontEntry self;
  std::int64_t incarnation;
  bool entering{ false };
  bool leaving{ false };
  unsigned seedsAsked{ 0 };
  /// Until then this front may be the one that is cut off, and judges nobody.
  MonotonicTime doubtUntil{};
  struct Watched
  {
    std::int64_t incarnation{ 0 };
    unsigned failures{ 0 };
  };
  std::map<std::string, Watched> watched;
};

}
