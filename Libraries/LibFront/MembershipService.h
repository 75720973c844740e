#pragma once

#include "ServiceNames.h"
#include <LibPeer/LibPeer.h>
#include <LibSettings/LibSettings.h>

namespace Hornbeam {

class ConfigurationService;

/// Carries out what LibMembership decides: heartbeats, reads, writes and the watch of the record, the VM list.
class MembershipService
{
public:
  MembershipService(Kernel& aKernel, Incarnation aIncarnation);

  void Start();

  MembershipState const& State() const { return this->state; }
  Member const& Self() const { return this->state.self; }
  bool HoldsLeaseNow() const;

  /// The active record while this front holds a lease under it; null otherwise.
  EpochRecord const* ActiveRecord() const;

  /// A member of the known record by name and incarnation; null when there is none.
  Member const* FindKnownMember(std::string const& aName, Incarnation aIncarnation) const;

  /// True for a holder of grants, "name.incarnation", that is a member of the known record.
  bool IsMemberHolder(std::string const& aHolder) const;

  /// The members that callers can be sent to: answering and not draining.
  std::vector<Member> MembersToHandOut() const;

  /// True for an endpoint address that the VM list names as leaving.
  bool IsLeavingAddress(std::string const& aAddress) const;

  Heartbeat HandleHeartbeat(Heartbeat const& aHeartbeat);
  void HandleTableKnown(Revision aRevision);

  void BeginDrain();
  void Leave();

  /// Is called after each activation of an epoch, with its record.
  void OnEpochActivated(std::function<void(EpochRecord const&)> aAction);

  /// Is called when the lease is gained or lost.
  void OnLeaseChange(std::function<void(bool)> aAction);

private:
  void Tick();
  void CheckLease();
  void CarryOut(MembershipDecisions const& aDecisions);
  void CarryOut(MembershipDecision const& aDecision);
  void SendHeartbeats();
  void WriteRecord(MembershipDecision const& aDecision);
  void ReadRecord();
  void WitnessThroughStore();
  void WatchRecord();
  void PollVmList();
  void TakeRecord(StoreResponse const& aAnswer);
  std::string RecordKey() const;

  Kernel& kernel;
  Clock& clock;
  StorePort& store;
  PeerPort& peers;
  FrontSettings const& settings;
  MembershipState state;
  StoreVersion watchedVersion{ 0 };
  bool heldLease{ false };
  std::set<std::string> leavingAddresses;
  std::vector<std::function<void(EpochRecord const&)>> epochActions;
  std::vector<std::function<void(bool)>> leaseActions;
};

}
