#pragma once

#include <LibCore/LibCore.h>
#include <LibRelay/LibRelay.h>
#include <memory>
#include <set>

namespace Hornbeam::Gateway {

/// A fleet of fronts that learn the state of a store, in simulated time: each answer of the store takes 4 ms, each call
/// between fronts 2 ms each way. The store refuses reads beyond its rate.
class FleetLoad
{
public:
  FleetLoad(unsigned aFronts, unsigned aDataCenters);

  /// Starts all fronts at once.
  void Start();
  void Restart(std::string const& aFront);
  void Kill(std::string const& aFront);

  /// A frozen front answers nobody, but its connections stay open.
  void Freeze(std::string const& aFront) { this->Find(aFront).frozen = true; }
  /// The front's connection to the store stays open, but carries nothing until the keep-alive probes have failed.
  void CutFromStore(std::string const& aFront);

  /// Writes an object that every front should learn of.
  void Change();
  void RunFor(Duration aTime);

  std::vector<std::string> Names() const;
  /// Fronts that watch the store.
  std::set<std::string> Watching() const;
  std::size_t CountServing() const;

  /// The longest time that a front which was alive all the while took to learn of a change since ResetFigures().
  Duration LongestDelay() const;
  void ResetFigures();

  std::uint64_t storeCalls{ 0 };
  std::uint64_t refusedCalls{ 0 };
  std::size_t maxFollowers{ 0 };
  /// Changed objects sent between fronts of different data centres.
  std::uint64_t remoteObjects{ 0 };
  double storeReadsPerSecond{ 16'000 };

private:
  enum class Kind
  {
    Front,
    Endpoint,
  };
  struct Front
  {
    FrontEntry entry;
    std::map<Kind, ObjectLog> logs;
    FrontSet fronts;
    RelayRoles roles;
    Subscription subscription;
    /// Counts processes under this name; events of an earlier one are void.
    unsigned process{ 0 };
    bool alive{ false };
    bool frozen{ false };
    bool cutFromStore{ false };
    bool cutDetected{ false };
    bool registered{ false };
    bool watching{ false };
    /// Identifies the watches in force.
    unsigned watches{ 0 };
    std::size_t pendingPolls{ 0 };
    MonotonicTime aliveSince{};
    std::map<std::uint64_t, MonotonicTime> learntAt;
  };
  struct Poll
  {
    std::string from;
    std::string to;
    unsigned fromProcess{ 0 };
    unsigned toProcess{ 0 };
    std::map<Kind, std::uint64_t> revisions;
    PollKind kind{ PollKind::Changes };
    bool answered{ false };
  };

  Front& Find(std::string const& aName) { return this->fronts.at(aName); }
  void After(Front& aFront, Duration aDelay, std::function<void()> aAction);
  bool TakeStoreCall();
  void List(Front& aFront, Kind aKind);
  void Watch(Front& aFront, Kind aKind, unsigned aWatches);
  void Write(Kind aKind, std::string const& aName);
  void Apply(Front& aFront, Kind aKind, ObjectUpdate const& aUpdate);
  bool IsLoaded(Front& aFront);
  void Update(Front& aFront);
  void Tick(Front& aFront);
  void SetUse(Front& aFront, StoreUse aUse);
  void SendPoll(Front& aFront, RelayPoll const& aPoll);
  static bool HasNews(Front& aFront, Poll const& aPoll);
  void Answer(std::shared_ptr<Poll> const& aPoll);
  void OnChanged(Front& aFront);
  Duration AgeOf(Front& aFront);

  Clock clock{ ClockMode::Paused };
  std::map<std::string, Front> fronts;
  std::vector<std::string> seeds;
  std::uint64_t revision{ 1 };
  std::map<Kind, ObjectLog> store;
  struct PendingWatch
  {
    std::string front;
    Kind kind{};
    unsigned watches{ 0 };
    unsigned process{ 0 };
  };
  std::vector<PendingWatch> pendingWatches;
  std::vector<std::shared_ptr<Poll>> polls;
  std::map<std::uint64_t, MonotonicTime> changes;
  MonotonicTime storeSecond{};
  double storeReadsInSecond{ 0 };
};

}
