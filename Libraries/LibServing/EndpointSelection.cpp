#include "EndpointSelection.h"
#include <algorithm>
#include <cmath>

namespace Hornbeam::Gateway {

/// Affinity applies while an endpoint's load is below this multiple of the mean plus the slack.
static constexpr double kAffinityLoadFactor = 1.5;
static constexpr double kAffinityLoadSlack = 3;

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
  return !aQuery.softwareVersion ||
         (!aEntry.softwareVersion.empty() && aEntry.softwareVersion == *aQuery.softwareVersion);
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
  if (!aQuery.affinityKey.empty() && !unlimited.empty())
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
