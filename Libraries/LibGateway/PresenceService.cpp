#include "PresenceService.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

/// A dead front must be out of the directory within the platform's contact time and 3 s; two failed probes take about
/// 1.5 s.
static constexpr Duration kProbeInterval = 500ms;
static constexpr unsigned kFailuresToRemove = 2;
/// A front that enters itself again is alive, and only the way to it is broken; it is removed again after this many
/// more failures, in case it has died since.
static constexpr unsigned kFailuresToRemoveAgain = 12;
static constexpr std::size_t kFrontsWatched = 2;
/// After a call to the store without an answer this front may be the one that is cut off; probes that failed meanwhile
/// tell nothing of their fronts.
static constexpr Duration kDoubtTime = 3s;
static constexpr Duration kEnterRetry = 500ms;
/// How long a front that starts waits for the store before it asks its peers.
static constexpr Duration kPeerPatience = 700ms;

PresenceService::PresenceService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , store(aKernel.Find<StoreClient>(GatewayName::kStore))
  , peers(aKernel.Find<FrontPeers>(GatewayName::kPeers))
  // It only tells processes apart; a time of day that jumps does no harm.
  , incarnation(this->clock.WallNow().time_since_epoch().count())
{
  this->self = { this->settings.name,        this->settings.callerAddress,
                 this->settings.peerAddress, this->settings.dataCenter,
                 this->incarnation,          this->settings.cores };
}

void
PresenceService::Start()
{
  this->stateCache.OnChange([this] { this->Enter(); });
  this->clock.Schedule(kProbeInterval, [this] { this->Probe(); });
  this->clock.Schedule(kPeerPatience, [this] { this->AskPeers(); });
}

void
PresenceService::Enter()
{
  if (this->entering || this->leaving || !this->stateCache.Complete() || !this->stateCache.StoreIsReached())
    return;
  auto const known = this->stateCache.Fronts().byName.find(this->settings.name);
  bool const listed = known != this->stateCache.Fronts().byName.end();
  if (listed && known->second.entry == this->self)
    return;
  this->entering = true;
  auto const done = [this](Platform::WriteResult aResult) { this->OnEntered(std::move(aResult)); };
  auto const value = Platform::EncodeFront(this->self);
  if (listed)
    this->store.Replace(ObjectKind::Front, this->settings.name, known->second.revision, value, done);
  else
    this->store.Create(ObjectKind::Front, this->settings.name, value, done);
}

void
PresenceService::OnEntered(Platform::WriteResult aResult)
{
  // After a lost answer or a conflict the watch shows what is there; the next look acts on it.
  PART_LOG("presence") << "event=enter outcome=" << ToString(aResult.outcome) << " incarnation=" << this->incarnation;
  if (aResult.outcome == Platform::StoreOutcome::Done && aResult.object)
    ApplyFront(this->stateCache.Fronts(), this->self, aResult.object->revision);
  if (this->leaving) {
    this->Leave();
    return;
  }
  this->Retry();
}

void
PresenceService::Retry()
{
  this->clock.Schedule(kEnterRetry, [this] {
    this->entering = false;
    this->Enter();
  });
}

void
PresenceService::Leave()
{
  this->leaving = true;
  auto const revision = this->stateCache.OwnRevision();
  if (revision == 0)
    return;
  this->store.Remove(ObjectKind::Front, this->settings.name, revision, [this](Platform::WriteResult aResult) {
    PART_LOG("presence") << "event=leave outcome=" << ToString(aResult.outcome);
    using Platform::StoreOutcome;
    if (aResult.outcome == StoreOutcome::Done || aResult.outcome == StoreOutcome::NotFound)
      return;
    if (aResult.outcome == StoreOutcome::Conflict && aResult.object)
      ApplyFront(this->stateCache.Fronts(), this->self, aResult.object->revision);
    this->clock.Schedule(kEnterRetry, [this] { this->Leave(); });
  });
}

void
PresenceService::Probe()
{
  auto const now = this->clock.Now();
  for (auto const& front : FrontsToWatch(this->stateCache.Fronts(), this->settings.name, kFrontsWatched, now))
    this->ProbeFront(front.entry);
  this->clock.Schedule(kProbeInterval, [this] { this->Probe(); });
}

void
PresenceService::ProbeFront(FrontEntry const& aFront)
{
  auto& watched = this->watched[aFront.name];
  if (watched.incarnation != aFront.incarnation)
    watched = { aFront.incarnation, 0 };
  this->peers.Ping(aFront.peerAddress, [this, aFront](std::optional<std::int64_t> aAnswer) {
    // A process that starts again at the address enters itself anew.
    if (aAnswer && *aAnswer == aFront.incarnation) {
      this->watched[aFront.name].failures = 0;
      TrustFront(this->stateCache.Fronts(), aFront.name);
      return;
    }
    this->OnProbeFailed(aFront);
  });
}

void
PresenceService::OnProbeFailed(FrontEntry const& aFront)
{
  auto& watched = this->watched[aFront.name];
  SuspectFront(this->stateCache.Fronts(), aFront.name, this->clock.Now());
  if (!this->stateCache.StoreIsReached())
    this->doubtUntil = this->clock.Now() + kDoubtTime;
  if (this->clock.Now() < this->doubtUntil) {
    watched.failures = 0;
    return;
  }
  ++watched.failures;
  if (watched.failures % kFailuresToRemoveAgain == kFailuresToRemove)
    this->RemoveDead(aFront);
}

void
PresenceService::RemoveDead(FrontEntry const& aFront)
{
  auto& watched = this->watched[aFront.name];
  auto const known = this->stateCache.Fronts().byName.find(aFront.name);
  if (this->leaving || known == this->stateCache.Fronts().byName.end())
    return;
  PART_WARNING("presence") << "event=remove-dead front=" << aFront.name << " incarnation=" << aFront.incarnation
                           << " failures=" << watched.failures
                           << " beliefs_age_ms=" << Milliseconds(this->stateCache.Age());
  this->store.Remove(
    ObjectKind::Front, aFront.name, known->second.revision, [this, aFront](Platform::WriteResult aResult) {
      PART_LOG("presence") << "event=removed-dead front=" << aFront.name << " outcome=" << ToString(aResult.outcome);
      using Platform::StoreOutcome;
      if (aResult.outcome == StoreOutcome::Refused || aResult.outcome == StoreOutcome::Unknown)
        this->doubtUntil = this->clock.Now() + kDoubtTime;
    });
}

void
PresenceService::AskPeers()
{
  if (this->stateCache.Complete() || this->settings.seeds.empty())
    return;
  auto const& seed = this->settings.seeds[this->seedsAsked++ % this->settings.seeds.size()];
  this->clock.Schedule(kPeerPatience, [this] { this->AskPeers(); });
  if (seed == this->settings.peerAddress)
    return;
  this->peers.FetchKnownObjects(seed, [this, seed](std::optional<std::vector<KnownObject>> aObjects) {
    if (!aObjects || this->stateCache.Complete())
      return;
    PART_LOG("presence") << "event=taken-from-peer address=" << seed << " objects=" << aObjects->size();
    for (auto const& object : *aObjects)
      this->stateCache.TakeFromPeer(static_cast<ObjectKind>(object.kind), object.document);
  });
}

}
