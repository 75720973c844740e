#pragma once

#include "GatewayMetrics.h"
#include "StateCache.h"
#include <deque>

namespace Hornbeam::Gateway {

/// How an attempt at an endpoint ended, as far as it tells about a crash.
enum class WatchedEnd
{
  Complete,
  /// The connection broke off.
  Broken,
  Other,
};

/// Finds the requests and the parts of prompts that crash endpoints, together with the other fronts: each front reports
/// the crashes that it sees to the store, and all of them quarantine a candidate once enough crashes speak against it.
class CrashService
{
public:
  explicit CrashService(Kernel& aKernel);

  void Start();

  /// Starts watching an attempt; the result identifies it.
  std::uint64_t OnAttemptSent(EndpointEntry const& aEndpoint, std::vector<CrashCandidate> const& aCandidates);
  void OnAnswerBytes(std::uint64_t aAttempt);

  /// Returns whether the attempt may have crashed its endpoint with a candidate that is suspected already; if so, it
  /// should not be repeated at another one.
  bool OnAttemptEnd(std::uint64_t aAttempt, WatchedEnd aEnd);

  /// Returns the candidate for which a request is to be refused; nothing if none is quarantined.
  std::optional<QuarantinedCandidate> FindQuarantined(std::vector<CrashCandidate> const& aCandidates) const;

  void CountRefusal() { ++this->refusals; }

  std::map<std::string, Quarantine> const& Quarantined() const { return this->ledger.quarantined; }
  std::uint64_t Crashes() const { return this->crashesSeen; }
  std::uint64_t Refusals() const { return this->refusals; }

private:
  void ArmDecision();
  void DecideCrashes();
  void OnStateChanged();
  void Update();
  void ScheduleUpdate();
  void LogQuarantine(std::map<std::string, Quarantine> const& aBefore) const;
  void ScheduleClearing();
  void ClearCandidates();
  void RemoveObsolete();

  /// Writes reports again that the store lost when it was restored from a copy.
  void RestoreReports();
  /// Queues the report of a crash to be written to the store.
  void Publish(std::string const& aProcess);
  void PublishNext();
  void Write(std::string const& aProcess);
  /// aRevision is the one on whose condition was written; zero if the report was to be created.
  void OnWritten(std::string const& aProcess, StorePosition aRevision, Platform::WriteResult const& aResult);

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  StoreClient& store;
  AttemptWatch attempts;
  CrashLedger ledger;
  std::uint64_t lastAttempt{ 0 };
  bool decisionArmed{ false };
  bool updateScheduled{ false };
  bool clearingScheduled{ false };
  /// The revisions of the reports that the ledger contains.
  std::map<std::string, StorePosition> applied;
  std::deque<std::string> unpublished;
  bool publishing{ false };
  std::minstd_rand random;
  std::uint64_t crashesSeen{ 0 };
  std::uint64_t refusals{ 0 };
};

}
