#include "FleetLoad.h"
#include <algorithm>

namespace Hornbeam::Gateway {

static constexpr Duration kStoreTime = 4ms;
static constexpr Duration kPeerTime = 2ms;
/// As in the front: changes that closely follow each other are fetched, and answered, together.
static constexpr Duration kEventBatchDelay = 400ms;
static constexpr Duration kAnswerDelay = 20ms;
static constexpr Duration kNoticeDelay = 150ms;
static constexpr Duration kTickInterval = 250ms;
static constexpr Duration kPollTimeoutMargin = 700ms;
static constexpr Duration kRetryDelay = 200ms;
static constexpr Duration kKeepAliveTime = 3s;

FleetLoad::FleetLoad(unsigned aFronts, unsigned aDataCenters)
{
  this->clock.Advance(10s);
  this->store[Kind::Front].revision = this->store[Kind::Endpoint].revision = this->revision;
  for (unsigned index = 0; index < aFronts; ++index) {
    auto const name = "front-" + std::to_string(index);
    auto& front = this->fronts[name];
    front.entry.name = name;
    front.entry.peerAddress = name;
    front.entry.dataCenter = "dc-" + std::to_string(index % aDataCenters);
    front.entry.incarnation = 1;
    front.entry.cores = index % 4 == 0 ? 0.12 : 0.5;
    if (index < 3)
      this->seeds.push_back(name);
  }
}

void
FleetLoad::After(Front& aFront, Duration aDelay, std::function<void()> aAction)
{
  this->clock.Schedule(aDelay, [&aFront, process = aFront.process, aAction = std::move(aAction)] {
    if (aFront.alive && aFront.process == process)
      aAction();
  });
}

void
FleetLoad::Start()
{
  for (auto& [name, front] : this->fronts)
    this->Restart(name);
}

void
FleetLoad::Restart(std::string const& aFront)
{
  auto& front = this->Find(aFront);
  auto const entry = front.entry;
  auto const process = front.process + 1;
  front = {};
  front.entry = entry;
  front.entry.incarnation = process;
  front.process = process;
  front.alive = true;
  front.aliveSince = this->clock.Now();
  front.logs[Kind::Front];
  front.logs[Kind::Endpoint];
  front.roles = AssignRoles(front.fronts, front.entry, this->seeds, this->clock.Now());
  front.subscription.use = front.roles.isRelay ? StoreUse::Watch : StoreUse::None;
  front.watching = front.roles.isRelay;
  front.watches = 1;
  this->List(front, Kind::Front);
  this->List(front, Kind::Endpoint);
  this->Tick(front);
}

void
FleetLoad::Kill(std::string const& aFront)
{
  auto& front = this->Find(aFront);
  front.alive = false;
  // Its neighbours remove its entry after two failed probes.
  this->clock.Schedule(1500ms, [this, aFront] {
    if (!this->Find(aFront).alive && this->store[Kind::Front].entries[aFront].object.document) {
      ++this->storeCalls;
      ApplyUpdate(this->store[Kind::Front],
                  { false, this->store[Kind::Front].revision, ++this->revision, { { aFront, this->revision, {} } } });
      this->Write(Kind::Front, "");
    }
  });
}

void
FleetLoad::CutFromStore(std::string const& aFront)
{
  auto& front = this->Find(aFront);
  front.cutFromStore = true;
  this->After(front, kKeepAliveTime, [&front] { front.cutDetected = true; });
}

bool
FleetLoad::TakeStoreCall()
{
  ++this->storeCalls;
  auto const now = this->clock.Now();
  if (now - this->storeSecond >= 1s) {
    this->storeSecond = now;
    this->storeReadsInSecond = 0;
  }
  if (++this->storeReadsInSecond <= this->storeReadsPerSecond)
    return true;
  ++this->refusedCalls;
  return false;
}

void
FleetLoad::List(Front& aFront, Kind aKind)
{
  bool const taken = this->TakeStoreCall();
  this->After(aFront, kStoreTime, [this, &aFront, aKind, taken, watches = aFront.watches] {
    if (!taken || aFront.cutFromStore) {
      this->After(aFront, kRetryDelay, [this, &aFront, aKind] { this->List(aFront, aKind); });
      return;
    }
    ObjectUpdate update{ true, 0, this->store[aKind].revision, {} };
    for (auto const& [name, entry] : this->store[aKind].entries)
      if (entry.object.document)
        update.objects.push_back(entry.object);
    this->Apply(aFront, aKind, update);
    if (aFront.watching)
      this->Watch(aFront, aKind, watches);
  });
}

void
FleetLoad::Watch(Front& aFront, Kind aKind, unsigned aWatches)
{
  if (!aFront.watching || aFront.watches != aWatches)
    return;
  this->TakeStoreCall();
  this->pendingWatches.push_back({ aFront.entry.name, aKind, aWatches, aFront.process });
  if (this->store[aKind].revision > aFront.logs[aKind].revision)
    this->Write(aKind, "");
}

/// Writes an object unless the name is empty, and answers the watches.
void
FleetLoad::Write(Kind aKind, std::string const& aName)
{
  auto& log = this->store[aKind];
  if (!aName.empty()) {
    auto const next = ++this->revision;
    ApplyUpdate(log, { false, log.revision, next, { { aName, next, aName + "@" + std::to_string(next) } } });
  }
  auto const woken = std::move(this->pendingWatches);
  this->pendingWatches.clear();
  for (auto const& watch : woken) {
    auto& front = this->Find(watch.front);
    if (!front.alive || front.process != watch.process || front.watches != watch.watches)
      continue;
    if (watch.kind != aKind || front.cutFromStore || log.revision <= front.logs[aKind].revision) {
      this->pendingWatches.push_back(watch);
      continue;
    }
    this->After(front, kStoreTime, [this, &front, watch] {
      this->Apply(front, watch.kind, UpdateSince(this->store[watch.kind], front.logs[watch.kind].revision));
      this->After(front, kEventBatchDelay, [this, &front, watch] { this->Watch(front, watch.kind, watch.watches); });
    });
  }
}

bool
FleetLoad::IsLoaded(Front& aFront)
{
  return aFront.logs[Kind::Front].revision != 0 && aFront.logs[Kind::Endpoint].revision != 0;
}

void
FleetLoad::Apply(Front& aFront, Kind aKind, ObjectUpdate const& aUpdate)
{
  if (aFront.frozen)
    return;
  auto const before = aFront.logs[aKind].revision;
  for (auto const& object : ApplyUpdate(aFront.logs[aKind], aUpdate)) {
    if (aKind == Kind::Endpoint)
      aFront.learntAt.emplace(object.revision, this->clock.Now());
    else if (object.document)
      ApplyFront(aFront.fronts, this->Find(object.name).entry, object.revision);
    else
      aFront.fronts.byName.erase(object.name);
  }
  if (aFront.logs[aKind].revision != before)
    this->OnChanged(aFront);
}

void
FleetLoad::OnChanged(Front& aFront)
{
  if (!this->IsLoaded(aFront))
    return;
  if (!aFront.registered) {
    aFront.registered = true;
    ++this->storeCalls;
    this->After(aFront, kStoreTime, [this, &aFront] { this->Write(Kind::Front, aFront.entry.name); });
    this->Update(aFront);
  }
  this->After(aFront, kAnswerDelay, [this, &aFront] {
    for (auto const& poll : this->polls)
      if (poll->to == aFront.entry.name && HasNews(aFront, *poll))
        this->After(aFront, poll->kind == PollKind::Notice ? kNoticeDelay : Duration::zero(), [this, poll] {
          this->Answer(poll);
        });
    std::erase_if(this->polls, [](auto const& aPoll) { return aPoll->answered; });
  });
}

bool
FleetLoad::HasNews(Front& aFront, Poll const& aPoll)
{
  return std::ranges::any_of(aPoll.revisions,
                             [&](auto const& aKnown) { return aFront.logs[aKnown.first].revision > aKnown.second; });
}

Duration
FleetLoad::AgeOf(Front& aFront)
{
  if (aFront.watching && !aFront.cutDetected)
    return Duration::zero();
  return this->clock.Now() - aFront.subscription.confirmed;
}

void
FleetLoad::Tick(Front& aFront)
{
  aFront.roles = AssignRoles(aFront.fronts, aFront.entry, this->seeds, this->clock.Now());
  if (!aFront.frozen && this->IsLoaded(aFront))
    this->Update(aFront);
  this->After(aFront, kTickInterval, [this, &aFront] { this->Tick(aFront); });
}

void
FleetLoad::Update(Front& aFront)
{
  if (aFront.subscription.confirmed == MonotonicTime())
    aFront.subscription.confirmed = this->clock.Now();
  auto const now = this->clock.Now();
  auto const spread = kMaxFallbackSpread * std::int64_t(StableHash(aFront.entry.name) % 1000) / 1000;
  auto const decisions = DecideSubscription(aFront.subscription, aFront.roles, spread, now);
  this->SetUse(aFront, decisions.use);
  for (auto const& poll : decisions.polls)
    this->SendPoll(aFront, poll);
}

void
FleetLoad::SetUse(Front& aFront, StoreUse aUse)
{
  bool const watching = aUse != StoreUse::None;
  if (watching == aFront.watching)
    return;
  aFront.watching = watching;
  ++aFront.watches;
  if (!watching)
    return;
  this->List(aFront, Kind::Front);
  this->List(aFront, Kind::Endpoint);
}

void
FleetLoad::SendPoll(Front& aFront, RelayPoll const& aPoll)
{
  auto& relay = this->Find(aPoll.address);
  auto const poll =
    std::make_shared<Poll>(Poll{ aFront.entry.name, aPoll.address, aFront.process, relay.process, {}, aPoll.kind });
  for (auto const& [kind, log] : aFront.logs)
    poll->revisions[kind] = log.revision;
  auto const fail = [this, &aFront, poll] {
    if (std::exchange(poll->answered, true))
      return;
    OnRelayFailure(aFront.subscription, poll->to, this->clock.Now());
    this->Update(aFront);
  };
  if (!relay.alive) {
    this->After(aFront, 2 * kPeerTime, fail);
    return;
  }
  this->After(aFront, aPoll.wait + kPollTimeoutMargin, fail);
  this->After(relay, kPeerTime, [this, &relay, poll, wait = aPoll.wait] {
    this->polls.push_back(poll);
    auto const followers = std::ranges::count_if(
      this->polls, [&](auto const& aOther) { return !aOther->answered && aOther->to == relay.entry.name; });
    this->maxFollowers = std::max(this->maxFollowers, std::size_t(followers));
    auto const delay = poll->kind == PollKind::Notice ? kNoticeDelay : Duration::zero();
    this->After(relay, HasNews(relay, *poll) ? std::min(wait, delay) : wait, [this, poll] { this->Answer(poll); });
  });
}

void
FleetLoad::Answer(std::shared_ptr<Poll> const& aPoll)
{
  auto& relay = this->Find(aPoll->to);
  if (aPoll->answered || relay.frozen)
    return;
  aPoll->answered = true;
  auto& from = this->Find(aPoll->from);
  std::vector<std::pair<Kind, ObjectUpdate>> updates;
  std::map<Kind, std::uint64_t> revisions;
  for (auto const& [kind, known] : aPoll->revisions) {
    revisions[kind] = relay.logs[kind].revision;
    if (aPoll->kind == PollKind::Changes)
      updates.emplace_back(kind, UpdateSince(relay.logs[kind], known));
    if (!updates.empty() && relay.entry.dataCenter != from.entry.dataCenter)
      this->remoteObjects += updates.back().second.objects.size();
  }
  RelayStatus const status{ this->AgeOf(relay), relay.watching };
  this->After(from, kPeerTime, [this, &from, aPoll, updates = std::move(updates), revisions, status] {
    if (from.process != aPoll->fromProcess || from.frozen)
      return;
    for (auto const& [kind, update] : updates)
      this->Apply(from, kind, update);
    auto applied = status;
    for (auto const& [kind, revision] : revisions)
      applied.hasNews = applied.hasNews || revision > from.logs[kind].revision;
    OnRelayResponse(from.subscription, aPoll->to, applied, this->clock.Now());
    this->Update(from);
  });
}

void
FleetLoad::Change()
{
  this->Write(Kind::Endpoint, "endpoint-" + std::to_string(this->changes.size() % 100));
  this->changes[this->revision] = this->clock.Now();
}

void
FleetLoad::RunFor(Duration aTime)
{
  this->clock.Advance(aTime);
}

std::vector<std::string>
FleetLoad::Names() const
{
  std::vector<std::string> names;
  for (auto const& [name, front] : this->fronts)
    names.push_back(name);
  return names;
}

std::set<std::string>
FleetLoad::Watching() const
{
  std::set<std::string> names;
  for (auto const& [name, front] : this->fronts)
    if (front.alive && front.watching)
      names.insert(name);
  return names;
}

std::size_t
FleetLoad::CountServing() const
{
  return std::size_t(std::ranges::count_if(
    this->fronts, [](auto const& aEntry) { return aEntry.second.alive && aEntry.second.registered; }));
}

Duration
FleetLoad::LongestDelay() const
{
  Duration longest{ 0 };
  for (auto const& [name, front] : this->fronts) {
    if (!front.alive || front.frozen)
      continue;
    for (auto const& [revision, changedAt] : this->changes) {
      if (changedAt < front.aliveSince)
        continue;
      // A later change of the same object, or a list, may have replaced this one.
      auto const learnt = front.learntAt.lower_bound(revision);
      auto const at = learnt == front.learntAt.end() ? this->clock.Now() : learnt->second;
      longest = std::max<Duration>(longest, at - changedAt);
    }
  }
  return longest;
}

void
FleetLoad::ResetFigures()
{
  this->storeCalls = 0;
  this->refusedCalls = 0;
  this->maxFollowers = 0;
  this->remoteObjects = 0;
  this->changes.clear();
}

}
