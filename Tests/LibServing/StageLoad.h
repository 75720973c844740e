#pragma once

#include <LibServing/LibServing.h>
#include <functional>
#include <queue>
#include <random>

namespace Hornbeam::Gateway {

/// One kind of request in a simulated load.
struct LoadKind
{
  std::string name;
  double perSecond{ 0 };
  /// Multiplies the rate between burstBegin and burstEnd.
  double burst{ 1 };
  Duration burstBegin{ 0 };
  Duration burstEnd{ 0 };
  int priority{ 0 };
  Duration target{ 2s };
  Duration deadline{ 6s };
  std::vector<StageRule> stages;
  /// Number of items of each stage, per request.
  std::vector<unsigned> items;
};

struct LoadCounts
{
  unsigned requests{ 0 };
  unsigned onTime{ 0 };
  unsigned late{ 0 };
  /// Finally refused: callers retry once.
  unsigned refused{ 0 };
  /// All refusals, including those before a retry, and the total time that callers waited for them.
  unsigned refusals{ 0 };
  Duration refusedAfter{ 0 };
};

/// Simulates stage pools under load, without a network and in simulated time. Requests of each kind arrive at random
/// times at the kind's rate and pass through their stages, with one pool per service.
class StageLoad
{
public:
  explicit StageLoad(unsigned aSeed)
    : random(aSeed)
  {
  }

  void AddService(std::string const& aService, StageLimits const& aLimits, unsigned aEndpoints);

  /// Slows an endpoint, given by its number in the service, down by a factor for a time from now.
  void SlowDown(std::string const& aService, unsigned aEndpoint, double aFactor, Duration aUntil);

  /// Runs the load for aTime, then runs the requests still in flight to their end.
  std::map<std::string, LoadCounts> Run(std::vector<LoadKind> const& aKinds, Duration aTime);

  /// Items completed for requests that were then refused, by service.
  std::map<std::string, unsigned> wastedItems;
  ServingTable table;

private:
  struct Request
  {
    LoadKind const* kind{ nullptr };
    std::string id;
    MonotonicTime received{};
    /// When this attempt of the caller arrived.
    MonotonicTime started{};
    RequestStages stages;
    std::map<unsigned, StageJobId> openJobs;
    /// The caller was refused before and has retried.
    bool retried{ false };
    bool ended{ false };
  };
  using RequestPointer = std::shared_ptr<Request>;

  void ScheduleAt(MonotonicTime aWhen, std::function<void()> aAction);
  void Arrive(LoadKind const& aKind);
  void StartRequest(RequestPointer const& aRequest);
  void Refuse(RequestPointer const& aRequest, Duration aRetryAfter);
  void StartStages(RequestPointer const& aRequest);
  void StartStage(RequestPointer const& aRequest, unsigned aStage);
  void OnResult(RequestPointer const& aRequest, unsigned aStage, StageResult aResult);
  void ApplyDecisions(std::string const& aService, StageDecisions aDecisions);
  void EndCall(std::string const& aService, StageCall const& aCall);
  void Release(std::map<std::string, std::vector<std::string>> const& aResults);
  void CompleteRequest(RequestPointer const& aRequest);
  void ReleaseRequest(RequestPointer const& aRequest);

  struct Event
  {
    MonotonicTime when{};
    std::uint64_t number{ 0 };
    std::function<void()> action;
    bool operator<(Event const& aOther) const
    {
      return std::pair(this->when, this->number) > std::pair(aOther.when, aOther.number);
    }
  };

  struct Slowness
  {
    double factor{ 1 };
    MonotonicTime until{};
  };

  std::mt19937 random;
  std::map<std::string, Slowness> slowness;
  MonotonicTime now{ 1h };
  std::priority_queue<Event> pendingEvents;
  std::uint64_t lastEvent{ 0 };
  std::map<std::string, StagePool> pools;
  StageBacklogs backlogs;
  std::map<std::pair<std::string, StageJobId>, std::pair<RequestPointer, unsigned>> waiting;
  std::map<std::string, LoadCounts> counts;
  unsigned lastRequest{ 0 };
  unsigned lastResult{ 0 };
};

}
