#include "CrashFleet.h"
#include <algorithm>

namespace Hornbeam::Gateway {

static constexpr Duration kAnswerDelay = 70ms;
static constexpr Duration kCrashDelay = 60ms;
static constexpr Duration kStreamTime = 2500ms;
static constexpr Duration kDownTime = 2s;
static constexpr Duration kWriteTime = 30ms;
static constexpr unsigned kFirstClearing = 4;
static constexpr unsigned kCallers = 3;
static constexpr unsigned kDocuments = 20;
/// The number of attempts that a route allows.
static constexpr unsigned kMaxTries = 2;

CrashFleet::CrashFleet(CrashFleetSettings aSettings)
  : settings(aSettings)
  , random(aSettings.seed)
  , fronts(aSettings.fronts)
  , endpoints(aSettings.endpoints)
{
  for (unsigned index = 0; index < this->fronts.size(); ++index)
    this->fronts[index].name = "f" + std::to_string(index);
  this->SendSound();
  if (this->settings.deadInterval > Duration::zero())
    this->clock.Schedule(5s, [this] { this->SendDead(); });
  if (this->settings.otherCrashInterval > Duration::zero())
    this->clock.Schedule(5s, [this] { this->CrashAny(); });
}

void
CrashFleet::RunFor(Duration aTime)
{
  this->clock.Advance(aTime);
}

std::string
CrashFleet::ProcessOf(unsigned aEndpoint, Endpoint const& aState)
{
  return "e" + std::to_string(aEndpoint) + "." + std::to_string(aState.process);
}

void
CrashFleet::SendSound()
{
  auto const caller = "caller-" + std::to_string(this->Draw(kCallers));
  // The lower of two draws, so that some documents are more frequent than others.
  auto const document = "document-" + std::to_string(std::min(this->Draw(kDocuments), this->Draw(kDocuments)));
  ++this->sentSound;
  this->Send(this->Draw(this->settings.fronts), { { caller, 0 }, { document, 1 } }, false, 1);
  this->clock.Schedule(FromSeconds(2 * this->DrawShare() / this->settings.soundRate), [this] { this->SendSound(); });
}

void
CrashFleet::SendDead()
{
  // The part is neither the first nor the one before the last.
  this->Send(this->Draw(this->settings.fronts), { { "caller-0", 0 }, { "dead", 1 }, { "document-0", 2 } }, true, 1);
  this->clock.Schedule(this->settings.deadInterval, [this] { this->SendDead(); });
}

void
CrashFleet::CrashAny()
{
  this->Crash(this->Draw(this->settings.endpoints));
  this->clock.Schedule(this->settings.otherCrashInterval, [this] { this->CrashAny(); });
}

void
CrashFleet::Send(unsigned aFront, std::vector<PromptPart> const& aParts, bool aDead, unsigned aTries)
{
  auto& front = this->fronts[aFront];
  auto const now = this->clock.Now();
  if (QuarantineTimeLeft(front.ledger, aParts, now)) {
    if (!aDead)
      this->soundRefused.push_back(now);
    return;
  }
  auto target = this->Draw(this->settings.endpoints);
  while (this->endpoints[target].down)
    target = this->Draw(this->settings.endpoints);
  auto const id = ++this->lastAttempt;
  front.attempts.running[id] = { ProcessOf(target, this->endpoints[target]), aParts, now, std::nullopt, {}, false };
  if (aDead) {
    this->deadSent.push_back(now);
    this->deadAttempts[id] = { aFront, aParts, aTries };
  }
  auto const after = [this, aFront, id](Duration aDelay, std::function<void(WatchedAttempt&)> aAction) {
    this->clock.Schedule(aDelay, [this, aFront, id, aAction] {
      auto& running = this->fronts[aFront].attempts.running;
      if (auto const found = running.find(id); found != running.end())
        aAction(found->second);
    });
  };
  after(kAnswerDelay, [this](WatchedAttempt& aAttempt) { aAttempt.begun = this->clock.Now(); });
  if (aDead) {
    after(kAnswerDelay + kCrashDelay, [this, target](WatchedAttempt&) { this->Crash(target); });
    return;
  }
  after(kAnswerDelay + 1s, [this, &front](WatchedAttempt& aAttempt) {
    aAttempt.harmless = true;
    RecordHarmless(front.ledger, aAttempt.parts, *aAttempt.begun, this->clock.Now());
    UpdateQuarantine(front.ledger, this->clock.Now());
  });
  after(kStreamTime, [&front, id](WatchedAttempt&) { front.attempts.running.erase(id); });
}

void
CrashFleet::Crash(unsigned aEndpoint)
{
  auto& endpoint = this->endpoints[aEndpoint];
  if (endpoint.down)
    return;
  auto const now = this->clock.Now();
  auto const process = ProcessOf(aEndpoint, endpoint);
  this->crashes.push_back(now);
  endpoint.down = true;
  this->clock.Schedule(kDownTime, [&endpoint] {
    endpoint.down = false;
    ++endpoint.process;
  });
  for (unsigned index = 0; index < this->fronts.size(); ++index) {
    auto& front = this->fronts[index];
    std::vector<std::uint64_t> broken;
    for (auto const& [id, attempt] : front.attempts.running)
      if (attempt.process == process)
        broken.push_back(id);
    for (auto const id : broken) {
      bool const cause = RecordBroken(front.attempts, id, now, now);
      auto const dead = this->deadAttempts.extract(id);
      if (!dead.empty() && dead.mapped().tries < kMaxTries &&
          !(cause && IsSuspected(front.ledger, dead.mapped().parts, process, now)))
        this->Send(index, dead.mapped().parts, true, dead.mapped().tries + 1);
    }
    if (broken.empty() || front.decisionArmed)
      continue;
    front.decisionArmed = true;
    this->clock.Schedule(*CrashDecisionTime(front.attempts) - now, [this, index] { this->Decide(index); });
  }
}

void
CrashFleet::Decide(unsigned aFront)
{
  auto& front = this->fronts[aFront];
  auto const now = this->clock.Now();
  front.decisionArmed = false;
  for (auto const& report : TakeCrashes(front.attempts, front.ledger, front.name, now))
    if (RecordCrash(front.ledger, report, now) && this->DrawShare() >= this->settings.lostReports)
      this->clock.Schedule(kWriteTime, [this, aFront, process = report.process] { this->Write(aFront, process); });
  this->Update(aFront);
}

void
CrashFleet::Write(unsigned aFront, std::string const& aProcess)
{
  auto& stored = this->store[aProcess];
  stored.process = aProcess;
  if (!MergeReport(stored, this->fronts[aFront].ledger.crashes.at(aProcess).report))
    return;
  ++this->storeWrites;
  for (unsigned index = 0; index < this->fronts.size(); ++index)
    this->clock.Schedule(100ms + FromSeconds(1.1 * this->DrawShare()), [this, index, report = stored] {
      if (RecordCrash(this->fronts[index].ledger, report, this->clock.Now()))
        this->Update(index);
    });
}

void
CrashFleet::Update(unsigned aFront)
{
  auto& front = this->fronts[aFront];
  UpdateQuarantine(front.ledger, this->clock.Now());
  if (front.clearing || PartsToClear(front.ledger).empty())
    return;
  front.clearing = true;
  // A few fronts clear parts at once, the others only what is not cleared by then.
  bool const first = this->Draw(this->settings.fronts) < kFirstClearing;
  auto const delay = FromSeconds(first ? 0.3 * this->DrawShare() : 0.9 + 3 * this->DrawShare());
  this->clock.Schedule(delay, [this, aFront] {
    auto& current = this->fronts[aFront];
    current.clearing = false;
    for (auto const& [process, parts] : PartsToClear(current.ledger)) {
      auto report = current.ledger.crashes.at(process).report;
      report.cleared.insert(parts.begin(), parts.end());
      if (RecordCrash(current.ledger, report, this->clock.Now()))
        this->clock.Schedule(kWriteTime, [this, aFront, process] { this->Write(aFront, process); });
    }
  });
}

std::size_t
CrashFleet::CountDeadSentAfter(MonotonicTime aTime) const
{
  return std::size_t(std::ranges::count_if(this->deadSent, [&](auto aSent) { return aSent > aTime; }));
}

std::size_t
CrashFleet::CountSoundRefusedAfter(MonotonicTime aTime) const
{
  return std::size_t(std::ranges::count_if(this->soundRefused, [&](auto aRefused) { return aRefused > aTime; }));
}

std::map<std::string, std::size_t>
CrashFleet::Quarantined() const
{
  std::map<std::string, std::size_t> result;
  for (auto const& front : this->fronts)
    for (auto const& [part, quarantine] : front.ledger.quarantined)
      ++result[part];
  return result;
}

}
