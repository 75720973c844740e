#pragma once

#include "SoakFront.h"
#include "SoakPlan.h"
#include "SoakProxy.h"
#include <Platform/StandInEndpoint.h>
#include <Platform/StandInStore.h>

namespace Hornbeam::Testing {

struct SoakSettings
{
  unsigned seed{ 1 };
  unsigned fronts{ 3 };
  Duration time{ 10s };
  unsigned firstPort{ 24000 };
  std::string program;
  std::string directory;
};

/// An endpoint behind its proxy.
struct SoakEndpoint
{
  std::unique_ptr<StandInEndpoint> standIn;
  std::unique_ptr<SoakProxy> proxy;
  std::string service;
  std::string dataCenter;
  std::int64_t incarnation{ 1 };
};

/// A time in which a front could not do its work: it was stopped, killed, ending or starting.
struct FrontTrouble
{
  MonotonicTime begin{};
  MonotonicTime end{ MonotonicTime::max() };
};

/// Real fronts, and everything around them: store, endpoints, the links between, and what goes wrong there.
class SoakWorld
{
public:
  explicit SoakWorld(SoakSettings aSettings);

  void Start();
  void Schedule(std::vector<SoakFault> const& aFaults);

  /// Undoes all faults.
  void Calm();

  /// Takes the ends of processes; starts those again that were to end.
  void Review();

  /// Whether the front was in trouble at any moment of this time.
  bool WasInTrouble(unsigned aFront, MonotonicTime aBegin, MonotonicTime aEnd) const;

  void RunFor(Duration aTime);

  SoakSettings settings;
  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  std::unique_ptr<StandInStore> store;
  std::vector<SoakEndpoint> endpoints;
  std::vector<std::unique_ptr<SoakFront>> fronts;
  std::uint64_t tableVersion{ 1 };
  /// Promises broken by processes: they ended by themselves, or did not end in time.
  std::vector<std::string> faults;

private:
  /// What is going on at a front.
  struct FrontState
  {
    unsigned stops{ 0 };
    bool endWanted{ false };
    MonotonicTime endWantedAt{};
    std::vector<FrontTrouble> troubles;
  };

  std::string NextAddress();
  void AddEndpoint(EndpointKind aKind, std::string const& aService, std::string const& aDataCenter);
  void Enter(SoakEndpoint const& aEndpoint, std::string const& aState);
  void Begin(SoakFault const& aFault);
  void BeginAtFront(SoakFault const& aFault);
  void BeginAtStore(SoakFault const& aFault);
  void BeginAtLink(SoakFault const& aFault, SoakProxy& aProxy, SoakFaultKind aSlow);
  void BeginAtEndpoint(SoakFault const& aFault);
  void After(Duration aTime, std::function<void()> aAction);
  void BeginTrouble(unsigned aFront);
  void EndTrouble(unsigned aFront);
  void EndFront(unsigned aFront, int aSignal);

  unsigned nextPort{ 0 };
  std::vector<std::unique_ptr<SoakProxy>> storeLinks;
  std::vector<FrontState> states;
};

}
