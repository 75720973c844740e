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
  /// Draws the number of items of each stage of one request, instead of `items`, if set.
  std::function<std::vector<unsigned>(std::mt19937&)> drawItems;
  /// Time of an item of each stage, as a multiple of the service's item time; 1 if empty.
  std::vector<double> itemCosts;
  /// What a response is worth to its caller.
  double onTimeWorth{ 1 };
  double lateWorth{ 0 };
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
  /// Refusals after more than an eighth of the target.
  unsigned heldRefusals{ 0 };
  double worthOffered{ 0 };
  double worthEarned{ 0 };
};

/// Items of all services.
struct ItemCounts
{
  unsigned made{ 0 };
  /// Results that were not part of a response.
  unsigned inVain{ 0 };
  /// Items that an endpoint had no memory for.
  unsigned noMemory{ 0 };
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

  /// Slows an endpoint, given by its number in the service, down by a factor, between two times from now.
  void SlowDown(std::string const& aService, unsigned aEndpoint, double aFactor, Duration aUntil, Duration aBegin = {});

  /// Makes an endpoint fail and lose its results for a time. The owner learns of it from failed calls and, after a
  /// second, from the store.
  void TakeAway(std::string const& aService, unsigned aEndpoint, Duration aBegin, Duration aEnd);

  /// Replaces all owners by new ones that do not know which results the endpoints hold. Waiting jobs are sent again.
  void ReplaceOwners(Duration aWhen);

  /// Runs the load for aTime, then runs the requests still in flight to their end.
  std::map<std::string, LoadCounts> Run(std::vector<LoadKind> const& aKinds, Duration aTime);

  /// Items completed for requests that were then refused, by service.
  std::map<std::string, unsigned> wastedItems;
  ItemCounts items;
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
    std::vector<unsigned> drawn;
    std::map<unsigned, StageJobId> openJobs;
    bool restarted{ false };
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
  void Submit(RequestPointer const& aRequest, unsigned aStage, StageJob aJob);
  void GiveUp(RequestPointer const& aRequest);
  bool RestartOnce(RequestPointer const& aRequest);
  void OnResult(RequestPointer const& aRequest, unsigned aStage, StageResult aResult);
  void ApplyDecisions(std::string const& aService, StageDecisions aDecisions);
  void StartCall(std::string const& aService, StageCall const& aCall);
  std::vector<ItemResult> Occupy(std::string const& aService, StageCall const& aCall);
  double ItemsOfWork(std::string const& aService,
                     StageCall const& aCall,
                     std::vector<ItemResult> const& aResults) const;
  void EndCall(std::string const& aService,
               unsigned aGeneration,
               StageCall const& aCall,
               std::vector<ItemResult> const& aResults);
  void FailCall(std::string const& aService, unsigned aGeneration, StageCallId aCall, StageCallEnd aEnd);
  void Lose(std::string const& aEndpoint);
  void ReleaseAtEngine(std::string const& aEndpoint, std::vector<std::string> const& aHandles);
  void UpdateEndpoints(std::string const& aService);
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
    MonotonicTime begin{};
    MonotonicTime until{};
  };

  /// What an endpoint really holds, whatever its owner knows.
  struct Engine
  {
    std::size_t bytes{ 0 };
    unsigned calls{ 0 };
    /// Counts restarts; also the incarnation of its entry.
    unsigned life{ 1 };
    bool gone{ false };
    /// The store no longer lists it.
    bool unlisted{ false };
    std::map<std::string, std::size_t> results;
  };

  std::mt19937 random;
  std::map<std::string, Engine> engines;
  std::map<std::string, std::vector<EndpointEntry>> entries;
  std::map<std::string, StageLimits> limitsOf;
  unsigned generation{ 0 };
  /// The jobs that owners have, to be sent again to the next owner.
  std::map<std::pair<std::string, StageJobId>, StageJob> jobsOf;
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
