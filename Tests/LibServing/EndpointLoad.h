#pragma once

#include <LibServing/LibServing.h>
#include <map>
#include <random>

namespace Hornbeam::Gateway {

enum class LoadPolicy
{
  /// Each front knows its own requests only.
  OwnCounts,
  /// Fronts exchange their loads.
  Exchange,
  /// One dispatcher knows the load of each endpoint at each moment.
  AllKnowing,
};

enum class LoadPattern
{
  Steady,
  /// 28% of the requests have one part.
  HotPart,
  /// A third of the endpoints takes four times as long for 5 s.
  SlowThird,
  /// A third of the endpoints leaves as a burst of 1.4 times the load begins, for 5 s.
  LostThird,
  /// All fronts restart at once, and know nothing.
  NewFronts,
  /// No collector can be reached from the middle of the run on.
  NoCollectors,
};

/// One kind of request; all of its requests have one of its prompt parts.
struct PromptKind
{
  double perSecond{ 0 };
  TokenUsage tokens;
  unsigned parts{ 0 };
};

struct LoadShape
{
  unsigned fronts{ 81 };
  unsigned endpoints{ 140 };
  unsigned slots{ 24 };
  std::vector<PromptKind> kinds;
};

struct LoadFigures
{
  /// Mean load over the run of the endpoint that has the greatest, over that of all endpoints.
  double busiest{ 0 };
  /// The 99th percentile of the time from the arrival at an endpoint until the prompt is read, in seconds.
  double wait{ 0 };
  /// The share of requests whose part was read at another endpoint, but not at theirs, within the last 9 s.
  double readAgain{ 0 };
};

/// Simulates a fleet that sends requests to model endpoints, in simulated time: first 20 s that are not counted, then
/// 20 s. Changes of the pattern begin 8 s into the latter.
LoadFigures
SimulateEndpointLoad(LoadShape const& aShape, LoadPolicy aPolicy, LoadPattern aPattern, unsigned aSeed);

}
