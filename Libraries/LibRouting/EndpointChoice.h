#pragma once

#include <LibGrants/LibGrants.h>
#include <span>

namespace Hornbeam {

enum class RoutingPolicy
{
  /// Slots by grants, scored by expected latency, load, data centre and prefix affinity.
  Adaptive,
  /// Baselines for experiments: without grants, admission or outlier ejection.
  RoundRobin,
  LeastOutstanding,
};

/// One endpoint of a pool as the routing decision sees it.
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
  /// An earlier attempt of the same stage failed there.
  bool tried{ false };
  Duration expectedLatency{ 0 };
};

/// What the decision is made for.
struct ChoiceContext
{
  RoutingPolicy policy{ RoutingPolicy::Adaptive };
  /// Groups requests that share a prompt prefix; empty for none.
  std::string affinityKey;
  /// How long the stage may take at most.
  Duration slack{ 0 };
  /// Counts the decisions of the pool, for round robin.
  std::uint64_t turn{ 0 };
};

struct Choice
{
  std::size_t index{ 0 };
  /// A short reason for the log.
  char const* reason{ "" };
};

/// Chooses among the candidates; empty when none can take the work now.
std::optional<Choice>
ChooseEndpoint(std::span<Candidate const> aCandidates, ChoiceContext const& aContext);

}
