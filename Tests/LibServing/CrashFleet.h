#pragma once

#include <LibCore/LibCore.h>
#include <LibServing/CrashSuspicion.h>
#include <random>

namespace Hornbeam::Gateway {

struct CrashFleetSettings
{
  unsigned fronts{ 7 };
  unsigned endpoints{ 12 };
  /// Sound requests per second in the whole fleet.
  double soundRate{ 60 };
  /// Time between two requests with the part that crashes endpoints; none are sent if zero.
  Duration deadInterval{ 0 };
  /// Time between two crashes that no request causes; none if zero.
  Duration otherCrashInterval{ 0 };
  /// The share of the reports that never reach the store.
  double lostReports{ 0 };
  unsigned seed{ 1 };
};

/// Fronts that share reports of crashes through a store, in simulated time: a write takes 30 ms, and each other front
/// learns of it 0.1 to 1.2 s later. Answers begin after 70 ms; an endpoint crashes 60 ms after it began to answer a
/// prompt with the part "dead" and is back after 2 s as another process.
class CrashFleet
{
public:
  explicit CrashFleet(CrashFleetSettings aSettings);

  void RunFor(Duration aTime);

  std::vector<MonotonicTime> const& Crashes() const { return this->crashes; }

  /// Requests with the part that were sent to endpoints after a time.
  std::size_t CountDeadSentAfter(MonotonicTime aTime) const;

  /// Sound requests that were refused after a time.
  std::size_t CountSoundRefusedAfter(MonotonicTime aTime) const;

  std::size_t sentSound{ 0 };
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
  void Send(unsigned aFront, std::vector<PromptPart> const& aParts, bool aDead, unsigned aTries);
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
  /// Requests with the part whose connections broke off: their front, parts and number of tries.
  struct DeadAttempt
  {
    unsigned front{ 0 };
    std::vector<PromptPart> parts;
    unsigned tries{ 0 };
  };
  std::map<std::uint64_t, DeadAttempt> deadAttempts;
};

}
