#include "EndpointSelection.h"
#include <algorithm>
#include <cmath>

namespace Hornbeam::Gateway {

/// Affinity applies while an endpoint's load is below this multiple of the mean plus the slack.
static constexpr double kAffinityLoadFactor = 1.5;
static constexpr double kAffinityLoadSlack = 3;

/// A prompt part stays at its first endpoint while that has less load than this multiple of the mean, and a third
/// endpoint is considered above kThirdFactor. Lower factors gain little and make endpoints read more parts again.
static constexpr double kKeepFactor = 1.1;
static constexpr double kThirdFactor = 1.3;
/// An endpoint with less than this portion of its slots in use keeps its parts, whatever the mean: a request hardly
/// waits there, and reading a part again at another endpoint costs more than the wait.
static constexpr double kUnloadedPortion = 0.5;
/// The portion of an endpoint's parts that go to the next one, per relative difference of their loads.
static constexpr double kMoveGain = 3;
/// Range of the portion in which requests of one part go to both endpoints, so that a popular part is split.
static constexpr double kMoveJitter = 0.1;
/// If even the third endpoint has more load than this multiple of the mean, the part goes to further ones: a popular
/// part may have the load of many endpoints.
static constexpr double kHotFactor = 1.6;
static constexpr double kHotExponent = 3;

/// Time window of the platform's rate limit for cold endpoints.
static constexpr Duration kColdWindow = 1s;

static unsigned
ColdSendQuota(ColdRules const& aRules, double aRate)
{
  double const bound = aRate * aRules.overshoot + aRules.slack;
  return unsigned(std::max(1.0, std::floor(bound / 2 / double(kColdSenders))));
}

bool
MaySendToColdEndpoint(SelectionView const& aView,
                      KnownEndpoint const& aEndpoint,
                      std::string const& aOwnName,
                      MonotonicTime aNow)
{
  if (!IsAmongOwners(aView.fronts, aEndpoint.entry.id, aOwnName, kColdSenders))
    return false;
  auto const recent =
    std::ranges::count_if(aEndpoint.coldSendTimes, [&](auto aSent) { return aNow - aSent < kColdWindow * 1.1; });
  return recent < ColdSendQuota(aView.cold, RuleOf(aView.table, aEndpoint.entry.service).coldRate);
}

unsigned
ConnectionQuota(SelectionView const& aView, std::string const& aService)
{
  auto const fronts = std::max<std::size_t>(1, aView.fronts.byName.size());
  return std::max(1U, unsigned(RuleOf(aView.table, aService).maxConnections / fronts));
}

bool
HasQueriedVersion(EndpointQuery const& aQuery, EndpointEntry const& aEntry)
{
  auto const has = [&](std::optional<std::string> const& aVersion) {
    return !aVersion || (!aEntry.softwareVersion.empty() && aEntry.softwareVersion == *aVersion);
  };
  return has(aQuery.softwareVersion) && has(aQuery.rolloutVersion) &&
         (!aQuery.excludedVersion || aEntry.softwareVersion != *aQuery.excludedVersion);
}

/// Returns whether the endpoint is in service and not excluded by the query.
static bool
IsEligible(SelectionView const& aView, EndpointQuery const& aQuery, KnownEndpoint const& aEndpoint)
{
  return IsUsable(aView.endpoints, aEndpoint) && HasQueriedVersion(aQuery, aEndpoint.entry) &&
         std::ranges::find(aQuery.excluded, aEndpoint.entry.id) == aQuery.excluded.end();
}

MonotonicTime
EarliestSendTo(SelectionView const& aView, KnownEndpoint const& aEndpoint, std::string const& aOwnName)
{
  auto const& signals = aEndpoint.signals;
  auto const fronts = aView.fronts.byName.size();
  bool const isSender =
    !signals.limit || IsAmongOwners(aView.fronts, aEndpoint.entry.id, aOwnName, LimitSenders(*signals.limit, fronts));
  return EarliestSend(signals, isSender, fronts);
}

std::optional<MonotonicTime>
EarliestRoom(SelectionView const& aView, EndpointQuery const& aQuery)
{
  std::optional<MonotonicTime> earliest;
  auto const pool = aView.endpoints.idsByService.find(aQuery.service);
  if (pool == aView.endpoints.idsByService.end())
    return earliest;
  for (auto const& id : pool->second) {
    auto const& endpoint = aView.endpoints.byId.at(id);
    if (!IsEligible(aView, aQuery, endpoint))
      continue;
    auto const time = EarliestSendTo(aView, endpoint, aQuery.ownName);
    earliest = std::min(earliest.value_or(time), time);
  }
  return earliest;
}

std::vector<KnownEndpoint const*>
EligibleEndpoints(SelectionView const& aView, EndpointQuery const& aQuery, MonotonicTime aNow)
{
  std::vector<KnownEndpoint const*> healthy;
  std::vector<KnownEndpoint const*> ejected;
  auto const pool = aView.endpoints.idsByService.find(aQuery.service);
  if (pool == aView.endpoints.idsByService.end())
    return {};
  auto const quota = ConnectionQuota(aView, aQuery.service);
  bool const mayBeCold = RuleOf(aView.table, aQuery.service).coldRate > 0;
  for (auto const& id : pool->second) {
    auto const& endpoint = aView.endpoints.byId.at(id);
    if (!IsEligible(aView, aQuery, endpoint) || endpoint.outstanding >= quota)
      continue;
    if (EarliestSendTo(aView, endpoint, aQuery.ownName) > aNow)
      continue;
    if (mayBeCold && endpoint.coldUntil > aNow && !MaySendToColdEndpoint(aView, endpoint, aQuery.ownName, aNow))
      continue;
    (endpoint.ejectedUntil > aNow ? ejected : healthy).push_back(&endpoint);
  }
  return healthy.empty() ? ejected : healthy;
}

static KnownEndpoint const*
ChooseByAffinity(std::vector<KnownEndpoint const*> const& aCandidates, std::string const& aKey)
{
  double total = 0;
  for (auto const* candidate : aCandidates)
    total += candidate->outstanding;
  double const limit = kAffinityLoadFactor * total / double(aCandidates.size()) + kAffinityLoadSlack;
  KnownEndpoint const* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (auto const* candidate : aCandidates) {
    if (candidate->outstanding >= limit)
      continue;
    auto const weight = RendezvousWeight(aKey, candidate->entry.id);
    if (best != nullptr && weight <= bestWeight)
      continue;
    best = candidate;
    bestWeight = weight;
  }
  return best;
}

static KnownEndpoint const*
ChooseByLoad(SelectionView const& aView,
             EndpointQuery const& aQuery,
             std::vector<KnownEndpoint const*> const& aCandidates)
{
  // An endpoint with a limit is in need: others are preferred until they have a request more.
  auto const load = [](KnownEndpoint const* aEndpoint) {
    return aEndpoint->outstanding + (aEndpoint->signals.limit ? 1 : 0);
  };
  auto const cost = [&](KnownEndpoint const* aEndpoint) {
    bool const connected = aView.hasConnection && aView.hasConnection(aEndpoint->entry.address);
    bool const near = aEndpoint->entry.dataCenter == aQuery.ownDataCenter;
    return std::tuple(
      load(aEndpoint), connected ? 0 : 1, near ? 0 : 1, ~RendezvousWeight(aQuery.ownName, aEndpoint->entry.id));
  };
  return *std::ranges::min_element(aCandidates, {}, cost);
}

using Candidates = std::vector<KnownEndpoint const*>;

struct WeighedEndpoint
{
  std::uint64_t weight{ 0 };
  KnownEndpoint const* endpoint{ nullptr };
  double load{ 0 };
};

/// Returns the endpoints with their estimated loads, in the order of their rendezvous weights for a key.
static std::vector<WeighedEndpoint>
WeighEndpoints(FleetLoads const& aLoads, Candidates const& aCandidates, std::string const& aKey)
{
  std::vector<WeighedEndpoint> weighed;
  weighed.reserve(aCandidates.size());
  for (auto const* candidate : aCandidates)
    weighed.push_back(
      { RendezvousWeight(aKey, candidate->entry.id), candidate, EstimatedLoad(aLoads, ProcessOf(candidate->entry)) });
  std::ranges::sort(weighed, std::greater(), &WeighedEndpoint::weight);
  return weighed;
}

/// Returns a number in [0, 1) for a key or a draw.
static double
Uniform(std::string_view aKey, std::string_view aPurpose)
{
  return double(RendezvousWeight(aKey, aPurpose) >> 11) * 0x1p-53;
}

/// Chooses for a part of which the first endpoints are overloaded: the more load an endpoint has, the more requests go
/// on to the next one.
static KnownEndpoint const*
ChooseForHotPart(std::vector<WeighedEndpoint> const& aWeighed, double aMean, std::uint64_t aDraw)
{
  auto const draw = std::to_string(aDraw);
  for (auto const& candidate : aWeighed) {
    double const accepted = std::pow(kHotFactor * aMean / std::max(1.0, candidate.load), kHotExponent);
    if (Uniform(draw, candidate.endpoint->entry.id) < accepted)
      return candidate.endpoint;
  }
  return std::ranges::min_element(aWeighed, {}, &WeighedEndpoint::load)->endpoint;
}

/// Returns one of the two or three endpoints with the greatest rendezvous weights. The more load the first one has than
/// the second, the more parts go to the second; which ones is the same on all fronts.
static KnownEndpoint const*
ChooseByFleetAffinity(FleetLoads const& aLoads,
                      Candidates const& aCandidates,
                      EndpointQuery const& aQuery,
                      unsigned aSlots)
{
  double const unloaded = kUnloadedPortion * aSlots * aLoads.requestLoad;
  auto const weighed = WeighEndpoints(aLoads, aCandidates, aQuery.affinityKey);
  double total = 0;
  for (auto const& candidate : weighed)
    total += candidate.load;
  double const mean = total / double(weighed.size());
  auto best = weighed.front();
  double threshold = kKeepFactor;
  for (std::size_t index = 1; index < std::min<std::size_t>(3, weighed.size()); ++index, threshold = kThirdFactor) {
    if (best.load <= std::max(threshold * mean, unloaded))
      return best.endpoint;
    auto const& other = weighed[index];
    double const portion = kMoveGain * (best.load - other.load) / (best.load + other.load);
    double const place = Uniform(aQuery.affinityKey, index == 1 ? "second" : "third");
    double const jitter = kMoveJitter * Uniform(std::to_string(aQuery.draw), "jitter");
    if (place * (1 - kMoveJitter) + jitter < portion)
      best = other;
  }
  bool const hot = best.load > std::max(kHotFactor * mean, unloaded);
  return hot ? ChooseForHotPart(weighed, std::max(mean, unloaded / kHotFactor), aQuery.draw) : best.endpoint;
}

/// Returns the one of two random endpoints with the lower estimated load.
static KnownEndpoint const*
ChooseOfTwo(FleetLoads const& aLoads, Candidates const& aCandidates, std::uint64_t aDraw)
{
  auto const size = aCandidates.size();
  auto const first = aDraw % size;
  if (size == 1)
    return aCandidates.front();
  // The pair has no order, so that the first of equal ones is random, too.
  auto const second = (first + 1 + aDraw / size % (size - 1)) % size;
  auto const load = [&](std::size_t aIndex) { return EstimatedLoad(aLoads, ProcessOf(aCandidates[aIndex]->entry)); };
  return aCandidates[load(second) < load(first) ? second : first];
}

static KnownEndpoint const*
ChooseByFleetLoad(SelectionView const& aView,
                  EndpointQuery const& aQuery,
                  Candidates const& aUnlimited,
                  Candidates const& aCandidates)
{
  auto const& loads = *aView.fleetLoads;
  if (aUnlimited.empty())
    return ChooseByLoad(aView, aQuery, aCandidates);
  if (aQuery.affinityKey.empty())
    return ChooseOfTwo(loads, aUnlimited, aQuery.draw);
  return ChooseByFleetAffinity(loads, aUnlimited, aQuery, RuleOf(aView.table, aQuery.service).modelSlots);
}

std::optional<std::string>
ChooseEndpoint(SelectionView const& aView, EndpointQuery const& aQuery, MonotonicTime aNow)
{
  auto const candidates = EligibleEndpoints(aView, aQuery, aNow);
  if (candidates.empty())
    return std::nullopt;
  KnownEndpoint const* chosen = nullptr;
  // Prompts would move to an endpoint with a limit and away again with each of its turns.
  std::vector<KnownEndpoint const*> unlimited;
  std::ranges::copy_if(
    candidates, std::back_inserter(unlimited), [](auto const* aEndpoint) { return !aEndpoint->signals.limit; });
  if (aView.fleetLoads != nullptr && aView.fleetLoads->expires > aNow &&
      RuleOf(aView.table, aQuery.service).hasModelEndpoints)
    chosen = ChooseByFleetLoad(aView, aQuery, unlimited, candidates);
  else if (!aQuery.affinityKey.empty() && !unlimited.empty())
    chosen = ChooseByAffinity(unlimited, aQuery.affinityKey);
  if (chosen == nullptr)
    chosen = ChooseByLoad(aView, aQuery, candidates);
  return chosen->entry.id;
}

bool
HasUntriedEndpoint(SelectionView const& aView, EndpointQuery const& aQuery)
{
  auto const pool = aView.endpoints.idsByService.find(aQuery.service);
  if (pool == aView.endpoints.idsByService.end())
    return false;
  return std::ranges::any_of(pool->second,
                             [&](auto const& aId) { return IsEligible(aView, aQuery, aView.endpoints.byId.at(aId)); });
}

void
OnRequestSent(EndpointSet& aSet, std::string const& aId, std::size_t aFronts, MonotonicTime aNow)
{
  auto const found = aSet.byId.find(aId);
  if (found == aSet.byId.end())
    return;
  auto& endpoint = found->second;
  ++endpoint.outstanding;
  OnSend(endpoint.signals, aFronts, aNow);
  if (endpoint.coldUntil <= aNow)
    return;
  endpoint.coldSendTimes.push_back(aNow);
  while (aNow - endpoint.coldSendTimes.front() > 2 * kColdWindow)
    endpoint.coldSendTimes.pop_front();
}

void
OnRequestEnded(EndpointSet& aSet, std::string const& aId)
{
  auto const found = aSet.byId.find(aId);
  if (found != aSet.byId.end() && found->second.outstanding > 0)
    --found->second.outstanding;
}

}
