#pragma once

#include <LibGrants/LibGrants.h>
#include <span>

namespace Hornbeam {

enum class RoutingPolicy
{
  /// Uses granted slots and scores endpoints by expected latency, load, data centre and prefix affinity.
  Adaptive,
  /// Baselines for experiments: without grants, admission or outlier ejection.
  RoundRobin,
  LeastOutstanding,
};

/// Routing view of one endpoint of a pool.
struct Candidate
{
  std::string name;
  bool sameDataCenter{ false };
  int weight{ 100 };
  int freeSlots{ 0 };
  int used{ 0 };
  int total{ 0 };
  bool cold{ false };
  bool ejected{ false };
  /// An earlier attempt at the same stage failed at this endpoint.
  bool tried{ false };
  Duration expectedLatency{ 0 };
};

/// Parameters of one routing decision.
struct ChoiceContext
{
  RoutingPolicy policy{ RoutingPolicy::Adaptive };
  /// Identifies requests that share a prompt prefix; empty without affinity.
  std::string affinityKey;
  /// Longest time that the stage may take.
  Duration slack{ 0 };
  /// Counter of the pool's decisions, used for round robin.
  std::uint64_t turn{ 0 };
};

struct Choice
{
  std::size_t index{ 0 };
  /// Short explanation for the log.
  char const* reason{ "" };
};

/// Chooses one of the candidates; returns nothing if none can accept the work now.
std::optional<Choice>
ChooseEndpoint(std::span<Candidate const> aCandidates, ChoiceContext const& aContext);

}
