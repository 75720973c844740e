#pragma once

#include "Member.h"
#include <LibStore/LibStore.h>
#include <map>
#include <set>

namespace Hornbeam {

/// Durations of the membership protocol. They must be the same on all fronts.
struct MembershipSettings
{
  Duration heartbeatInterval{ 500ms };
  /// How long an acknowledged heartbeat or store read extends the lease, measured from when it was sent.
  Duration leaseDuration{ 2s };
  /// How much longer than the lease duration a new epoch waits, to allow for clock drift.
  Duration driftAllowance{ 100ms };
  /// How long a member may fail to respond to heartbeats before it is removed.
  Duration removalDelay{ 3s };
  /// How long a front waits after an unsuccessful attempt to write the record.
  Duration writeBackoff{ 300ms };
};

/// The state of a peer as last known from its heartbeat responses.
struct PeerView
{
  Incarnation incarnation{ 0 };
  EpochNumber knownEpoch{ 0 };
  EpochNumber activeEpoch{ 0 };
  Revision table{ 0 };
  ServingMode mode{ ServingMode::Serving };
  /// When the latest heartbeat with a response was sent.
  std::optional<MonotonicTime> respondedSentAt;
  /// When the latest heartbeat was sent whose response acknowledged the lease in the known epoch.
  std::optional<MonotonicTime> acknowledgedSentAt;
  /// Since when this front has been sending heartbeats to the peer.
  std::optional<MonotonicTime> monitoredSince;
};

/// The lease that a front held when it received a newer record. It can no longer be extended, but stays valid until it
/// expires, because the newer epoch is not activated before then.
struct PreviousLease
{
  EpochRecord record;
  MonotonicTime expiry{};
};

/// The state of the epoch lease on one front. Modified only by the functions below.
struct MembershipState
{
  MembershipSettings settings;
  Member self;
  ServingMode mode{ ServingMode::Serving };
  /// Set once a draining front has completed its work and requests its removal.
  bool leaving{ false };
  std::optional<EpochRecord> record;
  /// The version of the record in the store; zero if it is not known, such as after receiving the record from a peer.
  StoreVersion recordVersion{ 0 };
  /// The latest epoch that this front knows to be active. No front can hold a lease in an older epoch.
  EpochNumber activeEpoch{ 0 };
  Revision table{ 0 };
  std::map<std::string, PeerView> peers;
  /// Peer addresses of members that are missing from the VM list.
  std::set<std::string> unlistedAddresses;
  std::optional<PreviousLease> previousLease;
  /// Since when a majority of the previous members is known to have received the record or to have terminated.
  std::optional<MonotonicTime> majorityInformedAt;
  /// When the latest store read was sent that returned this epoch and no newer table.
  std::optional<MonotonicTime> storeAcknowledgedSentAt;
  std::optional<MonotonicTime> storeReadRequestedAt;
  bool writing{ false };
  std::optional<MonotonicTime> nextWriteAt;
  std::optional<MonotonicTime> heartbeatSentAt;
};

enum class MembershipAction
{
  /// Send a heartbeat to every peer of PeersToContact().
  SendHeartbeats,
  /// Write the decision's record to the store, on condition that the known version is unchanged.
  WriteRecord,
  ReadRecord,
  /// Read the record and the table from the store and pass them to OnStoreAcknowledgement().
  AcknowledgeThroughStore,
  /// Fetch the table from the peer named in the decision.
  FetchTable,
  /// The known epoch has become active.
  EpochActivated,
};

struct MembershipDecision
{
  MembershipAction action{ MembershipAction::SendHeartbeats };
  EpochRecord record;
  std::string peer;
  /// The reason, for the log.
  std::string reason;
};

using MembershipDecisions = std::vector<MembershipDecision>;

/// Returns when the lease in the known epoch expires. Returns nullopt if the front is not a member, the epoch is not
/// active, or the lease was never acknowledged.
std::optional<MonotonicTime>
LeaseExpiry(MembershipState const& aState, MonotonicTime aNow);

/// Returns the record under which the front holds a lease: the known record, or the previous one until its lease
/// expires. Returns nullptr without a lease.
EpochRecord const*
RecordInForce(MembershipState const& aState, MonotonicTime aNow);

/// Returns true while the front may accept new work and act as the owner of keys.
bool
HoldsLease(MembershipState const& aState, MonotonicTime aNow);

bool
IsKnownEpochActive(MembershipState const& aState);

/// Returns true if the member's process is known to have terminated.
bool
IsKnownTerminated(MembershipState const& aState, Member const& aMember);

/// Returns the members of the record except this front, and those of the previous epoch until the known one is active.
std::vector<Member>
PeersToContact(MembershipState const& aState);

/// Creates a heartbeat for a peer, or the response to one.
Heartbeat
MakeHeartbeat(MembershipState const& aState, EpochNumber aKnownByPeer);

MembershipDecisions
OnTick(MembershipState& aState, MonotonicTime aNow);

/// Processes a heartbeat from a peer. The response to it is created by MakeHeartbeat().
MembershipDecisions
OnHeartbeat(MembershipState& aState, Heartbeat const& aHeartbeat, MonotonicTime aNow);

MembershipDecisions
OnHeartbeatResponse(MembershipState& aState, Heartbeat const& aResponse, MonotonicTime aSentAt, MonotonicTime aNow);

/// Processes a record read from the store.
MembershipDecisions
OnRecordRead(MembershipState& aState, EpochRecord const& aRecord, StoreVersion aVersion, MonotonicTime aNow);

/// Processes a store read that found no record.
MembershipDecisions
OnRecordAbsent(MembershipState& aState, MonotonicTime aNow);

MembershipDecisions
OnRecordWritten(MembershipState& aState,
                EpochRecord const& aRecord,
                StoreStatus aStatus,
                StoreVersion aVersion,
                MonotonicTime aNow);

/// Processes a store read, sent at aSentAt, that returned this epoch and this table.
MembershipDecisions
OnStoreAcknowledgement(MembershipState& aState,
                       EpochNumber aEpoch,
                       Revision aTable,
                       MonotonicTime aSentAt,
                       MonotonicTime aNow);

/// Records that this front has applied a newer table.
MembershipDecisions
OnTableApplied(MembershipState& aState, Revision aTable, MonotonicTime aNow);

/// Processes the VM list. Members whose peer address is missing from it have terminated.
void
OnVmList(MembershipState& aState, std::vector<VmEntry> const& aVms);

/// How far a table revision has been rolled out.
enum class RolloutState
{
  /// No majority is known to have it: members may still extend leases under an older table.
  Pending,
  /// A majority of the active epoch has it: no lease under an older table can be extended.
  Accepted,
  /// Every member either has it or holds no lease.
  InForceEverywhere,
};

/// Returns how far aRevision has been rolled out. aAcceptedAt is when it was first seen as accepted, if it was.
RolloutState
RolloutStateOf(MembershipState const& aState,
               Revision aRevision,
               std::optional<MonotonicTime> aAcceptedAt,
               MonotonicTime aNow);

}
