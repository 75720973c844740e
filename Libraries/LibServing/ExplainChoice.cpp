#include "ExplainChoice.h"
#include <algorithm>

namespace Hornbeam::Gateway {

std::string_view
ToString(ChoiceReason aReason)
{
  switch (aReason) {
    case ChoiceReason::Chosen:
      return "chosen";
    case ChoiceReason::Leaving:
      return "leaving";
    case ChoiceReason::DataCenterOut:
      return "data-center-out";
    case ChoiceReason::OtherSoftwareVersion:
      return "other-version";
    case ChoiceReason::AlreadyTried:
      return "already-tried";
    case ChoiceReason::ConnectionQuota:
      return "connection-quota";
    case ChoiceReason::Paused:
      return "paused";
    case ChoiceReason::Limited:
      return "limited";
    case ChoiceReason::Cold:
      return "cold";
    case ChoiceReason::Ejected:
      return "ejected";
    case ChoiceReason::Withheld:
      return "withheld";
    case ChoiceReason::LowerAffinity:
      return "lower-affinity";
    case ChoiceReason::HigherLoad:
      return "higher-load";
    case ChoiceReason::NoIdleConnection:
      return "no-idle-connection";
    case ChoiceReason::OtherDataCenter:
      return "other-data-center";
    case ChoiceReason::OthersFirst:
      return "others-first";
  }
  VerifyNotReached();
}

/// Returns the reason why an endpoint is not among the candidates.
static ChoiceReason
ReasonOfExclusion(SelectionView const& aView,
                  EndpointQuery const& aQuery,
                  KnownEndpoint const& aEndpoint,
                  MonotonicTime aNow)
{
  auto const& entry = aEndpoint.entry;
  if (entry.state != EndpointState::Ready || aEndpoint.signals.leaving)
    return ChoiceReason::Leaving;
  if (aView.endpoints.dataCentersOutOfRotation.contains(entry.dataCenter))
    return ChoiceReason::DataCenterOut;
  if (!HasQueriedVersion(aQuery, entry))
    return ChoiceReason::OtherSoftwareVersion;
  if (std::ranges::find(aQuery.excluded, entry.id) != aQuery.excluded.end())
    return ChoiceReason::AlreadyTried;
  if (aEndpoint.outstanding >= ConnectionQuota(aView, aQuery.service))
    return ChoiceReason::ConnectionQuota;
  if (aEndpoint.signals.pausedUntil > aNow)
    return ChoiceReason::Paused;
  if (EarliestSendTo(aView, aEndpoint, aQuery.ownName) > aNow)
    return ChoiceReason::Limited;
  bool const mayBeCold = RuleOf(aView.table, aQuery.service).coldRate > 0;
  if (mayBeCold && aEndpoint.coldUntil > aNow && !MaySendToColdEndpoint(aView, aEndpoint, aQuery.ownName, aNow))
    return ChoiceReason::Cold;
  return aEndpoint.ejectedUntil > aNow ? ChoiceReason::Ejected : ChoiceReason::Withheld;
}

static unsigned
LoadOf(KnownEndpoint const& aEndpoint)
{
  return aEndpoint.outstanding + (aEndpoint.signals.limit ? 1 : 0);
}

/// Returns the reason why a candidate is not preferred to the chosen one.
static ChoiceReason
ReasonOfPreference(EndpointQuery const& aQuery, ExplainedEndpoint const& aEndpoint, ExplainedEndpoint const& aChosen)
{
  if (!aQuery.affinityKey.empty() && aChosen.affinityRank < aEndpoint.affinityRank)
    return ChoiceReason::LowerAffinity;
  if (LoadOf(*aChosen.endpoint) < LoadOf(*aEndpoint.endpoint))
    return ChoiceReason::HigherLoad;
  if (aChosen.connected && !aEndpoint.connected)
    return ChoiceReason::NoIdleConnection;
  bool const near = aEndpoint.endpoint->entry.dataCenter == aQuery.ownDataCenter;
  if (!near && aChosen.endpoint->entry.dataCenter == aQuery.ownDataCenter)
    return ChoiceReason::OtherDataCenter;
  return ChoiceReason::OthersFirst;
}

/// Returns the candidates with the greatest weight for the key first.
static std::vector<KnownEndpoint const*>
SortByAffinity(std::vector<KnownEndpoint const*> aCandidates, std::string const& aKey)
{
  std::ranges::sort(
    aCandidates, std::greater(), [&](auto const* aCandidate) { return RendezvousWeight(aKey, aCandidate->entry.id); });
  return aCandidates;
}

ExplainedChoice
ExplainChoice(SelectionView const& aView, EndpointQuery const& aQuery, MonotonicTime aNow)
{
  ExplainedChoice result;
  auto const pool = aView.endpoints.idsByService.find(aQuery.service);
  if (pool == aView.endpoints.idsByService.end())
    return result;
  result.chosen = ChooseEndpoint(aView, aQuery, aNow);
  auto const candidates = SortByAffinity(EligibleEndpoints(aView, aQuery, aNow), aQuery.affinityKey);
  for (auto const& id : pool->second) {
    auto const& endpoint = aView.endpoints.byId.at(id);
    auto& explained = result.endpoints.emplace_back();
    explained.endpoint = &endpoint;
    explained.connected = aView.hasConnection && aView.hasConnection(endpoint.entry.address);
    explained.wait = std::max<Duration>(Duration::zero(), EarliestSendTo(aView, endpoint, aQuery.ownName) - aNow);
    auto const place = std::ranges::find(candidates, &endpoint);
    if (place == candidates.end())
      explained.reason = ReasonOfExclusion(aView, aQuery, endpoint, aNow);
    else if (!aQuery.affinityKey.empty())
      explained.affinityRank = std::size_t(place - candidates.begin()) + 1;
  }
  auto const chosen = std::ranges::find_if(
    result.endpoints, [&](auto const& aExplained) { return aExplained.endpoint->entry.id == result.chosen; });
  if (chosen == result.endpoints.end())
    return result;
  chosen->reason = ChoiceReason::Chosen;
  for (auto& explained : result.endpoints)
    if (&explained != &*chosen && std::ranges::find(candidates, explained.endpoint) != candidates.end())
      explained.reason = ReasonOfPreference(aQuery, explained, *chosen);
  return result;
}

}
