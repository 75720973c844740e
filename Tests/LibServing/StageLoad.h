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
  /// Multiplies the rate between these times.
  double burst{ 1 };
  Duration burstBegin{ 0 };
  Duration burstEnd{ 0 };
  int rank{ 0 };
  Duration target{ 2s };
  Duration deadline{ 6s };
  std::vector<StageRule> stages;
  /// Pieces of each stage of each request.
  std::vector<unsigned> pieces;
};

struct LoadCounts
{
  unsigned asked{ 0 };
  unsigned onTime{ 0 };
  unsigned late{ 0 };
  /// Refused for good: callers come back once.
  unsigned refused{ 0 };
  /// Refusals, first ones included, and how long callers waited for them, all together.
  unsigned refusals{ 0 };
  Duration refusedAfter{ 0 };
};

/// Stage pools under a load, without network, in simulated time: as many requests as the kinds say come at random
/// moments and go through their stages, one pool for each service.
class StageLoad
{
public:
  explicit StageLoad(unsigned aSeed)
    : random(aSeed)
  {
  }

  void AddService(std::string const& aService, StageLimits const& aLimits, unsigned aEndpoints);

  /// Makes an endpoint, by its number in the service, slower by a factor until a time after the start.
  void Slow(std::string const& aService, unsigned aEndpoint, double aFactor, Duration aUntil);

  /// Plays aTime of the load and what is under way then to its end.
  std::map<std::string, LoadCounts> Play(std::vector<LoadKind> const& aKinds, Duration aTime);

  /// Time that endpoints spent on pieces whose request was not served.
  std::map<std::string, unsigned> piecesInVain;
  ServingTable table;

private:
  struct Request
  {
    LoadKind const* kind{ nullptr };
    std::string id;
    MonotonicTime received{};
    /// When this attempt of the caller came.
    MonotonicTime began{};
    RequestStages stages;
    std::map<unsigned, StageJobId> open;
    /// It was refused before.
    bool cameBack{ false };
    bool ended{ false };
  };
  using RequestPointer = std::shared_ptr<Request>;

  void At(MonotonicTime aWhen, std::function<void()> aAction);
  void Arrive(LoadKind const& aKind);
  void Begin(RequestPointer const& aRequest);
  void Refuse(RequestPointer const& aRequest, Duration aRetryAfter);
  void StartStages(RequestPointer const& aRequest);
  void StartStage(RequestPointer const& aRequest, unsigned aStage);
  void OnResult(RequestPointer const& aRequest, unsigned aStage, StageResult aResult);
  void Carry(std::string const& aService, StageDecisions aDecisions);
  void EndCall(std::string const& aService, StageCall const& aCall);
  void Release(std::map<std::string, std::vector<std::string>> const& aResults);
  void Serve(RequestPointer const& aRequest);
  void LetGo(RequestPointer const& aRequest);

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
  std::priority_queue<Event> eventsDue;
  std::uint64_t lastEvent{ 0 };
  std::map<std::string, StagePool> pools;
  StageBacklogs backlogs;
  std::map<std::pair<std::string, StageJobId>, std::pair<RequestPointer, unsigned>> waiting;
  std::map<std::string, LoadCounts> counts;
  unsigned lastRequest{ 0 };
  unsigned lastResult{ 0 };
};

}
