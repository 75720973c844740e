#include "Membership.h"
#include <algorithm>

namespace Hornbeam {

static bool
IsSelf(MembershipState const& aState, Member const& aMember)
{
  return aMember.name == aState.self.name && aMember.incarnation == aState.self.incarnation;
}

static bool
IsMember(MembershipState const& aState)
{
  return aState.record &&
         std::ranges::any_of(aState.record->members, [&](Member const& aMember) { return IsSelf(aState, aMember); });
}

static PeerView const*
ViewOf(MembershipState const& aState, Member const& aMember)
{
  auto const found = aState.peers.find(aMember.name);
  if (found == aState.peers.end() || found->second.incarnation != aMember.incarnation)
    return nullptr;
  return &found->second;
}

bool
IsKnownEpochActive(MembershipState const& aState)
{
  return aState.record && aState.activeEpoch >= aState.record->epoch;
}

bool
IsKnownTerminated(MembershipState const& aState, Member const& aMember)
{
  if (IsSelf(aState, aMember))
    return false;
  if (aMember.name == aState.self.name)
    return aMember.incarnation < aState.self.incarnation;
  if (aState.unlistedAddresses.contains(aMember.peerAddress))
    return true;
  auto const found = aState.peers.find(aMember.name);
  return found != aState.peers.end() && found->second.incarnation > aMember.incarnation;
}

/// Returns the latest send time acknowledged by a majority of the members. This front acknowledges itself at aNow.
static std::optional<MonotonicTime>
MajorityAcknowledgedSentAt(MembershipState const& aState, MonotonicTime aNow)
{
  std::vector<MonotonicTime> acknowledged;
  for (auto const& member : aState.record->members) {
    if (IsSelf(aState, member)) {
      acknowledged.push_back(aNow);
      continue;
    }
    auto const* const view = ViewOf(aState, member);
    if (view != nullptr && view->acknowledgedSentAt)
      acknowledged.push_back(*view->acknowledgedSentAt);
  }
  auto const majority = MajorityOf(aState.record->members.size());
  if (acknowledged.size() < majority)
    return std::nullopt;
  std::ranges::sort(acknowledged, std::greater());
  return acknowledged[majority - 1];
}

std::optional<MonotonicTime>
LeaseExpiry(MembershipState const& aState, MonotonicTime aNow)
{
  if (!IsKnownEpochActive(aState) || !IsMember(aState))
    return std::nullopt;
  auto sentAt = MajorityAcknowledgedSentAt(aState, aNow);
  if (aState.storeAcknowledgedSentAt)
    sentAt = sentAt ? std::max(*sentAt, *aState.storeAcknowledgedSentAt) : *aState.storeAcknowledgedSentAt;
  if (!sentAt)
    return std::nullopt;
  return *sentAt + aState.settings.leaseDuration;
}

EpochRecord const*
RecordInForce(MembershipState const& aState, MonotonicTime aNow)
{
  auto const expiry = LeaseExpiry(aState, aNow);
  if (expiry && aNow < *expiry)
    return &*aState.record;
  bool const outgoing = !IsKnownEpochActive(aState) && aState.previousLease && aNow < aState.previousLease->expiry;
  return outgoing ? &aState.previousLease->record : nullptr;
}

bool
HoldsLease(MembershipState const& aState, MonotonicTime aNow)
{
  return RecordInForce(aState, aNow) != nullptr;
}

std::vector<Member>
PeersToContact(MembershipState const& aState)
{
  std::vector<Member> peers;
  if (!aState.record)
    return peers;
  auto const add = [&](Member const& aMember) {
    bool const known = FindMember(peers, aMember.name) != nullptr;
    if (aMember.name != aState.self.name && !known)
      peers.push_back(aMember);
  };
  std::ranges::for_each(aState.record->members, add);
  if (!IsKnownEpochActive(aState))
    std::ranges::for_each(aState.record->previous, add);
  return peers;
}

Heartbeat
MakeHeartbeat(MembershipState const& aState, EpochNumber aKnownByPeer)
{
  Heartbeat heartbeat;
  heartbeat.name = aState.self.name;
  heartbeat.incarnation = aState.self.incarnation;
  heartbeat.knownEpoch = aState.record ? aState.record->epoch : 0;
  heartbeat.activeEpoch = aState.activeEpoch;
  heartbeat.table = aState.table;
  heartbeat.mode = aState.mode;
  if (aState.record && aKnownByPeer < aState.record->epoch)
    heartbeat.record = aState.record;
  return heartbeat;
}

/// The number of previous members known to have received the record or to have terminated, and the newest table known
/// to those that received it.
struct Handover
{
  std::size_t informed{ 0 };
  std::size_t terminated{ 0 };
  Revision newestTable{ 0 };
};

static Handover
CountHandover(MembershipState const& aState)
{
  Handover handover;
  for (auto const& member : aState.record->previous) {
    if (IsSelf(aState, member)) {
      ++handover.informed;
      continue;
    }
    auto const* const view = ViewOf(aState, member);
    if (view != nullptr && view->knownEpoch >= aState.record->epoch) {
      ++handover.informed;
      handover.newestTable = std::max(handover.newestTable, view->table);
      continue;
    }
    if (IsKnownTerminated(aState, member))
      ++handover.terminated;
  }
  return handover;
}

/// Returns true if this front's table is at least as new as any table accepted in the previous epoch. This is confirmed
/// either by a majority of the previous members, or by a store read after a majority had received the record, because
/// from then on no table can be accepted in the previous epoch.
static bool
IsTableConfirmed(MembershipState const& aState, Handover const& aHandover)
{
  if (aState.storeAcknowledgedSentAt && *aState.storeAcknowledgedSentAt >= *aState.majorityInformedAt)
    return true;
  auto const& previous = aState.record->previous;
  return !previous.empty() && aHandover.informed >= MajorityOf(previous.size()) &&
         aHandover.newestTable <= aState.table;
}

static void
Activate(MembershipState& aState, std::string aReason, MembershipDecisions& aDecisions)
{
  aState.activeEpoch = aState.record->epoch;
  aDecisions.push_back({ MembershipAction::EpochActivated, *aState.record, "", std::move(aReason) });
  aDecisions.push_back({ MembershipAction::SendHeartbeats, {}, "", "the epoch has become active" });
}

static void
ActivateIfDue(MembershipState& aState, MonotonicTime aNow, MembershipDecisions& aDecisions)
{
  if (!aState.record || IsKnownEpochActive(aState))
    return;
  for (auto const& [name, view] : aState.peers) {
    if (view.activeEpoch >= aState.record->epoch && view.table <= aState.table) {
      Activate(aState, name + " reports that it is active", aDecisions);
      return;
    }
  }
  auto const handover = CountHandover(aState);
  if (aState.record->previous.empty()) {
    if (aState.storeAcknowledgedSentAt)
      Activate(aState, "there is no previous epoch", aDecisions);
    return;
  }
  bool const majorityInformed = handover.informed + handover.terminated >= MajorityOf(aState.record->previous.size());
  if (!majorityInformed)
    return;
  if (!aState.majorityInformedAt)
    aState.majorityInformedAt = aNow;
  auto const wait = aState.settings.leaseDuration + aState.settings.driftAllowance;
  if (aNow < *aState.majorityInformedAt + wait || !IsTableConfirmed(aState, handover))
    return;
  Activate(aState, "all leases of the previous epoch have expired", aDecisions);
}

/// Replaces the known record with a newer one and discards the acknowledgements of the older epoch.
static bool
AdoptRecord(MembershipState& aState, EpochRecord const& aRecord, StoreVersion aVersion, MonotonicTime aNow)
{
  auto const known = aState.record ? aState.record->epoch : 0;
  if (aRecord.epoch < known)
    return false;
  if (aVersion != 0)
    aState.recordVersion = aVersion;
  if (aRecord.epoch == known)
    return false;
  if (auto const expiry = LeaseExpiry(aState, aNow))
    aState.previousLease = PreviousLease{ *aState.record, *expiry };
  aState.record = aRecord;
  if (aVersion == 0)
    aState.recordVersion = 0;
  aState.majorityInformedAt.reset();
  aState.storeAcknowledgedSentAt.reset();
  aState.storeReadRequestedAt.reset();
  for (auto& [name, view] : aState.peers) {
    view.acknowledgedSentAt.reset();
    auto const* const member = FindMember(aRecord.members, name);
    if (member == nullptr || member->incarnation != view.incarnation)
      view.monitoredSince.reset();
  }
  return true;
}

static MembershipDecisions
AfterRecordChange(MembershipState& aState, MonotonicTime aNow)
{
  MembershipDecisions decisions;
  decisions.push_back({ MembershipAction::SendHeartbeats, {}, "", "a newer record was received" });
  ActivateIfDue(aState, aNow, decisions);
  return decisions;
}

/// Creates the next record: the current members without aRemoved and those known to have terminated, plus aAdded.
static EpochRecord
NextRecord(MembershipState const& aState, std::set<std::string> const& aRemoved, std::optional<Member> const& aAdded)
{
  EpochRecord next;
  next.epoch = aState.record->epoch + 1;
  next.previous = aState.record->members;
  for (auto const& member : aState.record->members) {
    bool const replaced = aAdded && aAdded->name == member.name;
    if (!replaced && !aRemoved.contains(member.name) && !IsKnownTerminated(aState, member))
      next.members.push_back(member);
  }
  if (aAdded)
    next.members.push_back(*aAdded);
  return next;
}

static bool
IsResponsive(MembershipState const& aState, Member const& aMember, MonotonicTime aNow)
{
  auto const* const view = ViewOf(aState, aMember);
  if (view == nullptr || !view->respondedSentAt)
    return false;
  return aNow - *view->respondedSentAt < 3 * aState.settings.heartbeatInterval;
}

static bool
IsRemovalDue(MembershipState const& aState, Member const& aMember, MonotonicTime aNow)
{
  auto const found = aState.peers.find(aMember.name);
  if (found == aState.peers.end())
    return false;
  auto const& view = found->second;
  auto since = view.monitoredSince;
  if (view.incarnation == aMember.incarnation && view.respondedSentAt)
    since = since ? std::max(*since, *view.respondedSentAt) : view.respondedSentAt;
  return since && aNow - *since >= aState.settings.removalDelay;
}

/// Returns the members to remove. Unresponsive members are removed only while a majority responds, because a front that
/// is partitioned from the others must not remove them.
static std::set<std::string>
MembersToRemove(MembershipState const& aState, MonotonicTime aNow)
{
  std::set<std::string> removed;
  std::size_t responsive = 1;
  for (auto const& member : aState.record->members) {
    if (IsSelf(aState, member))
      continue;
    if (IsKnownTerminated(aState, member))
      removed.insert(member.name);
    else if (IsResponsive(aState, member, aNow))
      ++responsive;
  }
  if (responsive < MajorityOf(aState.record->members.size()))
    return removed;
  for (auto const& member : aState.record->members) {
    if (!IsSelf(aState, member) && IsRemovalDue(aState, member, aNow))
      removed.insert(member.name);
  }
  return removed;
}

/// Only the first responsive member removes others, to avoid conflicting writes of the record.
static bool
IsFirstResponsive(MembershipState const& aState, MonotonicTime aNow)
{
  for (auto const& member : aState.record->members) {
    if (IsSelf(aState, member))
      return true;
    if (IsResponsive(aState, member, aNow))
      return false;
  }
  return false;
}

static void
Propose(MembershipState& aState,
        EpochRecord aRecord,
        std::string aReason,
        MonotonicTime aNow,
        MembershipDecisions& aDecisions)
{
  if (aState.recordVersion == 0) {
    aState.nextWriteAt = aNow + aState.settings.writeBackoff;
    aDecisions.push_back({ MembershipAction::ReadRecord, {}, "", "the version of the record is unknown" });
    return;
  }
  aState.writing = true;
  aDecisions.push_back({ MembershipAction::WriteRecord, std::move(aRecord), "", std::move(aReason) });
}

static void
ProposeIfDue(MembershipState& aState, MonotonicTime aNow, MembershipDecisions& aDecisions)
{
  if (aState.writing || (aState.nextWriteAt && aNow < *aState.nextWriteAt))
    return;
  if (!aState.record) {
    aState.nextWriteAt = aNow + aState.settings.writeBackoff;
    aDecisions.push_back({ MembershipAction::ReadRecord, {}, "", "no record is known" });
    return;
  }
  if (!IsKnownEpochActive(aState))
    return;
  bool const member = IsMember(aState);
  // NOTE: Two processes with the same name are a configuration error; the later process keeps the name.
  auto const* const namesake = FindMember(aState.record->members, aState.self.name);
  if (namesake != nullptr && namesake->incarnation > aState.self.incarnation)
    return;
  if (!member && aState.mode == ServingMode::Serving) {
    Propose(aState, NextRecord(aState, {}, aState.self), "this front joins", aNow, aDecisions);
    return;
  }
  if (member && aState.leaving && aState.record->members.size() > 1) {
    auto next = NextRecord(aState, { aState.self.name }, std::nullopt);
    next.drained.push_back(aState.self.name);
    Propose(aState, std::move(next), "this front leaves", aNow, aDecisions);
    return;
  }
  if (!member || !HoldsLease(aState, aNow) || !IsFirstResponsive(aState, aNow))
    return;
  auto const removed = MembersToRemove(aState, aNow);
  if (removed.empty())
    return;
  std::string names;
  for (auto const& name : removed)
    names += (names.empty() ? "" : ", ") + name;
  Propose(aState, NextRecord(aState, removed, std::nullopt), "unresponsive members: " + names, aNow, aDecisions);
}

/// Requests a store read if the peers do not extend the lease, or if an epoch is waiting for a confirmed table.
static void
RequestStoreReadIfDue(MembershipState& aState, MonotonicTime aNow, MembershipDecisions& aDecisions)
{
  if (!aState.record)
    return;
  auto const& requestedAt = aState.storeReadRequestedAt;
  if (requestedAt && aNow - *requestedAt < aState.settings.heartbeatInterval)
    return;
  if (IsKnownEpochActive(aState)) {
    auto const expiry = LeaseExpiry(aState, aNow);
    bool const isFresh = expiry && *expiry - aNow > aState.settings.leaseDuration / 2;
    if (isFresh || !IsMember(aState))
      return;
  }
  aState.storeReadRequestedAt = aNow;
  aDecisions.push_back({ MembershipAction::AcknowledgeThroughStore, {}, "", "the lease is not extended by peers" });
}

MembershipDecisions
OnTick(MembershipState& aState, MonotonicTime aNow)
{
  MembershipDecisions decisions;
  auto const& sentAt = aState.heartbeatSentAt;
  if (!sentAt || aNow - *sentAt >= aState.settings.heartbeatInterval) {
    aState.heartbeatSentAt = aNow;
    for (auto const& peer : PeersToContact(aState)) {
      auto& view = aState.peers[peer.name];
      if (!view.monitoredSince)
        view.monitoredSince = aNow;
    }
    decisions.push_back({ MembershipAction::SendHeartbeats, {}, "", "" });
  }
  ActivateIfDue(aState, aNow, decisions);
  RequestStoreReadIfDue(aState, aNow, decisions);
  ProposeIfDue(aState, aNow, decisions);
  return decisions;
}

/// Processes the record and the table in a heartbeat or a heartbeat response.
static void
ApplyHeartbeat(MembershipState& aState,
               Heartbeat const& aHeartbeat,
               MonotonicTime aNow,
               MembershipDecisions& aDecisions)
{
  if (aHeartbeat.record && AdoptRecord(aState, *aHeartbeat.record, 0, aNow)) {
    for (auto& decision : AfterRecordChange(aState, aNow))
      aDecisions.push_back(std::move(decision));
  }
  if (aHeartbeat.table > aState.table)
    aDecisions.push_back({ MembershipAction::FetchTable, {}, aHeartbeat.name, "the peer has a newer table" });
}

MembershipDecisions
OnHeartbeat(MembershipState& aState, Heartbeat const& aHeartbeat, MonotonicTime aNow)
{
  MembershipDecisions decisions;
  ApplyHeartbeat(aState, aHeartbeat, aNow, decisions);
  return decisions;
}

MembershipDecisions
OnHeartbeatResponse(MembershipState& aState, Heartbeat const& aResponse, MonotonicTime aSentAt, MonotonicTime aNow)
{
  MembershipDecisions decisions;
  auto& view = aState.peers[aResponse.name];
  if (aResponse.incarnation < view.incarnation)
    return decisions;
  if (aResponse.incarnation > view.incarnation) {
    auto const monitoredSince = view.monitoredSince;
    view = PeerView();
    view.monitoredSince = monitoredSince;
    view.incarnation = aResponse.incarnation;
  }
  ApplyHeartbeat(aState, aResponse, aNow, decisions);
  view.knownEpoch = std::max(view.knownEpoch, aResponse.knownEpoch);
  view.activeEpoch = std::max(view.activeEpoch, aResponse.activeEpoch);
  view.table = std::max(view.table, aResponse.table);
  view.mode = aResponse.mode;
  view.respondedSentAt = view.respondedSentAt ? std::max(*view.respondedSentAt, aSentAt) : aSentAt;
  auto const known = aState.record ? aState.record->epoch : 0;
  bool const acknowledges = aResponse.knownEpoch <= known && aResponse.table <= aState.table;
  if (acknowledges)
    view.acknowledgedSentAt = view.acknowledgedSentAt ? std::max(*view.acknowledgedSentAt, aSentAt) : aSentAt;
  ActivateIfDue(aState, aNow, decisions);
  return decisions;
}

MembershipDecisions
OnRecordRead(MembershipState& aState, EpochRecord const& aRecord, StoreVersion aVersion, MonotonicTime aNow)
{
  if (!AdoptRecord(aState, aRecord, aVersion, aNow))
    return {};
  return AfterRecordChange(aState, aNow);
}

MembershipDecisions
OnRecordAbsent(MembershipState& aState, MonotonicTime aNow)
{
  MembershipDecisions decisions;
  if (aState.record || aState.writing || aState.mode != ServingMode::Serving)
    return decisions;
  aState.writing = true;
  aState.nextWriteAt = aNow + aState.settings.writeBackoff;
  EpochRecord first{ 1, { aState.self }, {}, {} };
  decisions.push_back({ MembershipAction::WriteRecord, std::move(first), "", "the store holds no record" });
  return decisions;
}

MembershipDecisions
OnRecordWritten(MembershipState& aState,
                EpochRecord const& aRecord,
                StoreStatus aStatus,
                StoreVersion aVersion,
                MonotonicTime aNow)
{
  aState.writing = false;
  if (aStatus == StoreStatus::Ok)
    return OnRecordRead(aState, aRecord, aVersion, aNow);
  // This write or another front's may have been applied. Read the record to find out.
  aState.recordVersion = 0;
  aState.nextWriteAt = aNow + aState.settings.writeBackoff;
  MembershipDecisions decisions;
  decisions.push_back({ MembershipAction::ReadRecord, {}, "", "the write of the record is not confirmed" });
  return decisions;
}

MembershipDecisions
OnStoreAcknowledgement(MembershipState& aState,
                       EpochNumber aEpoch,
                       Revision aTable,
                       MonotonicTime aSentAt,
                       MonotonicTime aNow)
{
  MembershipDecisions decisions;
  bool const matches = aState.record && aState.record->epoch == aEpoch && aTable <= aState.table;
  if (!matches)
    return decisions;
  auto& acknowledged = aState.storeAcknowledgedSentAt;
  acknowledged = acknowledged ? std::max(*acknowledged, aSentAt) : aSentAt;
  ActivateIfDue(aState, aNow, decisions);
  return decisions;
}

MembershipDecisions
OnTableApplied(MembershipState& aState, Revision aTable, MonotonicTime aNow)
{
  MembershipDecisions decisions;
  if (aTable <= aState.table)
    return decisions;
  aState.table = aTable;
  decisions.push_back({ MembershipAction::SendHeartbeats, {}, "", "a newer table was applied" });
  ActivateIfDue(aState, aNow, decisions);
  return decisions;
}

void
OnVmList(MembershipState& aState, std::vector<VmEntry> const& aVms)
{
  aState.unlistedAddresses.clear();
  if (!aState.record)
    return;
  auto const addIfUnlisted = [&](Member const& aMember) {
    if (std::ranges::find(aVms, aMember.peerAddress, &VmEntry::address) == aVms.end())
      aState.unlistedAddresses.insert(aMember.peerAddress);
  };
  std::ranges::for_each(aState.record->members, addIfUnlisted);
  std::ranges::for_each(aState.record->previous, addIfUnlisted);
}

RolloutState
RolloutStateOf(MembershipState const& aState,
               Revision aRevision,
               std::optional<MonotonicTime> aAcceptedAt,
               MonotonicTime aNow)
{
  if (!IsKnownEpochActive(aState))
    return RolloutState::Pending;
  std::size_t upToDate = 0;
  for (auto const& member : aState.record->members) {
    if (IsSelf(aState, member)) {
      upToDate += aState.table >= aRevision ? 1 : 0;
      continue;
    }
    auto const* const view = ViewOf(aState, member);
    bool const isUpToDate = view != nullptr && view->table >= aRevision && view->knownEpoch <= aState.record->epoch;
    upToDate += isUpToDate ? 1 : 0;
  }
  if (upToDate == aState.record->members.size())
    return RolloutState::InForceEverywhere;
  // Once a table is accepted, leases under an older table cannot be extended and expire within one lease duration.
  auto const leaseTimeout = aState.settings.leaseDuration + aState.settings.driftAllowance;
  if (aAcceptedAt && aNow - *aAcceptedAt >= leaseTimeout)
    return RolloutState::InForceEverywhere;
  bool const accepted = aAcceptedAt || upToDate >= MajorityOf(aState.record->members.size());
  return accepted ? RolloutState::Accepted : RolloutState::Pending;
}

}
