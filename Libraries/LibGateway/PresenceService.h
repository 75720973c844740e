#pragma once

#include "FrontPeers.h"
#include "StateCache.h"

namespace Hornbeam::Gateway {

/// Keeps this front registered in the store while it serves, and removes the entries of dead fronts. Each front probes
/// only the next few fronts in the order of names, so that the cost per front does not grow with the fleet.
class PresenceService
{
public:
  explicit PresenceService(Kernel& aKernel);

  void Start();

  /// Removes this front's entry from the store, so that callers and peers use other fronts.
  void Deregister();

  FrontEntry const& OwnEntry() const { return this->ownEntry; }
  PeerStatus Status() const;

private:
  void Register();
  void OnRegistered(Platform::WriteResult aResult);
  void ScheduleRegistrationRetry();
  void Probe();
  void ProbeFront(FrontEntry const& aFront);
  void OnProbeAnswered(FrontEntry const& aFront, PeerStatus const& aStatus);
  void FetchNewerTable(FrontEntry const& aFront, std::uint64_t aVersion);
  void WriteEntry();
  void OnProbeFailed(FrontEntry const& aFront);
  void RemoveDeadFront(FrontEntry const& aFront);
  void FetchFromPeers();

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  StoreClient& store;
  FrontPeers& peers;
  FrontEntry ownEntry;
  std::int64_t incarnation;
  bool registering{ false };
  /// Set once this process has had an entry.
  bool wasRegistered{ false };
  std::minstd_rand random;
  bool deregistering{ false };
  /// A call that removes this front's entry is in flight or about to be repeated.
  bool removing{ false };
  unsigned seedsTried{ 0 };
  /// Until then, this front itself may be isolated from the network and removes no other front.
  MonotonicTime possiblyIsolatedUntil{};
  struct ProbeState
  {
    std::int64_t incarnation{ 0 };
    unsigned failures{ 0 };
    /// How many probes in a row have told of a newer table than the one in force here.
    unsigned newerTables{ 0 };
    /// The version of the table that was last fetched from the front; zero if that failed.
    std::uint64_t fetchedTable{ 0 };
  };
  std::map<std::string, ProbeState> probeStates;
};

}
