#include "MembershipService.h"
#include "ConfigurationService.h"
#include "GrantKeys.h"
#include <algorithm>

namespace Hornbeam {

static constexpr Duration kTickInterval = 50ms;
static constexpr Duration kVmListInterval = 5s;
/// Delay before the watch is restarted when the store has not responded.
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
MembershipService::AvailableMembers() const
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
    // A restarted process at the member's address is available only once it is a member itself.
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
MembershipService::OnEpochActivated(std::function<void(EpochRecord const&)> aCallback)
{
  this->epochCallbacks.push_back(std::move(aCallback));
}

void
MembershipService::OnLeaseChange(std::function<void(bool)> aCallback)
{
  this->leaseCallbacks.push_back(std::move(aCallback));
}

void
MembershipService::BeginDraining()
{
  this->state.mode = ServingMode::Draining;
  PART_LOG("membership") << "draining: new callers are no longer sent to this front.";
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
  this->Execute(OnTick(this->state, this->clock.Now()));
  this->CheckLease();
  this->clock.Schedule(kTickInterval, [this] { this->Tick(); });
}

void
MembershipService::CheckLease()
{
  bool const holds = this->HoldsLeaseNow();
  if (holds == this->hadLease)
    return;
  this->hadLease = holds;
  auto const epoch = this->state.record ? this->state.record->epoch : 0;
  if (holds)
    PART_LOG("membership") << "acquired the lease in epoch " << epoch << ".";
  else
    PART_WARNING("membership") << "the lease in epoch " << epoch << " ended; no new work is accepted.";
  for (auto const& callback : this->leaseCallbacks)
    callback(holds);
}

void
MembershipService::Execute(MembershipDecisions const& aDecisions)
{
  for (auto const& decision : aDecisions)
    this->Execute(decision);
  this->CheckLease();
}

void
MembershipService::Execute(MembershipDecision const& aDecision)
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
      this->AcknowledgeThroughStore();
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
      for (auto const& callback : this->epochCallbacks)
        callback(aDecision.record);
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
    this->peers.heartbeat(peer, MakeHeartbeat(this->state, known), [this, sentAt](std::optional<Heartbeat> aResponse) {
      if (aResponse)
        this->Execute(OnHeartbeatResponse(this->state, *aResponse, sentAt, this->clock.Now()));
    });
  }
}

Heartbeat
MembershipService::HandleHeartbeat(Heartbeat const& aHeartbeat)
{
  auto const decisions = OnHeartbeat(this->state, aHeartbeat, this->clock.Now());
  auto response = MakeHeartbeat(this->state, aHeartbeat.knownEpoch);
  // Executing the decisions may change this front's state, so the response is made first.
  this->clock.Schedule(Duration::zero(), [this, decisions] { this->Execute(decisions); });
  return response;
}

void
MembershipService::HandleTableRevision(Revision aRevision)
{
  this->Execute(OnTableApplied(this->state, aRevision, this->clock.Now()));
}

void
MembershipService::WriteRecord(MembershipDecision const& aDecision)
{
  auto const record = aDecision.record;
  auto const expected = this->state.record ? this->state.recordVersion : 0;
  PART_LOG("membership") << "writing epoch " << record.epoch << " with " << record.members.size()
                         << " members: " << aDecision.reason << ".";
  this->store.write(this->RecordKey(), EncodeRecord(record), expected, [this, record](StoreResponse aResponse) {
    this->Execute(OnRecordWritten(this->state, record, aResponse.status, aResponse.version, this->clock.Now()));
  });
}

void
MembershipService::HandleRecord(StoreResponse const& aResponse)
{
  if (aResponse.status == StoreStatus::Absent) {
    this->Execute(OnRecordAbsent(this->state, this->clock.Now()));
    return;
  }
  if (aResponse.status != StoreStatus::Ok)
    return;
  LastReason reason;
  auto const record = DecodeRecord(aResponse.value, reason);
  if (!record) {
    PART_WARNING("membership") << reason.detail << ".";
    return;
  }
  this->Execute(OnRecordRead(this->state, *record, aResponse.version, this->clock.Now()));
}

void
MembershipService::ReadRecord()
{
  this->store.read(this->RecordKey(), [this](StoreResponse aResponse) { this->HandleRecord(aResponse); });
}

void
MembershipService::AcknowledgeThroughStore()
{
  auto const sentAt = this->clock.Now();
  this->store.read(this->RecordKey(), [this, sentAt](StoreResponse aResponse) {
    this->HandleRecord(aResponse);
    if (aResponse.status != StoreStatus::Ok || !this->state.record)
      return;
    auto const epoch = this->state.record->epoch;
    auto& configuration = this->kernel.Find<ConfigurationService>(ServiceName::kConfiguration);
    configuration.ReadFromStore([this, sentAt, epoch](std::optional<Revision> aRevision) {
      if (aRevision)
        this->Execute(OnStoreAcknowledgement(this->state, epoch, *aRevision, sentAt, this->clock.Now()));
    });
  });
}

void
MembershipService::WatchRecord()
{
  this->store.watch(this->RecordKey(), this->watchedVersion, [this](StoreResponse aResponse) {
    if (aResponse.status == StoreStatus::Ok)
      this->watchedVersion = aResponse.version;
    this->HandleRecord(aResponse);
    bool const responded = aResponse.status == StoreStatus::Ok || aResponse.status == StoreStatus::Unchanged;
    this->clock.Schedule(responded ? Duration::zero() : kWatchBackoff, [this] { this->WatchRecord(); });
  });
}

void
MembershipService::PollVmList()
{
  this->store.listVms([this](VmListResponse aResponse) {
    if (aResponse.status != StoreStatus::Ok)
      return;
    OnVmList(this->state, aResponse.vms);
    this->leavingAddresses.clear();
    for (auto const& vm : aResponse.vms) {
      if (vm.state == VmState::Leaving)
        this->leavingAddresses.insert(vm.address);
    }
  });
  this->clock.Schedule(kVmListInterval, [this] { this->PollVmList(); });
}

}
