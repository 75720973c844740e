#include "RelayService.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

static constexpr Duration kTickInterval = 250ms;
static constexpr Duration kMaxPollTime = 5s;
/// Changes of several kinds or from several sources that closely follow each other are sent together.
static constexpr Duration kAnswerDelay = 20ms;
/// By then, changes have arrived by a shorter way than from a relay in another data centre.
static constexpr Duration kNoticeDelay = 150ms;
/// Bounds the memory and the link of a relay; further followers are answered at once and told to choose another one.
static constexpr std::size_t kMaxFollowers = 256;

static Duration
ChangeDelay(PollKind aKind)
{
  return aKind == PollKind::Notice ? kNoticeDelay : Duration::zero();
}

static bool
HasNewerRevision(std::vector<StorePosition> const& aRevisions, std::vector<StorePosition> const& aThan)
{
  for (std::size_t index = 0; index < std::min(aRevisions.size(), aThan.size()); ++index)
    if (aRevisions[index] > aThan[index])
      return true;
  return false;
}

/// Whether any of the revisions is of an earlier era of the store.
static bool
IsOfFormerEra(std::vector<StorePosition> const& aRevisions, std::uint64_t aEra)
{
  return std::ranges::any_of(aRevisions,
                             [&](StorePosition aRevision) { return aRevision != 0 && EraOf(aRevision) < aEra; });
}

static std::string
NameInHistory(unsigned aKind, LoggedObject const& aObject)
{
  return std::to_string(aKind) + "/" + aObject.name;
}

RelayService::RelayService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , peers(aKernel.Find<FrontPeers>(GatewayName::kPeers))
  , presence(aKernel.Find<PresenceService>(GatewayName::kPresence))
{
  constexpr std::uint64_t kSteps = 1000;
  this->fallbackSpread = kMaxFallbackSpread * std::int64_t(StableHash(this->settings.name) % kSteps) / kSteps;
}

void
RelayService::UpdateRoles()
{
  auto const former = std::exchange(
    this->roles,
    AssignRoles(this->stateCache.Fronts(), this->presence.OwnEntry(), this->settings.seeds, this->clock.Now()));
  if (former.isRelay != this->roles.isRelay || former.checker != this->roles.checker)
    PART_LOG("relay") << "event=roles relay=" << this->roles.isRelay << " checker="
                      << (this->roles.checker             ? this->roles.checker->address
                          : this->roles.fleetHasFollowers ? "each-relay"
                                                          : "this-front");
}

void
RelayService::Start()
{
  // Without a known front, the seeds watch the store from the start and the others follow them.
  this->UpdateRoles();
  this->subscription.use = this->roles.isRelay ? StoreUse::Watch : StoreUse::None;
  this->stateCache.AddChangeListener([this] { this->OnStateChanged(); });
  this->stateCache.Start(this->subscription.use);
  this->clock.Schedule(kTickInterval, [this] { this->Tick(); });
}

void
RelayService::Tick()
{
  this->clock.Schedule(kTickInterval, [this] { this->Tick(); });
  this->UpdateRoles();
  this->Update();
}

void
RelayService::OnStateChanged()
{
  this->RememberDocuments();
  if (!this->answersScheduled) {
    this->answersScheduled = true;
    this->clock.Schedule(kAnswerDelay, [this] { this->AnswerPolls(); });
  }
  if (!this->following)
    this->Update();
}

void
RelayService::Update()
{
  if (!this->stateCache.IsLoaded())
    return;
  if (!this->following) {
    this->following = true;
    this->subscription.confirmed = this->clock.Now();
  }
  auto const decisions = DecideSubscription(this->subscription, this->roles, this->fallbackSpread, this->clock.Now());
  this->stateCache.SetStoreUse(decisions.use);
  this->stateCache.CheckStore(this->roles, !this->polls.empty());
  for (auto const& poll : decisions.polls)
    this->Poll(poll);
}

void
RelayService::Poll(RelayPoll const& aPoll)
{
  FollowRequest request{ this->stateCache.Revisions(), aPoll.wait, aPoll.kind, {} };
  if (!std::exchange(this->needsWholeDocuments, false))
    for (auto const& entry : this->documents.entries)
      request.bases.push_back(entry.hash);
  // A relay responds no later than after the wait.
  auto const sentBefore = this->clock.Now() + aPoll.wait;
  auto const onResponse = [this, address = aPoll.address, sentBefore](std::optional<FollowResponse> aResponse) {
    if (aResponse) {
      auto const delay = std::max<Duration>(this->clock.Now() - sentBefore, Duration::zero());
      this->OnResponse(address, std::move(*aResponse), delay);
    } else {
      PART_WARNING("relay") << "event=no-response address=" << address
                            << " age_ms=" << Milliseconds(this->stateCache.Age());
      OnRelayFailure(this->subscription, address, this->clock.Now());
    }
    this->Update();
  };
  this->peers.Follow(aPoll.address, request, onResponse);
}

void
RelayService::OnResponse(std::string const& aAddress, FollowResponse aResponse, Duration aDelay)
{
  auto const now = this->clock.Now();
  // What was recent in a former era of the store says nothing about the restored one.
  bool const formerEra = IsOfFormerEra(aResponse.revisions, this->stateCache.Era());
  bool const old = aResponse.age > kMaxRelayedAge || formerEra;
  bool const changed = old ? this->oldRelays.insert(aAddress).second : this->oldRelays.erase(aAddress) != 0;
  if (changed)
    PART_LOG("relay") << "event=" << (old ? "old-state" : "recent-state") << " address=" << aAddress
                      << " relay_age_ms=" << Milliseconds(aResponse.age)
                      << " age_ms=" << Milliseconds(this->stateCache.Age());
  bool const missesChanges =
    aResponse.updates.empty() && HasNewerRevision(aResponse.revisions, this->stateCache.Revisions());
  auto const provenAt = now - aDelay - aResponse.age;
  if (!missesChanges && !formerEra)
    this->stateCache.BeginRelayedChanges(provenAt);
  for (auto& update : aResponse.updates) {
    if (this->RestoreDocuments(update)) {
      this->stateCache.ApplyRelayed(static_cast<ObjectKind>(update.kind), update.update);
      continue;
    }
    PART_WARNING("relay") << "event=unusable-differences address=" << aAddress << " kind=" << update.kind;
    this->needsWholeDocuments = true;
  }
  // An update that does not continue this front's state is not applied.
  bool const hasNews = HasNewerRevision(aResponse.revisions, this->stateCache.Revisions());
  if (!hasNews && !formerEra)
    this->stateCache.Confirm(provenAt);
  RelayStatus const status{ formerEra ? Duration::max() : aResponse.age, aResponse.watchesStore, hasNews, aDelay };
  OnRelayResponse(this->subscription, aAddress, status, now);
}

void
RelayService::RememberDocuments()
{
  this->stateCache.ForEachDocument([this](ObjectKind aKind, LoggedObject const& aObject) {
    if (aObject.document->size() >= kLargeDocument)
      Remember(this->documents, NameInHistory(unsigned(aKind), aObject), aObject.revision, *aObject.document);
  });
}

void
RelayService::ShortenDocuments(FollowResponse::KindUpdate& aUpdate, std::vector<std::uint64_t> const& aBases)
{
  for (auto& object : aUpdate.update.objects) {
    if (!object.document || object.document->size() < kLargeDocument)
      continue;
    auto delta = FindDelta(this->documents, NameInHistory(aUpdate.kind, object), object.revision, aBases);
    if (!delta)
      continue;
    aUpdate.deltas[object.name] = std::move(delta);
    object.document.reset();
  }
}

bool
RelayService::RestoreDocuments(FollowResponse::KindUpdate& aUpdate) const
{
  for (auto& object : aUpdate.update.objects) {
    auto const delta = aUpdate.deltas.find(object.name);
    if (delta == aUpdate.deltas.end())
      continue;
    auto const base = FindDocument(this->documents, delta->second->base);
    object.document = base ? ApplyDelta(*base, *delta->second) : std::nullopt;
    if (!object.document)
      return false;
  }
  return true;
}

FollowResponse
RelayService::MakeResponse(FollowRequest const& aRequest)
{
  FollowResponse response;
  response.revisions = this->stateCache.Revisions();
  response.age = this->stateCache.Age();
  response.watchesStore = this->subscription.use != StoreUse::None;
  if (aRequest.kind == PollKind::Notice)
    return response;
  for (auto& [kind, update] : this->stateCache.UpdatesSince(aRequest.revisions)) {
    response.updates.push_back({ unsigned(kind), std::move(update), {} });
    this->ShortenDocuments(response.updates.back(), aRequest.bases);
  }
  return response;
}

CancelAction
RelayService::Serve(FollowRequest aRequest, FollowCallback aDone)
{
  auto const id = ++this->lastPoll;
  auto const wait = std::clamp<Duration>(aRequest.wait, Duration::zero(), kMaxPollTime);
  if (this->polls.size() >= kMaxFollowers) {
    auto response = this->MakeResponse(aRequest);
    response.watchesStore = false;
    this->clock.Schedule(Duration::zero(),
                         [response = std::move(response), aDone = std::move(aDone)] { aDone(response); });
    return [] {};
  }
  bool const newer = HasNewerRevision(this->stateCache.Revisions(), aRequest.revisions);
  auto const delay = newer ? std::min(wait, ChangeDelay(aRequest.kind)) : wait;
  auto& poll = this->polls[id];
  poll.request = std::move(aRequest);
  poll.done = std::move(aDone);
  poll.timer = this->clock.Schedule(delay, [this, id] { this->AnswerPoll(id); });
  return [this, id] {
    auto const found = this->polls.find(id);
    if (found == this->polls.end())
      return;
    this->clock.Cancel(found->second.timer);
    this->polls.erase(found);
  };
}

void
RelayService::AnswerPoll(std::uint64_t aPoll)
{
  auto const found = this->polls.find(aPoll);
  if (found == this->polls.end())
    return;
  auto const poll = std::move(found->second);
  this->polls.erase(found);
  this->clock.Cancel(poll.timer);
  poll.done(this->MakeResponse(poll.request));
}

void
RelayService::AnswerPolls()
{
  this->answersScheduled = false;
  auto const revisions = this->stateCache.Revisions();
  std::vector<std::uint64_t> changed;
  for (auto& [id, poll] : this->polls)
    if (HasNewerRevision(revisions, poll.request.revisions))
      changed.push_back(id);
  for (auto const id : changed) {
    auto& poll = this->polls.at(id);
    if (poll.request.kind == PollKind::Changes) {
      this->AnswerPoll(id);
    } else if (!std::exchange(poll.noticeScheduled, true)) {
      this->clock.Cancel(poll.timer);
      poll.timer = this->clock.Schedule(ChangeDelay(poll.request.kind), [this, id] { this->AnswerPoll(id); });
    }
  }
}

}
