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
/// The number of attempts that a route allows, and that a caller makes.
static constexpr unsigned kMaxTries = 2;
/// When a caller sends a request again that broke off.
static constexpr Duration kReturnDelay = 50ms;

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
  auto const fingerprint = "request-" + std::to_string(++this->sentSound);
  this->Send(
    this->Draw(this->settings.fronts), { { caller, 0 }, { document, 1 }, { fingerprint, kWholeRequest } }, false, 1);
  this->clock.Schedule(FromSeconds(2 * this->DrawShare() / this->settings.soundRate), [this] { this->SendSound(); });
}

void
CrashFleet::SendDead()
{
  std::vector<CrashCandidate> candidates;
  if (this->settings.dead == DeadKind::Part) {
    // The part is neither the first nor the one before the last.
    auto const fingerprint = "request-dead-" + std::to_string(++this->sentDead);
    candidates = { { "caller-0", 0 }, { "dead", 1 }, { "document-0", 2 }, { fingerprint, kWholeRequest } };
  } else {
    candidates = { { "caller-0", 0 }, { "document-0", 1 }, { "request-dead", kWholeRequest } };
  }
  this->Send(this->Draw(this->settings.fronts), candidates, true, 1);
  this->clock.Schedule(this->settings.deadInterval, [this] { this->SendDead(); });
}

std::optional<unsigned>
CrashFleet::DrawEndpoint()
{
  std::vector<unsigned> up;
  for (unsigned index = 0; index < this->endpoints.size(); ++index)
    if (!this->endpoints[index].down)
      up.push_back(index);
  if (up.empty())
    return std::nullopt;
  return up[this->Draw(unsigned(up.size()))];
}

void
CrashFleet::CrashAny()
{
  this->Crash(this->Draw(this->settings.endpoints));
  this->clock.Schedule(this->settings.otherCrashInterval, [this] { this->CrashAny(); });
}

void
CrashFleet::Send(unsigned aFront, std::vector<CrashCandidate> const& aCandidates, bool aDead, unsigned aTries)
{
  auto& front = this->fronts[aFront];
  auto const now = this->clock.Now();
  if (FindQuarantined(front.ledger, aCandidates, now)) {
    if (!aDead)
      this->soundRefused.push_back(now);
    return;
  }
  auto const drawn = this->DrawEndpoint();
  if (!drawn)
    return;
  auto const target = *drawn;
  auto const id = ++this->lastAttempt;
  front.attempts.running[id] = {
    ProcessOf(target, this->endpoints[target]), aCandidates, now, std::nullopt, {}, false
  };
  this->sent[id] = { aCandidates, aTries, aDead };
  if (aDead)
    this->deadSent.push_back(now);
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
    RecordHarmless(front.ledger, aAttempt.candidates, *aAttempt.begun, this->clock.Now());
    UpdateQuarantine(front.ledger, this->clock.Now());
  });
  after(kStreamTime, [this, &front, id](WatchedAttempt&) {
    front.attempts.running.erase(id);
    this->sent.erase(id);
  });
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
      auto const request = this->sent.extract(id);
      if (request.empty() || request.mapped().tries >= kMaxTries)
        continue;
      auto const& [candidates, tries, isDead] = request.mapped();
      if (!isDead)
        this->clock.Schedule(kReturnDelay, [this, candidates = candidates, tries = tries] {
          this->Send(this->Draw(this->settings.fronts), candidates, false, tries + 1);
        });
      else if (!(cause && IsSuspected(front.ledger, candidates, process, now)))
        this->Send(index, candidates, true, tries + 1);
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
  if (front.clearing || CandidatesToClear(front.ledger).empty())
    return;
  front.clearing = true;
  // A few fronts clear parts at once, the others only what is not cleared by then.
  bool const first = this->Draw(this->settings.fronts) < kFirstClearing;
  auto const delay = FromSeconds(first ? 0.3 * this->DrawShare() : 0.9 + 3 * this->DrawShare());
  this->clock.Schedule(delay, [this, aFront] {
    auto& current = this->fronts[aFront];
    current.clearing = false;
    for (auto const& [process, parts] : CandidatesToClear(current.ledger)) {
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
