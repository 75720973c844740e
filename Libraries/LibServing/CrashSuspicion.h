#pragma once

#include "CrashCandidates.h"
#include <LibCore/Clock.h>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hornbeam::Gateway {

/// The crash of one process of an endpoint, as fronts report it to each other.
struct CrashReport
{
  /// Identifies the process; a process crashes once.
  std::string process;
  /// The requests whose answers the process had just begun or not begun, and the parts of their prompts, with their
  /// greatest position.
  std::map<std::string, unsigned> candidates;
  /// Candidates that did no harm at another endpoint at about that time.
  std::set<std::string> cleared;
  /// The fronts that contributed.
  std::set<std::string> reporters;

  bool operator==(CrashReport const&) const = default;
};

/// Adds what aOther knows of the same crash; returns whether that changed the report.
bool
MergeReport(CrashReport& aReport, CrashReport const& aOther);

struct Quarantine
{
  MonotonicTime until{};
  std::size_t crashes{ 0 };
  std::set<std::string> reporters;
  /// Another request explains the same crashes; at most one of them is harmful.
  bool tied{ false };
  MonotonicTime lastCrash{};
};

/// What a front knows about crashes in the whole fleet and about candidates that do no harm.
struct CrashLedger
{
  struct Entry
  {
    CrashReport report;
    MonotonicTime learnedAt{};
  };
  std::map<std::string, Entry> crashes;
  /// When the latest answer at this front began that showed a candidate to do no harm.
  std::map<std::string, MonotonicTime> harmless;
  /// When other fronts reported that a candidate does no harm.
  std::map<std::string, MonotonicTime> cleared;
  std::map<std::string, Quarantine> quarantined;
};

/// Records that an answer which began at aBegun was completed, or went on for a while. Of a request that no known crash
/// names, only the parts of the prompt are recorded.
void
RecordHarmless(CrashLedger& aLedger,
               std::vector<CrashCandidate> const& aCandidates,
               MonotonicTime aBegun,
               MonotonicTime aNow);

/// Returns the candidates that may have caused a crash now: those without an answer lately that showed that they do no
/// harm.
std::vector<CrashCandidate>
PossibleCauses(CrashLedger const& aLedger, std::vector<CrashCandidate> const& aCandidates, MonotonicTime aNow);

/// Adds a crash, or what a report adds to a known one; returns whether anything changed.
bool
RecordCrash(CrashLedger& aLedger, CrashReport const& aReport, MonotonicTime aNow);

void
ForgetCrash(CrashLedger& aLedger, std::string const& aProcess);

/// Returns the crashes to be forgotten by the whole fleet: old ones, and the oldest of too many.
std::vector<std::string>
ObsoleteCrashes(CrashLedger const& aLedger, MonotonicTime aNow);

/// Brings the quarantine up to date with the crashes. A candidate is quarantined after a few crashes that no other one
/// explains, until some time after the last one. A request is blamed before the parts of its prompt, unless a part
/// occurs in more crashes.
void
UpdateQuarantine(CrashLedger& aLedger, MonotonicTime aNow);

struct QuarantinedCandidate
{
  std::string name;
  Duration timeLeft{ 0 };
};

/// Returns the candidate that is quarantined for the longest time; a request with it is to be refused for so long. Of
/// requests that explain the same crashes, those that this front may try are let through some time after the last one:
/// one that completes is cleared, and one that crashes its endpoint again is told apart by that.
std::optional<QuarantinedCandidate>
FindQuarantined(
  CrashLedger const& aLedger,
  std::vector<CrashCandidate> const& aCandidates,
  MonotonicTime aNow,
  std::function<bool(std::string const&)> const& aMayTry = [](std::string const&) { return false; });

/// Whether one of the candidates may have crashed another process than aProcess.
bool
IsSuspected(CrashLedger const& aLedger,
            std::vector<CrashCandidate> const& aCandidates,
            std::string const& aProcess,
            MonotonicTime aNow);

/// Returns, by process, the candidates that other fronts are about to quarantine although they did no harm at this one.
std::map<std::string, std::set<std::string>>
CandidatesToClear(CrashLedger const& aLedger);

/// An attempt that is in flight at a process of an endpoint.
struct WatchedAttempt
{
  std::string process;
  std::vector<CrashCandidate> candidates;
  MonotonicTime sent{};
  /// When the first bytes of the answer arrived.
  std::optional<MonotonicTime> begun;
  MonotonicTime lastBytes{};
  bool harmless{ false };
};

/// The attempts of one front, from which it infers crashes of endpoints.
struct AttemptWatch
{
  struct Broken
  {
    WatchedAttempt attempt;
    MonotonicTime at{};
    /// Whether the answer had begun shortly before, or not at all.
    bool possibleCause{ false };
  };
  std::map<std::uint64_t, WatchedAttempt> running;
  std::vector<Broken> broken;
};

/// Whether bytes of an answer that arrive now show that its candidates do no harm.
bool
ShowsNoHarm(WatchedAttempt const& aAttempt, MonotonicTime aNow);

/// Records that the connection of an attempt broke off, at aBroken at the earliest. Returns whether the attempt may
/// have crashed its endpoint.
bool
RecordBroken(AttemptWatch& aWatch, std::uint64_t aAttempt, MonotonicTime aBroken, MonotonicTime aNow);

/// Returns when TakeCrashes() can decide about the connections that broke off; nothing if there are none.
std::optional<MonotonicTime>
CrashDecisionTime(AttemptWatch const& aWatch);

/// Decides whether the connections that broke off show crashes of endpoints. Connections to several endpoints that
/// break off at the same moment are taken for one crash, since the cause may be the network; a connection that breaks
/// off while bytes still arrive on another one from the same process is none.
std::vector<CrashReport>
TakeCrashes(AttemptWatch& aWatch, CrashLedger const& aLedger, std::string const& aReporter, MonotonicTime aNow);

}
