#pragma once

#include <LibFront/LibFront.h>
#include <StandIns/EndpointModel.h>

namespace Hornbeam {

/// The calls that a fake endpoint received, for the checks of the tests.
struct EndpointHistory
{
  /// How many calls were started for each input.
  std::map<std::string, int> runs;
  /// When each call arrived.
  std::vector<MonotonicTime> arrivals;
  /// Calls that exceeded the capacity of the cold endpoint, each as the time since its last unannounced restart;
  /// Duration::max() when there was none.
  std::vector<Duration> coldOverloads;
};

/// An in-memory engine or service, on the world's clock.
class FakeEndpoint
{
public:
  FakeEndpoint(Clock& aClock, EndpointModelSettings aSettings);

  /// Starts a call that has arrived. aOnChunk and aOnEnd must ignore events for a caller that is dead. Returns a
  /// function that cancels the call.
  std::function<void()> Run(EndpointCall const& aCall,
                            std::function<void(std::string)> aOnChunk,
                            std::function<void(EndpointCallEnd)> aOnEnd);

  EndpointReport Report() const { return { this->model.incarnation, this->model.running, 0 }; }
  EndpointModel& Model() { return this->model; }

  /// Restarts the process; the connections of its running calls break immediately.
  void Restart();
  EndpointHistory const& History() const { return this->history; }

  /// A dead endpoint refuses connections.
  bool alive{ true };
  bool duplicateTokens{ false };
  /// How many of the next responses name another attempt.
  int responsesToMisattribute{ 0 };
  /// How many of the next responses are lost, although their calls ran.
  int responsesToLose{ 0 };
  /// Sends the last line of each response twice.
  bool duplicateResponses{ false };

private:
  struct Call;
  using CallPointer = std::shared_ptr<Call>;

  void BreakConnections();
  void SendNext(CallPointer const& aCall);
  void SendEnd(CallPointer const& aCall);
  bool IsLost(CallPointer const& aCall) const;

  Clock& clock;
  EndpointModel model;
  EndpointHistory history;
  std::optional<MonotonicTime> restartedAt;
  std::vector<std::weak_ptr<Call>> running;
};

}
