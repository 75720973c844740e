#include "MembershipService.h"
#include "ConfigurationService.h"
#include "GrantKeys.h"
#include <algorithm>

namespace Hornbeam {

static constexpr Duration kTickInterval = 50ms;
static constexpr Duration kVmListInterval = 5s;
/// How long the watch pauses after the store gave no answer.
static constexpr Duration kWatchBackoff = 500ms;

MembershipService::MembershipService(Kernel& aKernel, Incarnation aIncarnation)
  : kernel(aKernel)
  , clock(aKernel.Find<Clock>(ServiceName::kClock))
  , store(aKernel.Find<StorePort>(ServiceName::kStorePort))
  , peers(aKernel.Find<PeerPort>(ServiceName::kPeerPort))
  , settings(aKernel.Find<FrontSettings const>(ServiceName::kSettings))
{
  this->state.settings = this->settings.membership;
  this->state.self = { this->settings.name,
                       aIncarnation,
                       this->settings.peerAddress,
                       this->settings.callerAddress,
                       this->settings.dataCenter };
}

void
MembershipService::Start()
{
  this->Tick();
  this->WatchRecord();
  this->PollVmList();
}

std::string
MembershipService::RecordKey() const
{
  return this->settings.deployment + "/membership";
}

bool
MembershipService::HoldsLeaseNow() const
{
  return HoldsLease(this->state, this->clock.Now());
}

EpochRecord const*
MembershipService::ActiveRecord() const
{
  return RecordInForce(this->state, this->clock.Now());
}

Member const*
MembershipService::FindKnownMember(std::string const& aName, Incarnation aIncarnation) const
{
  if (!this->state.record)
    return nullptr;
  auto const* const member = FindMember(this->state.record->members, aName);
  return member != nullptr && member->incarnation == aIncarnation ? member : nullptr;
}

bool
MembershipService::IsMemberHolder(std::string const& aHolder) const
{
  if (!this->state.record)
    return false;
  return std::ranges::any_of(this->state.record->members,
                             [&](Member const& aMember) { return aHolder == HolderName(aMember); });
}

std::vector<Member>
MembershipService::MembersToHandOut() const
{
  std::vector<Member> members;
  if (!this->state.record)
    return members;
  auto const now = this->clock.Now();
  for (auto const& member : this->state.record->members) {
    if (member == this->state.self) {
      if (this->state.mode == ServingMode::Serving)
        members.push_back(member);
      continue;
    }
    auto const found = this->state.peers.find(member.name);
    if (found == this->state.peers.end() || !found->second.respondedSentAt)
      continue;
    // A later process at the member's address serves only once it is a member itself.
    if (found->second.incarnation != member.incarnation)
      continue;
    bool const fresh = now - *found->second.respondedSentAt < this->state.settings.leaseDuration;
    if (fresh && found->second.mode == ServingMode::Serving)
      members.push_back(member);
  }
  return members;
}

bool
MembershipService::IsLeavingAddress(std::string const& aAddress) const
{
  return this->leavingAddresses.contains(aAddress);
}

void
MembershipService::OnEpochActivated(std::function<void(EpochRecord const&)> aAction)
{
  this->epochActions.push_back(std::move(aAction));
}

void
MembershipService::OnLeaseChange(std::function<void(bool)> aAction)
{
  this->leaseActions.push_back(std::move(aAction));
}

void
MembershipService::BeginDrain()
{
  this->state.mode = ServingMode::Draining;
  PART_LOG("membership") << "this front drains: it is no longer handed out.";
  this->SendHeartbeats();
}

void
MembershipService::Leave()
{
  this->state.leaving = true;
}

void
MembershipService::Tick()
{
  this->CarryOut(OnTick(this->state, this->clock.Now()));
  this->CheckLease();
  this->clock.Schedule(kTickInterval, [this] { this->Tick(); });
}

void
MembershipService::CheckLease()
{
  bool const holds = this->HoldsLeaseNow();
  if (holds == this->heldLease)
    return;
  this->heldLease = holds;
  auto const epoch = this->state.record ? this->state.record->epoch : 0;
  if (holds)
    PART_LOG("membership") << "took the lease in epoch " << epoch << ".";
  else
    PART_WARNING("membership") << "the lease in epoch " << epoch << " ended; no new work is taken.";
  for (auto const& action : this->leaseActions)
    action(holds);
}

void
MembershipService::CarryOut(MembershipDecisions const& aDecisions)
{
  for (auto const& decision : aDecisions)
    this->CarryOut(decision);
  this->CheckLease();
}

void
MembershipService::CarryOut(MembershipDecision const& aDecision)
{
  switch (aDecision.action) {
    case MembershipAction::SendHeartbeats:
      this->SendHeartbeats();
      return;
    case MembershipAction::WriteRecord:
      this->WriteRecord(aDecision);
      return;
    case MembershipAction::ReadRecord:
      this->ReadRecord();
      return;
    case MembershipAction::AcknowledgeThroughStore:
      this->WitnessThroughStore();
      return;
    case MembershipAction::FetchTable: {
      auto const* const peer = FindMember(PeersToContact(this->state), aDecision.peer);
      if (peer != nullptr)
        this->kernel.Find<ConfigurationService>(ServiceName::kConfiguration).FetchFromPeer(*peer);
      return;
    }
    case MembershipAction::EpochActivated:
      PART_LOG("membership") << "epoch " << aDecision.record.epoch << " with " << aDecision.record.members.size()
                             << " members is active: " << aDecision.reason << ".";
      for (auto const& action : this->epochActions)
        action(aDecision.record);
      return;
  }
}

void
MembershipService::SendHeartbeats()
{
  auto const sentAt = this->clock.Now();
  for (auto const& peer : PeersToContact(this->state)) {
    auto const view = this->state.peers.find(peer.name);
    auto const known = view == this->state.peers.end() ? 0 : view->second.knownEpoch;
    this->peers.heartbeat(peer, MakeHeartbeat(this->state, known), [this, sentAt](std::optional<Heartbeat> aAnswer) {
      if (aAnswer)
        this->CarryOut(OnHeartbeatResponse(this->state, *aAnswer, sentAt, this->clock.Now()));
    });
  }
}

Heartbeat
MembershipService::HandleHeartbeat(Heartbeat const& aHeartbeat)
{
  auto const decisions = OnHeartbeat(this->state, aHeartbeat, this->clock.Now());
  auto answer = MakeHeartbeat(this->state, aHeartbeat.knownEpoch);
  // What follows may call back into this front's own state, so the answer is made first.
  this->clock.Schedule(Duration::zero(), [this, decisions] { this->CarryOut(decisions); });
  return answer;
}

void
MembershipService::HandleTableKnown(Revision aRevision)
{
  this->CarryOut(OnTableApplied(this->state, aRevision, this->clock.Now()));
}

void
MembershipService::WriteRecord(MembershipDecision const& aDecision)
{
  auto const record = aDecision.record;
  auto const expected = this->state.record ? this->state.recordVersion : 0;
  PART_LOG("membership") << "writes epoch " << record.epoch << " with " << record.members.size()
                         << " members: " << aDecision.reason << ".";
  this->store.write(this->RecordKey(), EncodeRecord(record), expected, [this, record](StoreResponse aAnswer) {
    this->CarryOut(OnRecordWritten(this->state, record, aAnswer.status, aAnswer.version, this->clock.Now()));
  });
}

void
MembershipService::TakeRecord(StoreResponse const& aAnswer)
{
  if (aAnswer.status == StoreStatus::Absent) {
    this->CarryOut(OnRecordAbsent(this->state, this->clock.Now()));
    return;
  }
  if (aAnswer.status != StoreStatus::Ok)
    return;
  LastReason reason;
  auto const record = DecodeRecord(aAnswer.value, reason);
  if (!record) {
    PART_WARNING("membership") << reason.detail << ".";
    return;
  }
  this->CarryOut(OnRecordRead(this->state, *record, aAnswer.version, this->clock.Now()));
}

void
MembershipService::ReadRecord()
{
  this->store.read(this->RecordKey(), [this](StoreResponse aAnswer) { this->TakeRecord(aAnswer); });
}

void
MembershipService::WitnessThroughStore()
{
  auto const sentAt = this->clock.Now();
  this->store.read(this->RecordKey(), [this, sentAt](StoreResponse aAnswer) {
    this->TakeRecord(aAnswer);
    if (aAnswer.status != StoreStatus::Ok || !this->state.record)
      return;
    auto const epoch = this->state.record->epoch;
    auto& configuration = this->kernel.Find<ConfigurationService>(ServiceName::kConfiguration);
    configuration.ReadFromStore([this, sentAt, epoch](std::optional<Revision> aRevision) {
      if (aRevision)
        this->CarryOut(OnStoreAcknowledgement(this->state, epoch, *aRevision, sentAt, this->clock.Now()));
    });
  });
}

void
MembershipService::WatchRecord()
{
  this->store.watch(this->RecordKey(), this->watchedVersion, [this](StoreResponse aAnswer) {
    if (aAnswer.status == StoreStatus::Ok)
      this->watchedVersion = aAnswer.version;
    this->TakeRecord(aAnswer);
    bool const answered = aAnswer.status == StoreStatus::Ok || aAnswer.status == StoreStatus::Unchanged;
    this->clock.Schedule(answered ? Duration::zero() : kWatchBackoff, [this] { this->WatchRecord(); });
  });
}

void
MembershipService::PollVmList()
{
  this->store.listVms([this](VmListResponse aAnswer) {
    if (aAnswer.status != StoreStatus::Ok)
      return;
    OnVmList(this->state, aAnswer.vms);
    this->leavingAddresses.clear();
    for (auto const& vm : aAnswer.vms) {
      if (vm.state == VmState::Leaving)
        this->leavingAddresses.insert(vm.address);
    }
  });
  this->clock.Schedule(kVmListInterval, [this] { this->PollVmList(); });
}

}
