#pragma once

#include "Member.h"
#include <LibStore/LibStore.h>
#include <map>
#include <set>

namespace Hornbeam {

/// The times of the membership protocol. All are in force on every front alike.
struct MembershipSettings
{
  Duration heartbeatInterval{ 500ms };
  /// How long a witnessed heartbeat or store read extends the lease, counted from its sending.
  Duration leaseDuration{ 2s };
  /// How much longer than a lease a new epoch waits, for clocks that run at different speeds.
  Duration driftAllowance{ 100ms };
  /// How long a member may leave heartbeats unanswered before it is removed.
  Duration removalDelay{ 3s };
  /// How long a front waits after a write of the record that failed.
  Duration writeBackoff{ 300ms };
};

/// What one front knows of another, from the answers to its heartbeats.
struct PeerView
{
  Incarnation incarnation{ 0 };
  EpochNumber knownEpoch{ 0 };
  EpochNumber activeEpoch{ 0 };
  Revision table{ 0 };
  ServingMode mode{ ServingMode::Serving };
  /// When the newest answered heartbeat was sent.
  std::optional<MonotonicTime> answeredSentAt;
  /// When the newest heartbeat was sent whose answer witnessed the lease in the known epoch.
  std::optional<MonotonicTime> witnessedSentAt;
  /// Since when this front has sent heartbeats to the member.
  std::optional<MonotonicTime> watchedSince;
};

/// The lease that a front held when it learned of a newer record. It can no longer be extended, but it is good until it
/// ends: the newer epoch waits that long.
struct OutgoingLease
{
  EpochRecord record;
  MonotonicTime expiry{};
};

/// The state of the epoch lease on one front. It changes only by the functions below.
struct MembershipState
{
  MembershipSettings settings;
  Member self;
  ServingMode mode{ ServingMode::Serving };
  /// Set once a draining front has finished its work and wants to be removed.
  bool leaving{ false };
  std::optional<EpochRecord> record;
  /// The version of the record in the store; zero when the record came from a peer.
  StoreVersion recordVersion{ 0 };
  /// The newest epoch that this front knows to be active: no front can hold a lease in an older one.
  EpochNumber activeEpoch{ 0 };
  Revision table{ 0 };
  std::map<std::string, PeerView> peers;
  /// Peer addresses that the VM list no longer names.
  std::set<std::string> goneAddresses;
  std::optional<OutgoingLease> outgoing;
  /// Since when a majority of the previous members is known to know the record or to be gone.
  std::optional<MonotonicTime> majorityKnewAt;
  /// When the newest read was sent that showed this epoch and this table in the store.
  std::optional<MonotonicTime> storeWitnessedSentAt;
  std::optional<MonotonicTime> storeWitnessAskedAt;
  bool writing{ false };
  std::optional<MonotonicTime> noWriteBefore;
  std::optional<MonotonicTime> heartbeatSentAt;
};

enum class MembershipAction
{
  /// Send a heartbeat to every peer of PeersToContact().
  SendHeartbeats,
  /// Write the decision's record conditionally over the known version.
  WriteRecord,
  ReadRecord,
  /// Read the record and the table in the store and report them by OnStoreWitness().
  WitnessThroughStore,
  /// Fetch the table from the decision's peer.
  FetchTable,
  /// The known epoch has become active.
  EpochActivated,
};

struct MembershipDecision
{
  MembershipAction action{ MembershipAction::SendHeartbeats };
  EpochRecord record;
  std::string peer;
  /// Why, for the log.
  std::string why;
};

using MembershipDecisions = std::vector<MembershipDecision>;

/// When the lease in the known epoch ends. Empty while the front holds none.
std::optional<MonotonicTime>
LeaseExpiry(MembershipState const& aState, MonotonicTime aNow);

/// The record under which the front holds a lease now: the known one, or the one before while that lease lasts. Null
/// without a lease.
EpochRecord const*
RecordInForce(MembershipState const& aState, MonotonicTime aNow);

/// True while the front may take new work and decide as an owner.
bool
HoldsLease(MembershipState const& aState, MonotonicTime aNow);

bool
IsKnownEpochActive(MembershipState const& aState);

/// True for a member whose process is known to have ended.
bool
IsKnownGone(MembershipState const& aState, Member const& aMember);

/// The members of the record and of the one before, without this front.
std::vector<Member>
PeersToContact(MembershipState const& aState);

/// The heartbeat for one peer, or the answer to it.
Heartbeat
MakeHeartbeat(MembershipState const& aState, EpochNumber aKnownByPeer);

MembershipDecisions
OnTick(MembershipState& aState, MonotonicTime aNow);

/// A heartbeat arrived; MakeHeartbeat() is the answer.
MembershipDecisions
OnHeartbeat(MembershipState& aState, Heartbeat const& aHeartbeat, MonotonicTime aNow);

MembershipDecisions
OnHeartbeatAnswer(MembershipState& aState, Heartbeat const& aAnswer, MonotonicTime aSentAt, MonotonicTime aNow);

/// The record was read in the store, with its version.
MembershipDecisions
OnRecordRead(MembershipState& aState, EpochRecord const& aRecord, StoreVersion aVersion, MonotonicTime aNow);

/// The store holds no record.
MembershipDecisions
OnRecordAbsent(MembershipState& aState, MonotonicTime aNow);

MembershipDecisions
OnRecordWritten(MembershipState& aState,
                EpochRecord const& aRecord,
                StoreStatus aStatus,
                StoreVersion aVersion,
                MonotonicTime aNow);

/// The store was read from aSentAt on and showed this epoch and this table.
MembershipDecisions
OnStoreWitness(MembershipState& aState, EpochNumber aEpoch, Revision aTable, MonotonicTime aSentAt, MonotonicTime aNow);

/// This front works under a newer table.
MembershipDecisions
OnTableKnown(MembershipState& aState, Revision aTable, MonotonicTime aNow);

/// The VM list was read. Members whose peer address has no entry are gone.
void
OnVmList(MembershipState& aState, std::vector<VmEntry> const& aVms);

/// How far a revision of the table has come.
enum class RevisionReach
{
  /// Too few members are known to have it; some may still extend leases under the older table.
  Pending,
  /// A majority of the active epoch has it: no lease under an older table can be extended.
  Accepted,
  /// Every member has it or holds no lease.
  InForceEverywhere,
};

/// aAcceptedAt is when the revision was first seen as accepted, if it was.
RevisionReach
ReachOf(MembershipState const& aState,
        Revision aRevision,
        std::optional<MonotonicTime> aAcceptedAt,
        MonotonicTime aNow);

}
