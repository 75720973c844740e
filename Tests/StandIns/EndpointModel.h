#pragma once

#include <LibCore/LibCore.h>
#include <map>
#include <string>
#include <vector>

namespace Hornbeam {

/// How a stand-in endpoint behaves. Times are of one call alone on a warm endpoint.
struct EndpointModelSettings
{
  Duration service{ 50ms };
  int tokens{ 0 };
  /// Concurrent calls that a warm and a cold endpoint bear; one more and it falls over.
  int warmCapacity{ 8 };
  int coldCapacity{ 2 };
  /// How much slower a cold endpoint is.
  double coldFactor{ 3 };
  /// Calls after which a cold endpoint is warm.
  int callsToWarm{ 20 };
  /// How much one more concurrent call slows all of them, as a share of the service time.
  double batchingCost{ 0.05 };
  bool startsWarm{ false };
};

/// What the model says of a call that has begun.
struct BegunCall
{
  bool fellOver{ false };
  Duration duration{ 0 };
};

/// The load behaviour of an engine or a service: cold start, batching, falling over. Shared by the stand-in process
/// and the in-process fake.
class EndpointModel
{
public:
  explicit EndpointModel(EndpointModelSettings aSettings)
    : settings(aSettings)
    , warm(aSettings.startsWarm)
  {
  }

  /// A call arrives. When the endpoint falls over, all running calls are lost and it restarts cold.
  BegunCall Begin()
  {
    int const capacity = this->warm ? this->settings.warmCapacity : this->settings.coldCapacity;
    if (this->running + 1 > capacity) {
      ++this->falls;
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

  /// A call that began in aIncarnation has ended.
  void End(std::uint64_t aIncarnation)
  {
    if (aIncarnation != this->incarnation)
      return;
    --this->running;
    ++this->served;
    if (!this->warm && this->served >= this->settings.callsToWarm)
      this->warm = true;
  }

  /// A call that began in aIncarnation was cancelled.
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

  /// Turns cold without a restart: nothing but its slowness tells.
  void TurnCold()
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
  int falls{ 0 };
  /// Calls that arrived at a cold endpoint beyond what it bears.
  int coldOverloads{ 0 };
  double slowness{ 1 };

private:
  bool warm;
};

/// The output of a stage is a function of its input, so that tests can tell a whole and right answer from any other.
inline std::string
StageOutput(std::string const& aStage, std::string const& aInput)
{
  return aStage + "(" + aInput + ")";
}

/// Token aIndex of a generation.
inline std::string
StageToken(std::string const& aInput, std::size_t aIndex)
{
  return "t" + std::to_string(aIndex) + "." + std::to_string(StableHash(aInput) % 1000) + " ";
}

}
