#pragma once

#include "ServiceNames.h"
#include <LibPeer/LibPeer.h>
#include <LibSettings/LibSettings.h>

namespace Hornbeam {

class ConfigurationService;

/// Executes the decisions of LibMembership: sends heartbeats, reads, writes and watches the record, and polls the VM
/// list.
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

  /// The members that callers may be sent to: responsive and not draining.
  std::vector<Member> AvailableMembers() const;

  /// True for an endpoint address that the VM list reports as leaving.
  bool IsLeavingAddress(std::string const& aAddress) const;

  Heartbeat HandleHeartbeat(Heartbeat const& aHeartbeat);
  void HandleTableRevision(Revision aRevision);

  void BeginDraining();
  void Leave();

  /// Registers a callback for each activation of an epoch, which receives the epoch's record.
  void OnEpochActivated(std::function<void(EpochRecord const&)> aCallback);

  /// Registers a callback for when the lease is acquired or lost.
  void OnLeaseChange(std::function<void(bool)> aCallback);

private:
  void Tick();
  void CheckLease();
  void Execute(MembershipDecisions const& aDecisions);
  void Execute(MembershipDecision const& aDecision);
  void SendHeartbeats();
  void WriteRecord(MembershipDecision const& aDecision);
  void ReadRecord();
  void AcknowledgeThroughStore();
  void WatchRecord();
  void PollVmList();
  void HandleRecord(StoreResponse const& aResponse);
  std::string RecordKey() const;

  Kernel& kernel;
  Clock& clock;
  StorePort& store;
  PeerPort& peers;
  FrontSettings const& settings;
  MembershipState state;
  StoreVersion watchedVersion{ 0 };
  bool hadLease{ false };
  std::set<std::string> leavingAddresses;
  std::vector<std::function<void(EpochRecord const&)>> epochCallbacks;
  std::vector<std::function<void(bool)>> leaseCallbacks;
};

}
