#include "CrashService.h"
#include "GatewayNames.h"
#include <algorithm>

namespace Hornbeam::Gateway {

static constexpr Duration kUpdateInterval = 250ms;
/// Limits the writes of a front that sees many crashes.
static constexpr Duration kWriteInterval = 250ms;
static constexpr std::size_t kMaxUnpublished = 16;
/// A write that the store did not answer, or refused without telling a newer revision, is repeated after one to two
/// times this delay.
static constexpr Duration kRepeatDelay = 1s;
/// Reports that a restored store lost are written again within this time by one front each, and by the others if they
/// are still missing after that.
static constexpr Duration kRestoreTime = 1s;
/// Fronts that report the same crash at the same time add to the report one after the other.
static constexpr Duration kConflictDelay = 20ms;
static constexpr Duration kObsoleteInterval = 10s;
static constexpr std::size_t kMaxLoggedProcesses = 8;
/// Fronts clear a part after a random delay, and only if no other one did so meanwhile: a few chosen fronts first, the
/// others by the time they must have seen it.
static constexpr std::size_t kFirstClearing = 4;
static constexpr Duration kFirstClearingDelay = 300ms;
static constexpr Duration kLaterClearingDelay = 3s;

CrashService::CrashService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , store(aKernel.Find<StoreClient>(GatewayName::kStore))
  , random(std::random_device{}())
{
  this->stateCache.AddChangeListener([this] { this->OnStateChanged(); });
}

void
CrashService::Start()
{
  this->clock.Schedule(kObsoleteInterval, [this] { this->RemoveObsolete(); });
}

std::uint64_t
CrashService::OnAttemptSent(EndpointEntry const& aEndpoint, std::vector<CrashCandidate> const& aCandidates)
{
  auto const process = aEndpoint.id + "." + std::to_string(aEndpoint.incarnation);
  this->attempts.running[++this->lastAttempt] = { process, aCandidates, this->clock.Now(), std::nullopt, {}, false };
  return this->lastAttempt;
}

void
CrashService::OnAnswerBytes(std::uint64_t aAttempt)
{
  auto const found = this->attempts.running.find(aAttempt);
  if (found == this->attempts.running.end())
    return;
  auto& attempt = found->second;
  attempt.lastBytes = this->clock.Now();
  if (!attempt.begun)
    attempt.begun = attempt.lastBytes;
  // After a pause of this process, the bytes may have arrived long ago.
  if (!ShowsNoHarm(attempt, this->clock.EarliestArrival()))
    return;
  attempt.harmless = true;
  RecordHarmless(this->ledger, attempt.candidates, *attempt.begun, this->clock.Now());
  this->ScheduleUpdate();
}

bool
CrashService::OnAttemptEnd(std::uint64_t aAttempt, WatchedEnd aEnd)
{
  auto const found = this->attempts.running.find(aAttempt);
  if (found == this->attempts.running.end())
    return false;
  auto const now = this->clock.Now();
  auto const attempt = found->second;
  if (aEnd != WatchedEnd::Broken) {
    this->attempts.running.erase(found);
    if (aEnd == WatchedEnd::Complete && !attempt.candidates.empty()) {
      RecordHarmless(this->ledger, attempt.candidates, attempt.begun.value_or(now), now);
      this->ScheduleUpdate();
    }
    return false;
  }
  bool const possibleCause = RecordBroken(this->attempts, aAttempt, this->clock.EarliestArrival(), now);
  this->ArmDecision();
  return possibleCause && IsSuspected(this->ledger, attempt.candidates, attempt.process, now);
}

std::optional<QuarantinedCandidate>
CrashService::FindQuarantined(std::vector<CrashCandidate> const& aCandidates) const
{
  // One front tries, so that a harmful request crashes no more than one endpoint.
  return Gateway::FindQuarantined(this->ledger, aCandidates, this->clock.Now(), [this](std::string const& aCandidate) {
    return IsAmongOwners(this->stateCache.Fronts(), aCandidate, this->settings.name, 1);
  });
}

void
CrashService::ArmDecision()
{
  auto const time = CrashDecisionTime(this->attempts);
  if (!time || this->decisionArmed)
    return;
  this->decisionArmed = true;
  this->clock.Schedule(std::max<Duration>(Duration::zero(), *time - this->clock.Now()), [this] {
    this->decisionArmed = false;
    this->DecideCrashes();
  });
}

void
CrashService::DecideCrashes()
{
  auto const now = this->clock.Now();
  for (auto const& report : TakeCrashes(this->attempts, this->ledger, this->settings.name, now)) {
    ++this->crashesSeen;
    std::string candidates;
    for (auto const& [part, position] : report.candidates)
      if (!report.cleared.contains(part))
        candidates += (candidates.empty() ? "" : ",") + part;
    PART_WARNING("crashes") << "event=endpoint-crashed process=" << report.process << " candidates=" << candidates;
    if (RecordCrash(this->ledger, report, now))
      this->Publish(report.process);
  }
  this->Update();
}

void
CrashService::OnStateChanged()
{
  auto const now = this->clock.Now();
  bool changed = false;
  for (auto const& [process, stored] : this->stateCache.Crashes()) {
    auto& revision = this->applied[process];
    if (revision >= stored.revision)
      continue;
    revision = stored.revision;
    changed = RecordCrash(this->ledger, stored.report, now) || changed;
  }
  this->RestoreReports();
  // A report that was removed from the store was obsolete.
  for (auto entry = this->applied.begin(); entry != this->applied.end();) {
    if (this->stateCache.Crashes().contains(entry->first)) {
      ++entry;
      continue;
    }
    ForgetCrash(this->ledger, entry->first);
    entry = this->applied.erase(entry);
    changed = true;
  }
  if (changed)
    this->Update();
}

void
CrashService::ScheduleUpdate()
{
  if (this->updateScheduled || this->ledger.crashes.empty())
    return;
  this->updateScheduled = true;
  this->clock.Schedule(kUpdateInterval, [this] {
    this->updateScheduled = false;
    this->Update();
  });
}

void
CrashService::Update()
{
  auto const before = this->ledger.quarantined;
  UpdateQuarantine(this->ledger, this->clock.Now());
  this->LogQuarantine(before);
  this->ScheduleClearing();
}

/// Returns the processes whose crashes the candidate may have caused, as the value of a log field.
static std::string
ProcessesNaming(CrashLedger const& aLedger, std::string const& aCandidate)
{
  std::string field;
  std::size_t count = 0;
  for (auto const& [process, crash] : aLedger.crashes)
    if (crash.report.candidates.contains(aCandidate) && ++count <= kMaxLoggedProcesses)
      field += (field.empty() ? "" : ",") + process;
  return field;
}

void
CrashService::LogQuarantine(std::map<std::string, Quarantine> const& aBefore) const
{
  for (auto const& [name, quarantine] : this->ledger.quarantined) {
    if (aBefore.contains(name))
      continue;
    std::string reporters;
    for (auto const& reporter : quarantine.reporters)
      reporters += (reporters.empty() ? "" : ",") + reporter;
    PART_WARNING("crashes") << "event=quarantined candidate=" << name << " crashes=" << quarantine.crashes
                            << " tied=" << quarantine.tied << " processes=" << ProcessesNaming(this->ledger, name)
                            << " reporters=" << reporters
                            << " for_ms=" << Milliseconds(quarantine.until - this->clock.Now());
  }
  for (auto const& [name, quarantine] : aBefore)
    if (!this->ledger.quarantined.contains(name))
      PART_LOG("crashes") << "event=released candidate=" << name;
}

void
CrashService::ScheduleClearing()
{
  auto const clearable = CandidatesToClear(this->ledger);
  if (this->clearingScheduled || clearable.empty())
    return;
  bool const first =
    IsAmongOwners(this->stateCache.Fronts(), clearable.begin()->first, this->settings.name, kFirstClearing);
  std::uniform_real_distribution<double> distribution;
  double const draw = distribution(this->random);
  auto const delay = first ? kFirstClearingDelay * draw : kFirstClearingDelay * 3 + kLaterClearingDelay * draw;
  this->clearingScheduled = true;
  this->clock.Schedule(std::chrono::duration_cast<Duration>(delay), [this] {
    this->clearingScheduled = false;
    this->ClearCandidates();
  });
}

void
CrashService::ClearCandidates()
{
  for (auto const& [process, parts] : CandidatesToClear(this->ledger)) {
    for (auto const& part : parts)
      PART_LOG("crashes") << "event=cleared process=" << process << " candidate=" << part;
    auto report = this->ledger.crashes.at(process).report;
    report.cleared.insert(parts.begin(), parts.end());
    report.reporters.insert(this->settings.name);
    if (RecordCrash(this->ledger, report, this->clock.Now()))
      this->Publish(process);
  }
}

void
CrashService::RemoveObsolete()
{
  this->clock.Schedule(kObsoleteInterval, [this] { this->RemoveObsolete(); });
  auto const now = this->clock.Now();
  for (auto const& process : ObsoleteCrashes(this->ledger, now)) {
    auto const stored = this->stateCache.Crashes().find(process);
    if (stored == this->stateCache.Crashes().end()) {
      ForgetCrash(this->ledger, process);
    } else if (IsAmongOwners(this->stateCache.Fronts(), process, this->settings.name, 1)) {
      this->store.Remove(ObjectKind::EndpointCrash,
                         process,
                         stored->second.revision,
                         [this, process](Platform::WriteResult const& aResult) {
                           PART_LOG("crashes")
                             << "event=report-removed process=" << process << " outcome=" << ToString(aResult.outcome);
                           using Platform::StoreOutcome;
                           if (aResult.outcome == StoreOutcome::Done || aResult.outcome == StoreOutcome::NotFound)
                             this->stateCache.DropCrash(process);
                         });
    }
  }
  this->Update();
}

void
CrashService::RestoreReports()
{
  std::uniform_real_distribution<double> distribution;
  for (auto const& process : this->stateCache.TakeReportsToRestore()) {
    if (!this->ledger.crashes.contains(process))
      continue;
    this->applied.erase(process);
    bool const first = IsAmongOwners(this->stateCache.Fronts(), process, this->settings.name, 1);
    auto const delay = FromSeconds(Seconds(kRestoreTime) * (distribution(this->random) + (first ? 0 : 1.5)));
    PART_LOG("crashes") << "event=report-lost process=" << process << " delay_ms=" << Milliseconds(delay);
    // Write() writes only what the store lacks.
    this->clock.Schedule(delay, [this, process] { this->Publish(process); });
  }
}

void
CrashService::Publish(std::string const& aProcess)
{
  if (std::ranges::find(this->unpublished, aProcess) != this->unpublished.end())
    return;
  this->unpublished.push_back(aProcess);
  if (this->unpublished.size() > kMaxUnpublished) {
    PART_WARNING("crashes") << "event=report-dropped process=" << this->unpublished.front();
    this->unpublished.pop_front();
  }
  if (!this->publishing)
    this->PublishNext();
}

void
CrashService::PublishNext()
{
  this->publishing = !this->unpublished.empty();
  if (!this->publishing)
    return;
  // The newest report matters most.
  auto const process = this->unpublished.back();
  this->unpublished.pop_back();
  this->Write(process);
  this->clock.Schedule(kWriteInterval, [this] { this->PublishNext(); });
}

void
CrashService::Write(std::string const& aProcess)
{
  auto const known = this->ledger.crashes.find(aProcess);
  if (known == this->ledger.crashes.end())
    return;
  auto const stored = this->stateCache.Crashes().find(aProcess);
  bool const isStored = stored != this->stateCache.Crashes().end();
  auto const revision = isStored ? stored->second.revision : 0;
  auto const done = [this, aProcess, revision](Platform::WriteResult const& aResult) {
    this->OnWritten(aProcess, revision, aResult);
  };
  if (!isStored) {
    this->store.Create(ObjectKind::EndpointCrash, aProcess, Platform::EncodeCrashReport(known->second.report), done);
    return;
  }
  auto merged = stored->second.report;
  if (!MergeReport(merged, known->second.report) ||
      (merged.candidates == stored->second.report.candidates && merged.cleared == stored->second.report.cleared))
    return;
  this->store.Replace(ObjectKind::EndpointCrash, aProcess, revision, Platform::EncodeCrashReport(merged), done);
}

void
CrashService::OnWritten(std::string const& aProcess, StorePosition aRevision, Platform::WriteResult const& aResult)
{
  PART_LOG("crashes") << "event=report-written process=" << aProcess << " outcome=" << ToString(aResult.outcome);
  if (aResult.outcome == Platform::StoreOutcome::Done || aResult.outcome == Platform::StoreOutcome::NotFound)
    return;
  std::uniform_real_distribution<double> distribution(1, 2);
  double const jitter = distribution(this->random);
  if (aResult.outcome == Platform::StoreOutcome::Conflict && aResult.object) {
    this->stateCache.ApplyCrash(*aResult.object);
    // An object that is no report, from another writer, cannot be added to.
    auto const stored = this->stateCache.Crashes().find(aProcess);
    if (stored == this->stateCache.Crashes().end())
      return;
    if (stored->second.revision > aRevision) {
      this->clock.Schedule(FromSeconds(Seconds(kConflictDelay) * jitter), [this, aProcess] { this->Write(aProcess); });
      return;
    }
  }
  this->clock.Schedule(FromSeconds(Seconds(kRepeatDelay) * jitter), [this, aProcess] { this->Publish(aProcess); });
}

}
