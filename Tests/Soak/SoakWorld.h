#pragma once

#include "SoakFront.h"
#include "SoakPlan.h"
#include "SoakProxy.h"
#include <Platform/StandInEndpoint.h>
#include <Platform/StandInStore.h>

namespace Hornbeam::Testing {

enum class SoakMode
{
  Calm,
  /// Faults of processes, links, endpoints and the store.
  RandomFaults,
  /// Planned work alone, with the platform's grace time, and endpoints with slow streams and slow stages.
  PlannedStops,
  /// Faults that break streams off, while endpoints of several software versions join and leave.
  Streams,
};

struct SoakSettings
{
  SoakMode mode{ SoakMode::RandomFaults };
  /// The time between SIGTERM and SIGKILL.
  Duration graceTime{ 3s };
  unsigned seed{ 1 };
  unsigned fronts{ 3 };
  Duration time{ 10s };
  unsigned firstPort{ 24000 };
  /// Whether another writer puts odd entries into the store. Only in runs of random faults, and without faults.
  bool oddEntries{ false };
  std::string program;
  std::string directory;
};

/// The longest time that callers wait for a slow stream.
static constexpr Duration kSlowTimeout = 20s;
/// Events of a slow stream.
static constexpr unsigned kSlowEvents = 40;

/// Events of a stream in runs of streams.
static constexpr unsigned kVersionedEvents = 20;

/// A stand-in endpoint and the proxy in front of it.
struct SoakEndpoint
{
  std::unique_ptr<StandInEndpoint> standIn;
  std::unique_ptr<SoakProxy> proxy;
  std::string service;
  std::string dataCenter;
  /// Whether the endpoint has an entry in the store when no fault is active.
  bool joined{ true };
  std::int64_t incarnation{ 1 };
};

/// A period in which a front could not serve, because it was stopped, killed, shutting down or starting.
struct UnavailablePeriod
{
  MonotonicTime begin{};
  MonotonicTime end{ MonotonicTime::max() };
};

/// Real fronts and their environment: the store, the endpoints, the network links, and the faults injected into them.
class SoakWorld
{
public:
  explicit SoakWorld(SoakSettings aSettings);

  void Start();
  void Schedule(std::vector<SoakFault> const& aFaults);

  /// Ends all faults.
  void ClearFaults();

  /// Restarts processes that have exited. Records a violation for each that exited unexpectedly, or that did not exit
  /// in time.
  void CheckProcesses();

  /// Whether the front was unavailable at any time from aBegin to aEnd.
  bool WasUnavailable(unsigned aFront, MonotonicTime aBegin, MonotonicTime aEnd) const;

  /// Returns the periods in which the front was unavailable, each beginning with the first signal that ends it.
  std::vector<UnavailablePeriod> const& UnavailablePeriodsOf(unsigned aFront) const
  {
    return this->states[aFront].unavailablePeriods;
  }

  /// The table with the next version.
  nlohmann::json NextTable();

  void RunFor(Duration aTime);

  SoakSettings settings;
  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  std::unique_ptr<StandInStore> store;
  std::vector<SoakEndpoint> endpoints;
  std::vector<std::unique_ptr<SoakFront>> fronts;
  std::uint64_t tableVersion{ 0 };
  /// Guarantees violated by processes: unexpected exits, and exits that took too long.
  std::vector<std::string> violations;

private:
  /// The injected faults of a front that are active.
  struct FrontState
  {
    unsigned stops{ 0 };
    bool exitExpected{ false };
    MonotonicTime exitExpectedSince{};
    std::vector<UnavailablePeriod> unavailablePeriods;
  };

  std::string NextAddress();
  SoakEndpoint& AddEndpoint(EndpointKind aKind, std::string const& aService, std::string const& aDataCenter);
  void AddSlowEndpoints();
  /// Makes the model endpoints name their versions, and adds some of other versions that have not joined.
  void AddVersionedEndpoints();
  void BeginRelease(SoakFault const& aFault);
  void PutEndpoint(SoakEndpoint const& aEndpoint, std::string const& aState);
  void Begin(SoakFault const& aFault);
  void BeginAtFront(SoakFault const& aFault);
  void BeginAtStore(SoakFault const& aFault);
  /// Copies the store now and then.
  void TakeCopies();
  void RestoreStore(SoakFault const& aFault);
  void BeginAtLink(SoakFault const& aFault, SoakProxy& aProxy, SoakFaultKind aSlow);
  void BeginAtEndpoint(SoakFault const& aFault);
  void RunAfter(Duration aTime, std::function<void()> aAction);
  void MarkUnavailable(unsigned aFront);
  void MarkAvailable(unsigned aFront);
  void TerminateFront(unsigned aFront, int aSignal);

  unsigned nextPort{ 0 };
  std::vector<std::unique_ptr<SoakProxy>> storeLinks;
  std::vector<FrontState> states;
};

}
