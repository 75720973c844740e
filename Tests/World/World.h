#pragma once

#include "FakeEndpoint.h"
#include "FakeStore.h"

namespace Hornbeam {

/// A request that a test sent, and what came of it.
struct TrackedRequest
{
  CallerRequest request;
  std::string expectedOutput;
  MonotonicTime sentAt{};
  MonotonicTime deadline{};
  std::vector<std::string> tokens;
  /// More than one is a doubled answer.
  int answers{ 0 };
  PipelineResponse answer;
  MonotonicTime answeredAt{};
  /// The front that took it was killed, so that its caller saw the connection break.
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

/// Fronts with the real services over fakes, on paused clocks. It steps time, delivers messages, brings faults about
/// and checks after every step what must always hold. It is deterministic.
class World
{
public:
  explicit World(std::uint64_t aSeed = 1);
  ~World();
  World(World const&) = delete;
  World& operator=(World const&) = delete;

  /// The routing policy of fronts that are started from now on.
  void SetPolicy(RoutingPolicy aPolicy) { this->policy = aPolicy; }

  void AddFront(std::string const& aName, std::string const& aDataCenter);
  FakeEndpoint& AddEndpoint(std::string const& aName, EndpointModelSettings aSettings);
  FakeEndpoint& Endpoint(std::string const& aName) { return *this->endpoints.at(aName); }
  FakeStore& Store() { return this->store; }
  Front& FrontNamed(std::string const& aName);
  bool IsAlive(std::string const& aName) const;

  void Kill(std::string const& aName);
  /// A new process under the name of one that was killed.
  void Restart(std::string const& aName);
  void Freeze(std::string const& aName, Duration aDuration);
  void SetStoreReachable(std::string const& aName, Reachability aReachability);
  void SetPeersReachable(std::string const& aName, Reachability aReachability);
  void Shutdown(std::string const& aName);
  bool HasEnded(std::string const& aName) const;

  /// Puts the table in the store directly, as before the first front starts.
  void LoadTable(std::string const& aText);

  std::shared_ptr<TrackedEdit> Edit(std::string const& aFront, TableEdit aEdit);
  std::shared_ptr<TrackedEdit> MoveDataCenter(std::string const& aFront, std::string const& aName, std::string aState);

  std::shared_ptr<TrackedRequest> Submit(std::string const& aFront,
                                         std::string const& aPipeline,
                                         std::string const& aAccount,
                                         std::string const& aInput,
                                         std::string const& aKey = {});

  /// A key prefix that names the front's present incarnation.
  std::string KeyPrefix(std::string const& aFront);

  void Advance(Duration aDuration);
  /// Advances until the condition holds; false when it does not within the time.
  bool AdvanceUntil(Duration aLimit, std::function<bool()> const& aCondition);

  /// Advances until every front that is alive holds a lease under one epoch with all of them.
  bool AwaitMembership(Duration aLimit);

  MonotonicTime Now() const { return this->clock.Now(); }
  std::vector<std::shared_ptr<TrackedRequest>> const& Requests() const { return this->requests; }

  /// What did not hold so far; each is reported where it was seen.
  std::vector<std::string> const& Violations() const { return this->violations; }

  /// Checks the answers of all requests, once the world has been advanced past their deadlines.
  void CheckAnswers();

  std::uint64_t Random() { return this->random = StableHash(std::to_string(this->random)); }

private:
  struct Process;

  void StartProcess(std::string const& aName, std::string const& aDataCenter);
  StorePort StorePortFor(std::shared_ptr<Process> const& aProcess);
  PeerPort PeerPortFor(std::shared_ptr<Process> const& aProcess);
  EndpointPort EndpointPortFor(std::shared_ptr<Process> const& aProcess);
  /// Delivers something to a process after a delay; to a frozen one when it thaws, to a dead one never.
  void Deliver(std::shared_ptr<Process> const& aProcess, Duration aDelay, std::function<void()> aAction);
  std::shared_ptr<Process> ProcessAt(std::string const& aPeerAddress) const;
  bool CanTalk(Process const& aFrom, Process const& aTo) const;
  void Step();
  void CheckStep();
  void Report(std::string aViolation);

  Clock clock;
  FakeStore store;
  std::map<std::string, std::unique_ptr<FakeEndpoint>> endpoints;
  std::map<std::string, std::shared_ptr<Process>> processes;
  std::vector<std::shared_ptr<Process>> graveyard;
  std::vector<std::shared_ptr<TrackedRequest>> requests;
  std::vector<std::shared_ptr<TrackedEdit>> edits;
  std::vector<std::string> violations;
  RoutingPolicy policy{ RoutingPolicy::Adaptive };
  Incarnation lastIncarnation{ 1000 };
  std::uint64_t random;
};

}
