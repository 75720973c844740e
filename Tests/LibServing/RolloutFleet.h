#pragma once

#include <LibServing/LibServing.h>
#include <functional>
#include <random>

namespace Hornbeam::Testing {

using namespace Gateway;

/// A request that runs in the simulation, and what the endpoint makes of it.
struct SimulatedCall
{
  bool atTarget{ false };
  std::string route;
  std::string dataCenter;
  std::string endpoint;
  /// Since the order, as a part of its duration.
  double progress{ 0 };
  /// Set by the test's behaviour.
  double failureShare{ 0 };
  double slowdown{ 1 };
};

/// Fronts, owners and a store in simulated time, with delayed messages.
struct RolloutFleet
{
  struct Front
  {
    std::string name;
    VersionReport report;
    FrontExposure exposure;
    ShareLease lease;
    MonotonicTime learnt{};
    MonotonicTime nextReport{};
    /// When requests at other versions end.
    std::deque<MonotonicTime> elsewhere;
    /// The final state that the front has seen.
    std::optional<RolloutState> seen;
  };
  struct Message
  {
    std::size_t front{ 0 };
    std::size_t owner{ 0 };
    MonotonicTime sent{};
    VersionReport report;
  };

  RolloutFleet(std::size_t aFronts, Duration aDuration, unsigned aSeed);

  /// Runs until aPart of the order's duration has passed.
  void RunTo(double aPart);

  /// Replaces the process of a front.
  void Restart(std::size_t aFront);

  double Progress() const { return Seconds(this->now - this->began) / Seconds(this->order.duration); }
  /// Whether the requests at the target are within the bound for a bad version.
  bool IsWithinExposure() const;

  RolloutRules rules;
  RolloutOrder order;
  std::vector<Front> fronts;
  std::vector<RolloutOwner> owners;
  /// Which owner a front reports to; nothing if it reaches none.
  std::function<std::optional<std::size_t>(std::size_t aFront, double aProgress)> ownerOf;
  std::function<void(SimulatedCall&)> behavior;
  std::function<bool(double aProgress)> storeIsUp;
  /// Requests of the whole fleet per second.
  double rate{ 200 };
  Duration maxDelay{ 20ms };
  Duration requestTime{ 100ms };
  bool targetHasEndpoints{ true };

  std::uint64_t requests{ 0 };
  std::uint64_t toTarget{ 0 };
  std::uint64_t bad{ 0 };
  std::uint64_t toOtherAfterEnd{ 0 };
  std::optional<MonotonicTime> fiftiethBad;
  MonotonicTime lastToTarget{};
  std::optional<double> endedAt;
  std::string reason;
  std::size_t outstandingAtEnd{ 0 };
  double largestShare{ 0 };
  MonotonicTime now{ 1h };
  MonotonicTime began{ 1h };

private:
  void Tick();
  void RunRequests(Front& aFront);
  void Run(Front& aFront, SimulatedCall aCall);
  void Deliver(Message const& aMessage);
  double Draw() { return std::uniform_real_distribution<double>()(this->random); }
  Duration Delay() { return FromSeconds(Seconds(this->maxDelay) * this->Draw()); }

  std::mt19937 random;
  std::multimap<MonotonicTime, std::function<void()>> messages;
};

}
