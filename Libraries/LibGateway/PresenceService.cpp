#include "PresenceService.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

/// A dead front must be removed from the directory within 3 s plus the platform's contact time; two failed probes take
/// about 1.5 s.
static constexpr Duration kProbeInterval = 500ms;
static constexpr unsigned kFailuresBeforeRemoval = 2;
/// A removed front that registers again is alive but unreachable from here. It is removed again only after this many
/// more failures, in case it has died since.
static constexpr unsigned kFailuresBetweenRemovals = 12;
static constexpr std::size_t kProbedFronts = 2;
/// After a failed call to the store, this front itself may be isolated from the network; probes that fail within this
/// time do not count against other fronts.
static constexpr Duration kIsolationTime = 3s;
static constexpr Duration kRegistrationRetryDelay = 500ms;
/// A newer table usually arrives within one probe interval; a front that still lacks it after this many probes of
/// another front gets it from there. The store may hold an older table, restored from a copy.
static constexpr unsigned kProbesBeforeFetch = 2;
/// How long a starting front waits for the store before it fetches the state from a peer, and then for each peer.
static constexpr Duration kPeerFetchDelay = 700ms;

static std::vector<std::pair<ObjectKind, std::string>>
ToDocuments(std::vector<CachedObject> aObjects)
{
  std::vector<std::pair<ObjectKind, std::string>> documents;
  documents.reserve(aObjects.size());
  for (auto& object : aObjects)
    documents.emplace_back(static_cast<ObjectKind>(object.kind), std::move(object.document));
  return documents;
}

PresenceService::PresenceService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , store(aKernel.Find<StoreClient>(GatewayName::kStore))
  , peers(aKernel.Find<FrontPeers>(GatewayName::kPeers))
  // The incarnation only tells processes apart, so jumps of the wall clock are harmless.
  , incarnation(this->clock.WallNow().time_since_epoch().count())
  , random(std::random_device{}())
{
  this->ownEntry = { this->settings.name,        this->settings.callerAddress,
                     this->settings.peerAddress, this->settings.dataCenter,
                     this->incarnation,          this->settings.cores,
                     this->settings.region,      this->settings.tunnelAddress };
}

void
PresenceService::Start()
{
  this->stateCache.AddChangeListener([this] {
    // The entry may become known only after the front was told to stop.
    if (this->deregistering)
      this->Deregister();
    else
      this->Register();
  });
  this->clock.Schedule(kProbeInterval, [this] { this->Probe(); });
  this->clock.Schedule(kPeerFetchDelay, [this] { this->FetchFromPeers(); });
}

void
PresenceService::Register()
{
  if (this->registering || this->deregistering || !this->stateCache.IsInitialized() || !this->stateCache.IsCurrent())
    return;
  auto const known = this->stateCache.Fronts().byName.find(this->settings.name);
  bool const listed = known != this->stateCache.Fronts().byName.end();
  if (listed && known->second.entry == this->ownEntry) {
    this->wasRegistered = true;
    return;
  }
  this->registering = true;
  if (!this->wasRegistered) {
    this->WriteEntry();
    return;
  }
  // A store that was restored from a copy lacks the entries of many fronts at once, or has those of earlier processes.
  std::uniform_real_distribution<double> distribution;
  auto const spread = Seconds(RegistrationSpread(this->stateCache.Fronts().byName.size()));
  this->wasRegistered = false;
  this->clock.Schedule(FromSeconds(spread * distribution(this->random)), [this] {
    this->registering = false;
    this->Register();
  });
}

void
PresenceService::WriteEntry()
{
  auto const revision = this->stateCache.OwnRevision();
  auto const done = [this](Platform::WriteResult aResult) { this->OnRegistered(std::move(aResult)); };
  auto const value = Platform::EncodeFront(this->ownEntry);
  if (revision != 0)
    this->store.Replace(ObjectKind::Front, this->settings.name, revision, value, done);
  else
    this->store.Create(ObjectKind::Front, this->settings.name, value, done);
}

void
PresenceService::OnRegistered(Platform::WriteResult aResult)
{
  // After a lost response or a conflict, the watch reports the actual entry, and the next call of Register() acts on
  // it.
  PART_LOG("presence") << "event=register outcome=" << ToString(aResult.outcome)
                       << " incarnation=" << this->incarnation;
  if (aResult.outcome == Platform::StoreOutcome::Done && aResult.object)
    ApplyFront(this->stateCache.Fronts(), this->ownEntry, aResult.object->revision);
  if (this->deregistering) {
    this->Deregister();
    return;
  }
  this->ScheduleRegistrationRetry();
}

void
PresenceService::ScheduleRegistrationRetry()
{
  this->clock.Schedule(kRegistrationRetryDelay, [this] {
    this->registering = false;
    this->Register();
  });
}

void
PresenceService::Deregister()
{
  this->deregistering = true;
  auto const revision = this->stateCache.OwnRevision();
  if (revision == 0 || std::exchange(this->removing, true))
    return;
  this->store.Remove(ObjectKind::Front, this->settings.name, revision, [this](Platform::WriteResult aResult) {
    PART_LOG("presence") << "event=deregister outcome=" << ToString(aResult.outcome);
    using Platform::StoreOutcome;
    if (aResult.outcome == StoreOutcome::Done || aResult.outcome == StoreOutcome::NotFound) {
      this->stateCache.Fronts().byName.erase(this->settings.name);
      this->removing = false;
      return;
    }
    if (aResult.outcome == StoreOutcome::Conflict && aResult.object)
      ApplyFront(this->stateCache.Fronts(), this->ownEntry, aResult.object->revision);
    this->clock.Schedule(kRegistrationRetryDelay, [this] {
      this->removing = false;
      this->Deregister();
    });
  });
}

void
PresenceService::Probe()
{
  this->clock.Schedule(kProbeInterval, [this] { this->Probe(); });
  auto const now = this->clock.Now();
  for (auto const& front : FrontsToWatch(this->stateCache.Fronts(), this->settings.name, kProbedFronts, now))
    this->ProbeFront(front.entry);
}

void
PresenceService::ProbeFront(FrontEntry const& aFront)
{
  auto& probeState = this->probeStates[aFront.name];
  if (probeState.incarnation != aFront.incarnation)
    probeState = { aFront.incarnation, 0 };
  this->peers.Ping(aFront.peerAddress, [this, aFront](std::optional<PeerStatus> aStatus) {
    if (aStatus)
      this->OnProbeAnswered(aFront, *aStatus);
    // Another incarnation is a restarted process, which registers itself; this entry's process is dead.
    if (!aStatus || aStatus->incarnation != aFront.incarnation)
      this->OnProbeFailed(aFront);
  });
}

void
PresenceService::OnProbeAnswered(FrontEntry const& aFront, PeerStatus const& aStatus)
{
  auto& probeState = this->probeStates[aFront.name];
  if (aStatus.incarnation == aFront.incarnation) {
    probeState.failures = 0;
    TrustFront(this->stateCache.Fronts(), aFront.name);
  }
  this->stateCache.NoteEraOfPeer(aStatus.storeEra);
  bool const newer = aStatus.tableVersion > this->Status().tableVersion;
  probeState.newerTables = newer ? probeState.newerTables + 1 : 0;
  if (probeState.newerTables >= kProbesBeforeFetch && aStatus.tableVersion != probeState.fetchedTable)
    this->FetchNewerTable(aFront, aStatus.tableVersion);
}

void
PresenceService::FetchNewerTable(FrontEntry const& aFront, std::uint64_t aVersion)
{
  // A table that is refused here is not fetched again.
  this->probeStates[aFront.name].fetchedTable = aVersion;
  this->peers.FetchCachedState(aFront.peerAddress, [this, aFront, aVersion](std::optional<CachedState> aState) {
    PART_LOG("presence") << "event=newer-table-fetched address=" << aFront.peerAddress << " version=" << aVersion
                         << " answered=" << aState.has_value();
    if (aState)
      this->stateCache.ApplyNewerTable(ToDocuments(std::move(aState->objects)));
    else
      this->probeStates[aFront.name].fetchedTable = 0;
  });
}

PeerStatus
PresenceService::Status() const
{
  auto const table = this->stateCache.Table();
  return { this->incarnation, table ? table->version : 0, this->stateCache.Era() };
}

void
PresenceService::OnProbeFailed(FrontEntry const& aFront)
{
  auto& probeState = this->probeStates[aFront.name];
  SuspectFront(this->stateCache.Fronts(), aFront.name, this->clock.Now());
  if (!this->stateCache.IsCurrent())
    this->possiblyIsolatedUntil = this->clock.Now() + kIsolationTime;
  if (this->clock.Now() < this->possiblyIsolatedUntil) {
    probeState.failures = 0;
    return;
  }
  ++probeState.failures;
  if (probeState.failures % kFailuresBetweenRemovals == kFailuresBeforeRemoval)
    this->RemoveDeadFront(aFront);
}

void
PresenceService::RemoveDeadFront(FrontEntry const& aFront)
{
  auto& probeState = this->probeStates[aFront.name];
  auto const known = this->stateCache.Fronts().byName.find(aFront.name);
  if (this->deregistering || known == this->stateCache.Fronts().byName.end())
    return;
  PART_WARNING("presence") << "event=remove-dead front=" << aFront.name << " incarnation=" << aFront.incarnation
                           << " failures=" << probeState.failures
                           << " beliefs_age_ms=" << Milliseconds(this->stateCache.Age());
  this->store.Remove(
    ObjectKind::Front, aFront.name, known->second.revision, [this, aFront](Platform::WriteResult aResult) {
      PART_LOG("presence") << "event=removed-dead front=" << aFront.name << " outcome=" << ToString(aResult.outcome);
      using Platform::StoreOutcome;
      if (aResult.outcome == StoreOutcome::Outdated)
        this->probeStates[aFront.name].failures = 0;
      if (aResult.outcome == StoreOutcome::Refused || aResult.outcome == StoreOutcome::Unknown)
        this->possiblyIsolatedUntil = this->clock.Now() + kIsolationTime;
    });
}

void
PresenceService::FetchFromPeers()
{
  if (this->stateCache.IsInitialized() || this->settings.seeds.empty())
    return;
  auto const& seed = this->settings.seeds[this->seedsTried++ % this->settings.seeds.size()];
  this->clock.Schedule(kPeerFetchDelay, [this] { this->FetchFromPeers(); });
  if (seed == this->settings.peerAddress)
    return;
  this->peers.FetchCachedState(seed, [this, seed](std::optional<CachedState> aState) {
    if (!aState || this->stateCache.IsInitialized())
      return;
    PART_LOG("presence") << "event=state-fetched-from-peer address=" << seed << " objects=" << aState->objects.size()
                         << " coverage=" << unsigned(aState->coverage);
    this->stateCache.ApplyFromSeed(ToDocuments(std::move(aState->objects)), aState->coverage);
  });
}

}
