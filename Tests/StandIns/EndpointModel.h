#pragma once

#include <LibCore/LibCore.h>
#include <map>
#include <string>
#include <vector>

namespace Hornbeam {

/// The behaviour of a stand-in endpoint. Durations are those of a single call on a warm endpoint.
struct EndpointModelSettings
{
  Duration service{ 50ms };
  int tokens{ 0 };
  /// Capacity of a warm and of a cold endpoint in concurrent calls. One call more makes the endpoint crash.
  int warmCapacity{ 8 };
  int coldCapacity{ 2 };
  /// Factor by which calls are slower on a cold endpoint.
  double coldFactor{ 3 };
  /// Number of completed calls after which a cold endpoint is warm.
  int callsToWarm{ 20 };
  /// Increase of the duration of a call for each other concurrent call, as a fraction of the service time.
  double batchingCost{ 0.05 };
  bool startsWarm{ false };
};

/// The result of EndpointModel::Begin().
struct BegunCall
{
  bool crashed{ false };
  Duration duration{ 0 };
};

/// Models an engine or a service under load: cold start, batching, and crashes under overload. Shared by the stand-in
/// process and the in-process fake.
class EndpointModel
{
public:
  explicit EndpointModel(EndpointModelSettings aSettings)
    : settings(aSettings)
    , warm(aSettings.startsWarm)
  {
  }

  /// Begins a call. If the endpoint crashes, all running calls are lost and it restarts cold.
  BegunCall Begin()
  {
    int const capacity = this->warm ? this->settings.warmCapacity : this->settings.coldCapacity;
    if (this->running + 1 > capacity) {
      ++this->crashes;
      this->coldOverloads += this->warm ? 0 : 1;
      this->Restart();
      return { true, Duration::zero() };
    }
    ++this->running;
    this->mostRunning = std::max(this->mostRunning, this->running);
    double const factor = (this->warm ? 1 : this->settings.coldFactor) * this->slowness *
                          (1 + this->settings.batchingCost * (this->running - 1));
    auto const duration = static_cast<double>(this->settings.service.count()) * factor;
    return { false, Duration(static_cast<std::int64_t>(duration)) };
  }

  /// Ends a call that began in aIncarnation.
  void End(std::uint64_t aIncarnation)
  {
    if (aIncarnation != this->incarnation)
      return;
    --this->running;
    ++this->served;
    if (!this->warm && this->served >= this->settings.callsToWarm)
      this->warm = true;
  }

  /// Cancels a call that began in aIncarnation.
  void Cancel(std::uint64_t aIncarnation)
  {
    if (aIncarnation == this->incarnation)
      --this->running;
  }

  void Restart()
  {
    ++this->incarnation;
    this->running = 0;
    this->served = 0;
    this->warm = false;
  }

  /// Makes the endpoint cold without a restart, so that only its longer call durations reveal it.
  void MakeCold()
  {
    this->warm = false;
    this->served = 0;
  }

  bool IsWarm() const { return this->warm; }

  EndpointModelSettings settings;
  std::uint64_t incarnation{ 1 };
  int running{ 0 };
  int mostRunning{ 0 };
  int served{ 0 };
  int crashes{ 0 };
  /// Number of calls that exceeded the capacity of the cold endpoint.
  int coldOverloads{ 0 };
  double slowness{ 1 };

private:
  bool warm;
};

/// The output of a stage. It is a function of the input, so that tests can verify that a response is complete and
/// correct.
inline std::string
StageOutput(std::string const& aStage, std::string const& aInput)
{
  return aStage + "(" + aInput + ")";
}

/// The token with index aIndex of a generation.
inline std::string
StageToken(std::string const& aInput, std::size_t aIndex)
{
  return "t" + std::to_string(aIndex) + "." + std::to_string(StableHash(aInput) % 1000) + " ";
}

}
