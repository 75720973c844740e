#include "EndpointSelection.h"
#include <algorithm>
#include <cmath>

namespace Hornbeam::Gateway {

/// An endpoint takes requests by affinity while its load is below this multiple of the mean, plus the slack.
static constexpr double kAffinityLoadFactor = 1.5;
static constexpr double kAffinityLoadSlack = 3;

/// The span of the platform's rule for cold endpoints.
static constexpr Duration kColdSpan = 1s;

static unsigned
ColdShare(ColdRules const& aRules, double aRate)
{
  double const bound = aRate * aRules.overshoot + aRules.slack;
  return unsigned(std::max(1.0, std::floor(bound / 2 / double(kColdSenders))));
}

bool
MaySendCold(SelectionView const& aView,
            EndpointBelief const& aEndpoint,
            std::string const& aOwnName,
            MonotonicTime aNow)
{
  if (!IsAmongOwners(aView.fronts, aEndpoint.entry.id, aOwnName, kColdSenders))
    return false;
  auto const recent =
    std::ranges::count_if(aEndpoint.coldSends, [&](auto aSent) { return aNow - aSent < kColdSpan * 1.1; });
  return recent < ColdShare(aView.cold, RuleOf(aView.table, aEndpoint.entry.service).coldRate);
}

/// The requests that this front may have at one endpoint: its part of the connections that the endpoint accepts.
static unsigned
ConnectionShare(SelectionView const& aView, std::string const& aService)
{
  auto const fronts = std::max<std::size_t>(1, aView.fronts.byName.size());
  return std::max(1U, unsigned(RuleOf(aView.table, aService).maxConnections / fronts));
}

/// Whether the request may go to the endpoint at all: it is in service, and not one that the request leaves out.
static bool
IsOpenTo(SelectionView const& aView, EndpointQuery const& aQuery, EndpointBelief const& aEndpoint)
{
  return IsUsable(aView.endpoints, aEndpoint) &&
         std::ranges::find(aQuery.excluded, aEndpoint.entry.id) == aQuery.excluded.end();
}

static std::vector<EndpointBelief const*>
Candidates(SelectionView const& aView, EndpointQuery const& aQuery, MonotonicTime aNow)
{
  std::vector<EndpointBelief const*> sound;
  std::vector<EndpointBelief const*> ejected;
  auto const pool = aView.endpoints.idsByService.find(aQuery.service);
  if (pool == aView.endpoints.idsByService.end())
    return {};
  auto const share = ConnectionShare(aView, aQuery.service);
  bool const mayBeCold = RuleOf(aView.table, aQuery.service).coldRate > 0;
  for (auto const& id : pool->second) {
    auto const& belief = aView.endpoints.byId.at(id);
    if (!IsOpenTo(aView, aQuery, belief) || belief.outstanding >= share)
      continue;
    if (mayBeCold && belief.coldUntil > aNow && !MaySendCold(aView, belief, aQuery.ownName, aNow))
      continue;
    (belief.ejectedUntil > aNow ? ejected : sound).push_back(&belief);
  }
  return sound.empty() ? ejected : sound;
}

static EndpointBelief const*
ByAffinity(std::vector<EndpointBelief const*> const& aCandidates, std::string const& aKey)
{
  double total = 0;
  for (auto const* candidate : aCandidates)
    total += candidate->outstanding;
  double const limit = kAffinityLoadFactor * total / double(aCandidates.size()) + kAffinityLoadSlack;
  EndpointBelief const* best = nullptr;
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

static EndpointBelief const*
ByLoad(SelectionView const& aView, EndpointQuery const& aQuery, std::vector<EndpointBelief const*> const& aCandidates)
{
  auto const cost = [&](EndpointBelief const* aEndpoint) {
    bool const connected = aView.hasConnection && aView.hasConnection(aEndpoint->entry.address);
    bool const near = aEndpoint->entry.dataCenter == aQuery.ownDataCenter;
    return std::tuple(
      aEndpoint->outstanding, connected ? 0 : 1, near ? 0 : 1, ~RendezvousWeight(aQuery.ownName, aEndpoint->entry.id));
  };
  return *std::ranges::min_element(aCandidates, {}, cost);
}

std::optional<std::string>
ChooseEndpoint(SelectionView const& aView, EndpointQuery const& aQuery, MonotonicTime aNow)
{
  auto const candidates = Candidates(aView, aQuery, aNow);
  if (candidates.empty())
    return std::nullopt;
  EndpointBelief const* chosen = nullptr;
  if (!aQuery.affinityKey.empty())
    chosen = ByAffinity(candidates, aQuery.affinityKey);
  if (chosen == nullptr)
    chosen = ByLoad(aView, aQuery, candidates);
  return chosen->entry.id;
}

bool
HasUntriedEndpoint(SelectionView const& aView, EndpointQuery const& aQuery)
{
  auto const pool = aView.endpoints.idsByService.find(aQuery.service);
  if (pool == aView.endpoints.idsByService.end())
    return false;
  return std::ranges::any_of(pool->second,
                             [&](auto const& aId) { return IsOpenTo(aView, aQuery, aView.endpoints.byId.at(aId)); });
}

void
OnRequestSent(EndpointSet& aSet, std::string const& aId, MonotonicTime aNow)
{
  auto const found = aSet.byId.find(aId);
  if (found == aSet.byId.end())
    return;
  auto& belief = found->second;
  ++belief.outstanding;
  if (belief.coldUntil <= aNow)
    return;
  belief.coldSends.push_back(aNow);
  while (aNow - belief.coldSends.front() > 2 * kColdSpan)
    belief.coldSends.pop_front();
}

void
OnRequestEnded(EndpointSet& aSet, std::string const& aId)
{
  auto const found = aSet.byId.find(aId);
  if (found != aSet.byId.end() && found->second.outstanding > 0)
    --found->second.outstanding;
}

}
