#pragma once

#include "FakeEndpoint.h"
#include "FakeStore.h"

namespace Hornbeam {

/// A request that a test sent, and its outcome.
struct TrackedRequest
{
  CallerRequest request;
  std::string expectedOutput;
  MonotonicTime sentAt{};
  MonotonicTime deadline{};
  std::vector<std::string> tokens;
  /// Number of responses; more than one is a duplicate.
  int responseCount{ 0 };
  PipelineResponse response;
  MonotonicTime respondedAt{};
  /// The front that received it was killed, so that its caller saw the connection break.
  bool connectionLost{ false };
};

/// An edit that a test made, and its result.
struct TrackedEdit
{
  std::optional<EditResult> result;
  MonotonicTime resultAt{};
};

enum class Reachability
{
  Connected,
  Cut,
};

/// A deterministic simulation of fronts: the real services over fake ports, on paused clocks. It advances time,
/// delivers messages, injects faults and checks the invariants after every step.
class World
{
public:
  explicit World(std::uint64_t aSeed = 1);
  ~World();
  World(World const&) = delete;
  World& operator=(World const&) = delete;

  /// Sets the routing policy of fronts that are started after this call.
  void SetPolicy(RoutingPolicy aPolicy) { this->policy = aPolicy; }

  /// Sets the time from the shutdown of a front until it would be killed, for fronts that are started after this call.
  void SetShutdownGrace(Duration aGrace) { this->shutdownGrace = aGrace; }

  void AddFront(std::string const& aName, std::string const& aDataCenter);
  FakeEndpoint& AddEndpoint(std::string const& aName, EndpointModelSettings aSettings);
  FakeEndpoint& Endpoint(std::string const& aName) { return *this->endpoints.at(aName); }
  FakeStore& Store() { return this->store; }
  Front& FrontNamed(std::string const& aName);
  bool IsAlive(std::string const& aName) const;

  void Kill(std::string const& aName);
  /// Starts a new process under the name of an earlier one, which is killed if it still runs.
  void Restart(std::string const& aName);
  void Freeze(std::string const& aName, Duration aDuration);
  void SetStoreReachable(std::string const& aName, Reachability aReachability);
  void SetPeersReachable(std::string const& aName, Reachability aReachability);
  void Shutdown(std::string const& aName);
  bool HasEnded(std::string const& aName) const;

  /// Writes the table directly to the store, before the first front starts.
  void LoadTable(std::string const& aText);

  std::shared_ptr<TrackedEdit> Edit(std::string const& aFront, TableEdit aEdit);
  std::shared_ptr<TrackedEdit> SetDataCenterState(std::string const& aFront,
                                                  std::string const& aName,
                                                  std::string aState);

  std::shared_ptr<TrackedRequest> Submit(std::string const& aFront,
                                         std::string const& aPipeline,
                                         std::string const& aAccount,
                                         std::string const& aInput,
                                         std::string const& aKey = {});

  /// A key prefix that names the front's current incarnation.
  std::string KeyPrefix(std::string const& aFront);

  void Advance(Duration aDuration);
  /// Advances until the condition holds. Returns false when it does not hold within aLimit.
  bool AdvanceUntil(Duration aLimit, std::function<bool()> const& aCondition);

  /// Advances until all fronts that are alive hold a lease under one epoch that has all of them as members.
  bool AwaitMembership(Duration aLimit);

  MonotonicTime Now() const { return this->clock.Now(); }
  std::vector<std::shared_ptr<TrackedRequest>> const& Requests() const { return this->requests; }

  /// The violations so far, each with the time at which it was found.
  std::vector<std::string> const& Violations() const { return this->violations; }

  /// Checks the responses of all requests. The world must have advanced past their deadlines.
  void CheckResponses();

  std::uint64_t Random() { return this->random = StableHash(std::to_string(this->random)); }

private:
  struct Process;

  void StartProcess(std::string const& aName, std::string const& aDataCenter);
  StorePort StorePortFor(std::shared_ptr<Process> const& aProcess);
  PeerPort PeerPortFor(std::shared_ptr<Process> const& aProcess);
  EndpointPort EndpointPortFor(std::shared_ptr<Process> const& aProcess);
  /// Runs an action at a process after a delay: at a frozen process when it thaws, at a dead one never.
  void Deliver(std::shared_ptr<Process> const& aProcess, Duration aDelay, std::function<void()> aAction);
  std::shared_ptr<Process> ProcessAt(std::string const& aPeerAddress) const;
  bool IsConnected(Process const& aFrom, Process const& aTo) const;
  void Step();
  void CheckStep();
  void Report(std::string aViolation);

  Clock clock;
  FakeStore store;
  std::map<std::string, std::unique_ptr<FakeEndpoint>> endpoints;
  std::map<std::string, std::shared_ptr<Process>> processes;
  std::vector<std::shared_ptr<Process>> killedProcesses;
  std::vector<std::shared_ptr<TrackedRequest>> requests;
  std::vector<std::shared_ptr<TrackedEdit>> edits;
  std::vector<std::string> violations;
  RoutingPolicy policy{ RoutingPolicy::Adaptive };
  Duration shutdownGrace{ 50s };
  Incarnation lastIncarnation{ 1000 };
  std::uint64_t random;
};

}
