#include "CrashSuspicion.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// A stream that has lasted this long shows that its parts do no harm: an endpoint crashes when it begins to answer.
static constexpr Duration kHarmfulTime = 1s;
/// An answer that did no harm speaks for its parts for this long.
static constexpr Duration kHarmlessTime = 20s;
/// Connections that break off within this time may have the same cause.
static constexpr Duration kSameMoment = 100ms;
/// Bytes that a process sent before it crashed are read within this time after the first break.
static constexpr Duration kLastBytesTime = 50ms;
/// Reports reach all fronts within about a second, in which more crashes can happen.
static constexpr std::size_t kCrashesToQuarantine = 3;
/// First parts are shared by many sound requests.
static constexpr std::size_t kCrashesToQuarantineFirstPart = 5;
/// Requests that were in flight in the same crashes may be tried until there are these.
static constexpr std::size_t kCrashesToQuarantineTied = 5;
/// By then, the endpoints are back, and what speaks for or against a request has reached all fronts.
static constexpr Duration kTrialDelay = 8s;
/// A part is blamed if it occurs in so many crashes more than any one request with it: a front may have learnt of a
/// crash from a neighbour of that request only.
static constexpr std::size_t kCrashesBeyondOneRequest = 2;
static constexpr std::size_t kCrashesToClear = 2;
static constexpr std::size_t kMaxQuarantined = 8;
/// Then the part is tried again; a single crash more quarantines it again.
static constexpr Duration kQuarantineTime = 10min;
static constexpr Duration kEvidenceTime = 20min;
static constexpr std::size_t kMaxCrashes = 128;
static constexpr std::size_t kMaxHarmless = 8192;
/// More than the requests that an endpoint runs at once, as each is a candidate.
static constexpr std::size_t kMaxCandidates = 160;
static constexpr std::size_t kMaxReporters = 8;

/// Makes room for a candidate; one that was cleared tells the least.
static bool
MakeRoom(CrashReport& aReport)
{
  if (aReport.candidates.size() < kMaxCandidates)
    return true;
  if (aReport.cleared.empty())
    return false;
  aReport.candidates.erase(*aReport.cleared.begin());
  aReport.cleared.erase(aReport.cleared.begin());
  return true;
}

bool
MergeReport(CrashReport& aReport, CrashReport const& aOther)
{
  auto const before = aReport;
  for (auto const& [part, position] : aOther.candidates)
    if (aReport.candidates.contains(part) || (!aOther.cleared.contains(part) && MakeRoom(aReport)) ||
        aReport.candidates.size() < kMaxCandidates)
      aReport.candidates[part] = std::max(aReport.candidates[part], position);
  for (auto const& part : aOther.cleared)
    if (aReport.candidates.contains(part))
      aReport.cleared.insert(part);
  for (auto const& reporter : aOther.reporters)
    if (aReport.reporters.size() < kMaxReporters)
      aReport.reporters.insert(reporter);
  return aReport != before;
}

/// Whether a crash is known that the candidate may have caused.
static bool
IsCandidate(CrashLedger const& aLedger, std::string const& aName)
{
  return std::ranges::any_of(aLedger.crashes,
                             [&](auto const& aEntry) { return aEntry.second.report.candidates.contains(aName); });
}

void
RecordHarmless(CrashLedger& aLedger,
               std::vector<CrashCandidate> const& aCandidates,
               MonotonicTime aBegun,
               MonotonicTime aNow)
{
  if (aLedger.harmless.size() + aCandidates.size() > kMaxHarmless)
    std::erase_if(aLedger.harmless, [&](auto const& aEntry) { return aNow - aEntry.second > kHarmlessTime; });
  for (auto const& part : aCandidates) {
    // Nearly every request has a fingerprint of its own.
    if (IsFingerprint(part) && !IsCandidate(aLedger, part.name))
      continue;
    auto const known = aLedger.harmless.find(part.name);
    if (known != aLedger.harmless.end())
      known->second = std::max(known->second, aBegun);
    else if (aLedger.harmless.size() < kMaxHarmless)
      aLedger.harmless.emplace(part.name, aBegun);
  }
}

/// Whether a part did no harm at about the given time or later.
static bool
DidNoHarm(std::map<std::string, MonotonicTime> const& aTimes, std::string const& aPart, MonotonicTime aTime)
{
  auto const known = aTimes.find(aPart);
  return known != aTimes.end() && aTime - known->second <= kHarmlessTime;
}

static bool
DidNoHarm(CrashLedger const& aLedger, std::string const& aPart, MonotonicTime aTime)
{
  return DidNoHarm(aLedger.harmless, aPart, aTime) || DidNoHarm(aLedger.cleared, aPart, aTime);
}

std::vector<CrashCandidate>
PossibleCauses(CrashLedger const& aLedger, std::vector<CrashCandidate> const& aCandidates, MonotonicTime aNow)
{
  auto causes = aCandidates;
  std::erase_if(causes, [&](auto const& aPart) { return DidNoHarm(aLedger, aPart.name, aNow); });
  return causes;
}

bool
RecordCrash(CrashLedger& aLedger, CrashReport const& aReport, MonotonicTime aNow)
{
  auto const [entry, added] = aLedger.crashes.try_emplace(aReport.process);
  auto& [report, learnedAt] = entry->second;
  if (added) {
    report.process = aReport.process;
    learnedAt = aNow;
  }
  if (!MergeReport(report, aReport) && !added)
    return false;
  for (auto const& part : report.cleared)
    if (aLedger.cleared.contains(part) || aLedger.cleared.size() < kMaxHarmless)
      aLedger.cleared[part] = std::max(aLedger.cleared[part], learnedAt);
  return true;
}

void
ForgetCrash(CrashLedger& aLedger, std::string const& aProcess)
{
  aLedger.crashes.erase(aProcess);
  if (aLedger.crashes.empty())
    aLedger.cleared.clear();
}

std::vector<std::string>
ObsoleteCrashes(CrashLedger const& aLedger, MonotonicTime aNow)
{
  std::vector<std::pair<MonotonicTime, std::string>> byAge;
  for (auto const& [process, entry] : aLedger.crashes)
    byAge.emplace_back(entry.learnedAt, process);
  std::ranges::sort(byAge);
  std::size_t const excess = byAge.size() > kMaxCrashes ? byAge.size() - kMaxCrashes : 0;
  std::vector<std::string> obsolete;
  for (std::size_t index = 0; index < byAge.size(); ++index)
    if (index < excess || aNow - byAge[index].first > kEvidenceTime)
      obsolete.push_back(byAge[index].second);
  return obsolete;
}

/// Whether a crash still speaks against one of its candidates.
static bool
SpeaksAgainst(CrashLedger const& aLedger, CrashLedger::Entry const& aCrash, std::string const& aPart)
{
  return !DidNoHarm(aLedger, aPart, aCrash.learnedAt);
}

namespace {

struct Suspect
{
  std::size_t crashes{ 0 };
  unsigned position{ 0 };
  MonotonicTime lastCrash{};
  std::set<std::string> reporters;
};

}

/// Returns how many of the crashes of a part a single request explains, if it explains several.
static std::size_t
CrashesOfOneRequest(CrashLedger const& aLedger, std::string const& aPart)
{
  std::map<std::string, std::size_t> crashesByRequest;
  for (auto const& [process, crash] : aLedger.crashes)
    if (crash.report.candidates.contains(aPart))
      for (auto const& [name, position] : crash.report.candidates)
        if (position == kWholeRequest && SpeaksAgainst(aLedger, crash, name))
          ++crashesByRequest[name];
  std::size_t most = 0;
  for (auto const& [name, crashes] : crashesByRequest)
    most = std::max(most, crashes);
  return most > 1 ? most : 0;
}

/// Whether enough crashes speak against a candidate to quarantine it.
static bool
IsConvicted(CrashLedger const& aLedger, std::string const& aName, Suspect const& aSuspect)
{
  if (aSuspect.crashes < (aSuspect.position == 0 ? kCrashesToQuarantineFirstPart : kCrashesToQuarantine))
    return false;
  return aSuspect.position == kWholeRequest ||
         aSuspect.crashes >= CrashesOfOneRequest(aLedger, aName) + kCrashesBeyondOneRequest;
}

static std::map<std::string, Suspect>
SuspectsOf(CrashLedger const& aLedger, std::set<std::string> const& aExplained)
{
  std::map<std::string, Suspect> suspects;
  for (auto const& [process, crash] : aLedger.crashes)
    for (auto const& [part, position] : crash.report.candidates) {
      if (aExplained.contains(process) || !SpeaksAgainst(aLedger, crash, part))
        continue;
      auto& suspect = suspects[part];
      ++suspect.crashes;
      suspect.position = std::max(suspect.position, position);
      suspect.lastCrash = std::max(suspect.lastCrash, crash.learnedAt);
      suspect.reporters.insert(crash.report.reporters.begin(), crash.report.reporters.end());
    }
  std::erase_if(suspects, [&](auto const& aEntry) { return !IsConvicted(aLedger, aEntry.first, aEntry.second); });
  return suspects;
}

/// Returns the suspects that occur in the most crashes; of those, the ones that are the most specific to a request.
static std::vector<std::string>
WorstSuspects(std::map<std::string, Suspect> const& aSuspects)
{
  auto const badness = [](Suspect const& aSuspect) { return std::pair(aSuspect.crashes, aSuspect.position); };
  std::pair<std::size_t, unsigned> greatest{};
  for (auto const& [name, suspect] : aSuspects)
    greatest = std::max(greatest, badness(suspect));
  std::vector<std::string> worst;
  for (auto const& [name, suspect] : aSuspects)
    if (badness(suspect) == greatest)
      worst.push_back(name);
  // Of parts at the same position, any one explains the crashes.
  if (!worst.empty() && greatest.second < kWholeRequest)
    worst.resize(1);
  return worst;
}

void
UpdateQuarantine(CrashLedger& aLedger, MonotonicTime aNow)
{
  aLedger.quarantined.clear();
  std::set<std::string> explained;
  for (std::size_t found = 0; found < kMaxQuarantined; ++found) {
    auto const suspects = SuspectsOf(aLedger, explained);
    auto const worst = WorstSuspects(suspects);
    if (worst.empty())
      return;
    bool const tied = worst.size() > 1 && suspects.at(worst.front()).crashes < kCrashesToQuarantineTied;
    for (auto const& name : worst) {
      auto const& suspect = suspects.at(name);
      auto const until = suspect.lastCrash + kQuarantineTime;
      if (aNow < until)
        aLedger.quarantined[name] = { until, suspect.crashes, suspect.reporters, tied, suspect.lastCrash };
      for (auto const& [process, crash] : aLedger.crashes)
        if (crash.report.candidates.contains(name))
          explained.insert(process);
    }
  }
}

std::optional<QuarantinedCandidate>
FindQuarantined(CrashLedger const& aLedger,
                std::vector<CrashCandidate> const& aCandidates,
                MonotonicTime aNow,
                std::function<bool(std::string const&)> const& aMayTry)
{
  std::optional<QuarantinedCandidate> longest;
  for (auto const& candidate : aCandidates) {
    auto const found = aLedger.quarantined.find(candidate.name);
    if (found == aLedger.quarantined.end() || aNow >= found->second.until)
      continue;
    auto const& quarantine = found->second;
    if (quarantine.tied && aNow - quarantine.lastCrash >= kTrialDelay && aMayTry(candidate.name))
      continue;
    Duration const left = quarantine.until - aNow;
    if (!longest || left > longest->timeLeft)
      longest = { candidate.name, left };
  }
  return longest;
}

bool
IsSuspected(CrashLedger const& aLedger,
            std::vector<CrashCandidate> const& aCandidates,
            std::string const& aProcess,
            MonotonicTime aNow)
{
  return std::ranges::any_of(PossibleCauses(aLedger, aCandidates, aNow), [&](auto const& aPart) {
    return std::ranges::any_of(aLedger.crashes, [&](auto const& aEntry) {
      auto const& [process, crash] = aEntry;
      return process != aProcess && crash.report.candidates.contains(aPart.name) &&
             SpeaksAgainst(aLedger, crash, aPart.name);
    });
  });
}

std::map<std::string, std::set<std::string>>
CandidatesToClear(CrashLedger const& aLedger)
{
  std::map<std::string, std::vector<std::string>> processesByPart;
  for (auto const& [process, crash] : aLedger.crashes)
    for (auto const& [part, position] : crash.report.candidates)
      if (!DidNoHarm(aLedger.cleared, part, crash.learnedAt))
        processesByPart[part].push_back(process);
  std::map<std::string, std::set<std::string>> result;
  for (auto const& [part, processes] : processesByPart) {
    if (processes.size() < kCrashesToClear)
      continue;
    for (auto const& process : processes)
      if (DidNoHarm(aLedger.harmless, part, aLedger.crashes.at(process).learnedAt))
        result[process].insert(part);
  }
  return result;
}

bool
ShowsNoHarm(WatchedAttempt const& aAttempt, MonotonicTime aNow)
{
  return !aAttempt.harmless && aAttempt.begun && aNow - *aAttempt.begun >= kHarmfulTime;
}

bool
RecordBroken(AttemptWatch& aWatch, std::uint64_t aAttempt, MonotonicTime aBroken, MonotonicTime aNow)
{
  auto const found = aWatch.running.find(aAttempt);
  if (found == aWatch.running.end())
    return false;
  auto const& attempt = found->second;
  bool const possibleCause = !attempt.harmless && (!attempt.begun || aBroken - *attempt.begun < kHarmfulTime);
  aWatch.broken.push_back({ attempt, aNow, possibleCause });
  aWatch.running.erase(found);
  return possibleCause;
}

std::optional<MonotonicTime>
CrashDecisionTime(AttemptWatch const& aWatch)
{
  if (aWatch.broken.empty())
    return std::nullopt;
  return aWatch.broken.front().at + kSameMoment;
}

static bool
LivesOn(AttemptWatch const& aWatch, AttemptWatch::Broken const& aBroken)
{
  return std::ranges::any_of(aWatch.running, [&](auto const& aEntry) {
    auto const& attempt = aEntry.second;
    return attempt.process == aBroken.attempt.process && attempt.lastBytes > aBroken.at + kLastBytesTime;
  });
}

/// Adds what a connection that broke off tells about the crash of its process.
static void
AddCandidates(CrashReport& aReport, AttemptWatch::Broken const& aBroken, CrashLedger const& aLedger, MonotonicTime aNow)
{
  if (!aBroken.possibleCause)
    return;
  for (auto const& part : aBroken.attempt.candidates) {
    aReport.candidates[part.name] = std::max(aReport.candidates[part.name], part.position);
    if (DidNoHarm(aLedger, part.name, aNow))
      aReport.cleared.insert(part.name);
  }
}

/// Whether the same request was in flight at another process whose connections broke off at the same moment.
static bool
BrokeElsewhereToo(std::vector<AttemptWatch::Broken> const& aBroken, AttemptWatch::Broken const& aEntry)
{
  auto const isSame = [&](AttemptWatch::Broken const& aOther) {
    return aOther.possibleCause && aOther.attempt.process != aEntry.attempt.process &&
           std::ranges::any_of(aEntry.attempt.candidates, [&](auto const& aCandidate) {
             return IsFingerprint(aCandidate) &&
                    std::ranges::find(aOther.attempt.candidates, aCandidate.name, &CrashCandidate::name) !=
                      aOther.attempt.candidates.end();
           });
  };
  return aEntry.possibleCause && std::ranges::any_of(aBroken, isSame);
}

std::vector<CrashReport>
TakeCrashes(AttemptWatch& aWatch, CrashLedger const& aLedger, std::string const& aReporter, MonotonicTime aNow)
{
  auto const broken = std::move(aWatch.broken);
  aWatch.broken.clear();
  MonotonicTime firstBreak{};
  std::map<std::string, CrashReport> reports;
  std::set<std::string> crashed;
  for (auto const& entry : broken) {
    auto const& process = entry.attempt.process;
    if (LivesOn(aWatch, entry))
      continue;
    if (crashed.empty())
      firstBreak = entry.at;
    // A connection that was made after the first break did not break off together with it, and a network that fails
    // does not choose the connections of one request.
    if (crashed.empty() || entry.attempt.sent >= firstBreak || BrokeElsewhereToo(broken, entry))
      crashed.insert(process);
    AddCandidates(reports[process], entry, aLedger, aNow);
  }
  std::vector<CrashReport> result;
  for (auto& [process, report] : reports) {
    if (!crashed.contains(process) || report.candidates.size() == report.cleared.size())
      continue;
    report.process = process;
    report.reporters = { aReporter };
    result.push_back(std::move(report));
  }
  return result;
}

}
