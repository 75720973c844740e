#include "EndpointChoice.h"
#include <algorithm>

namespace Hornbeam {

/// Score penalty for an endpoint in another data centre. The network round trip itself takes well under a millisecond.
static constexpr double kOtherDataCenterCostUs = 1500;
/// The endpoint that has the prompt's prefix is preferred while its utilization is at most this multiple of the
/// average, plus a small constant.
static constexpr double kAffinityLoadBound = 1.25;
/// A cold endpoint is eligible only if the slack is at least this multiple of its expected latency.
static constexpr int kColdSlackFactor = 2;

static double
UtilizationOf(Candidate const& aCandidate)
{
  return aCandidate.total == 0 ? 0 : static_cast<double>(aCandidate.used) / aCandidate.total;
}

static bool
IsEligible(Candidate const& aCandidate, ChoiceContext const& aContext)
{
  if (aCandidate.freeSlots <= 0 || aCandidate.ejected || aCandidate.weight == 0)
    return false;
  return !aCandidate.cold || aContext.slack >= kColdSlackFactor * aCandidate.expectedLatency;
}

static double
ScoreOf(Candidate const& aCandidate)
{
  auto const latency = static_cast<double>(aCandidate.expectedLatency.count());
  double const loaded = latency * (1 + UtilizationOf(aCandidate)) * 100 / aCandidate.weight;
  return loaded + (aCandidate.sameDataCenter ? 0 : kOtherDataCenterCostUs);
}

static std::optional<std::size_t>
ChooseByAffinity(std::span<Candidate const> aCandidates,
                 ChoiceContext const& aContext,
                 std::vector<std::size_t> const& aEligible)
{
  double sum = 0;
  for (auto const index : aEligible)
    sum += UtilizationOf(aCandidates[index]);
  double const bound = kAffinityLoadBound * (sum / static_cast<double>(aEligible.size())) + 0.1;
  // The candidate with the greatest rendezvous weight has the prefix, even if it is not eligible now. Choosing among
  // the eligible candidates only would move the prefix with every change of load.
  std::size_t heaviest = 0;
  std::uint64_t greatest = 0;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    auto const weight = RendezvousWeight(aContext.affinityKey, aCandidates[index].name);
    if (weight < greatest)
      continue;
    greatest = weight;
    heaviest = index;
  }
  bool const eligible = std::ranges::find(aEligible, heaviest) != aEligible.end();
  if (!eligible || aCandidates[heaviest].cold || UtilizationOf(aCandidates[heaviest]) > bound)
    return std::nullopt;
  return heaviest;
}

static std::optional<Choice>
ChooseAdaptive(std::span<Candidate const> aCandidates, ChoiceContext const& aContext)
{
  std::vector<std::size_t> eligible;
  std::vector<std::size_t> untried;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    if (!IsEligible(aCandidates[index], aContext))
      continue;
    eligible.push_back(index);
    if (!aCandidates[index].tried)
      untried.push_back(index);
  }
  if (!untried.empty())
    eligible = untried;
  if (eligible.empty())
    return std::nullopt;
  if (!aContext.affinityKey.empty()) {
    if (auto const index = ChooseByAffinity(aCandidates, aContext, eligible))
      return Choice{ *index, "has the prompt's prefix" };
  }
  auto const best =
    std::ranges::min_element(eligible, {}, [&](std::size_t aIndex) { return ScoreOf(aCandidates[aIndex]); });
  return Choice{ *best, "least expected latency under load" };
}

std::optional<Choice>
ChooseEndpoint(std::span<Candidate const> aCandidates, ChoiceContext const& aContext)
{
  if (aCandidates.empty())
    return std::nullopt;
  switch (aContext.policy) {
    case RoutingPolicy::Adaptive:
      return ChooseAdaptive(aCandidates, aContext);
    case RoutingPolicy::RoundRobin:
      return Choice{ static_cast<std::size_t>(aContext.turn % aCandidates.size()), "next in turn" };
    case RoutingPolicy::LeastOutstanding: {
      // Ties are broken in round-robin order; otherwise all fronts would send to the first endpoint.
      std::size_t best = aContext.turn % aCandidates.size();
      for (std::size_t step = 1; step < aCandidates.size(); ++step) {
        auto const index = (aContext.turn + step) % aCandidates.size();
        if (aCandidates[index].used < aCandidates[best].used)
          best = index;
      }
      return Choice{ best, "fewest outstanding" };
    }
  }
  VerifyNotReached();
}

}
