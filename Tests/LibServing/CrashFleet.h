#pragma once

#include <LibCore/LibCore.h>
#include <LibServing/CrashSuspicion.h>
#include <random>

namespace Hornbeam::Gateway {

/// What it is about a request that crashes endpoints.
enum class DeadKind
{
  /// A part that many requests with different fingerprints have.
  Part,
  /// The request itself, which comes again and again; its parts are those of sound ones.
  Request,
};

struct CrashFleetSettings
{
  unsigned fronts{ 7 };
  unsigned endpoints{ 12 };
  /// Sound requests per second in the whole fleet.
  double soundRate{ 60 };
  /// Time between two requests that crash endpoints; none are sent if zero.
  Duration deadInterval{ 0 };
  DeadKind dead{ DeadKind::Part };
  /// Time between two crashes that no request causes; none if zero.
  Duration otherCrashInterval{ 0 };
  /// The share of the reports that never reach the store.
  double lostReports{ 0 };
  unsigned seed{ 1 };
};

/// Fronts that share reports of crashes through a store, in simulated time: a write takes 30 ms, and each other front
/// learns of it 0.1 to 1.2 s later. Answers begin after 70 ms; an endpoint crashes 60 ms after it began to answer a
/// request that crashes it, and is back after 2 s as another process. Callers send sound requests again, with the same
/// fingerprint, that broke off.
class CrashFleet
{
public:
  explicit CrashFleet(CrashFleetSettings aSettings);

  void RunFor(Duration aTime);

  std::vector<MonotonicTime> const& Crashes() const { return this->crashes; }

  /// Requests that crash endpoints and were sent to them after a time.
  std::size_t CountDeadSentAfter(MonotonicTime aTime) const;

  /// Sound requests that were refused after a time.
  std::size_t CountSoundRefusedAfter(MonotonicTime aTime) const;

  std::size_t sentSound{ 0 };
  std::size_t sentDead{ 0 };
  std::uint64_t storeWrites{ 0 };

  /// The parts that are quarantined at any front, and at how many.
  std::map<std::string, std::size_t> Quarantined() const;

private:
  struct Front
  {
    std::string name;
    AttemptWatch attempts;
    CrashLedger ledger;
    bool decisionArmed{ false };
    bool clearing{ false };
  };
  struct Endpoint
  {
    unsigned process{ 0 };
    bool down{ false };
  };

  unsigned Draw(unsigned aCount) { return std::uniform_int_distribution<unsigned>(0, aCount - 1)(this->random); }
  double DrawShare() { return std::uniform_real_distribution<double>()(this->random); }
  static std::string ProcessOf(unsigned aEndpoint, Endpoint const& aState);
  void SendSound();
  void SendDead();
  void CrashAny();
  void Send(unsigned aFront, std::vector<CrashCandidate> const& aCandidates, bool aDead, unsigned aTries);
  /// Returns an endpoint that is up; nothing if all are down.
  std::optional<unsigned> DrawEndpoint();
  void Crash(unsigned aEndpoint);
  void Decide(unsigned aFront);
  void Update(unsigned aFront);
  void Write(unsigned aFront, std::string const& aProcess);

  CrashFleetSettings settings;
  Clock clock{ ClockMode::Paused };
  std::minstd_rand random;
  std::vector<Front> fronts;
  std::vector<Endpoint> endpoints;
  std::map<std::string, CrashReport> store;
  std::uint64_t lastAttempt{ 0 };
  std::vector<MonotonicTime> crashes;
  std::vector<MonotonicTime> deadSent;
  std::vector<MonotonicTime> soundRefused;
  /// What is needed to send a request again that broke off.
  struct SentRequest
  {
    std::vector<CrashCandidate> candidates;
    unsigned tries{ 0 };
    bool dead{ false };
  };
  std::map<std::uint64_t, SentRequest> sent;
};

}
