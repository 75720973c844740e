#pragma once

#include <LibFront/LibFront.h>
#include <StandIns/EndpointModel.h>

namespace Hornbeam {

/// What a fake endpoint has been given, for the checks of the promises.
struct EndpointHistory
{
  /// How often each input was begun.
  std::map<std::string, int> runs;
  /// When each call arrived.
  std::vector<MonotonicTime> arrivals;
  /// When calls came that a cold endpoint could not bear, as the time since its last silent restart; the longest time
  /// when it had none.
  std::vector<Duration> coldOverloads;
};

/// An engine or a service in memory, on the world's clock.
class FakeEndpoint
{
public:
  FakeEndpoint(Clock& aClock, EndpointModelSettings aSettings);

  /// The bytes of a call arrive. The events are delivered by aDeliver, which knows whether the caller still lives.
  /// Returns what cancels the call.
  std::function<void()> Run(EndpointCall const& aCall,
                            std::function<void(std::string)> aOnPiece,
                            std::function<void(EndpointCallEnd)> aOnEnd);

  EndpointReport Report() const { return { this->model.incarnation, this->model.running, 0 }; }
  EndpointModel& Model() { return this->model; }

  /// The process restarts: the connections of its running calls break at once.
  void Restart();
  EndpointHistory const& History() const { return this->history; }

  /// A dead endpoint refuses connections.
  bool alive{ true };
  bool duplicateTokens{ false };
  int mixUps{ 0 };
  int loseAnswers{ 0 };
  /// Answers as whole again after the end.
  bool doubleAnswers{ false };

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
