#include "FrontSet.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// How long a front is passed over after a failed call; by then it has been removed from the store or has answered.
static constexpr Duration kSuspicionTime = 3s;
/// A front with this part of the strongest machine's processor, or more, may own something. Machines of one class
/// differ by less.
static constexpr double kOwnerShare = 0.5;

void
ApplyFront(FrontSet& aSet, FrontEntry const& aEntry, std::uint64_t aRevision)
{
  auto& belief = aSet.byName[aEntry.name];
  if (belief.entry.incarnation != aEntry.incarnation)
    belief.suspectUntil = {};
  belief.entry = aEntry;
  belief.revision = aRevision;
}

void
SuspectFront(FrontSet& aSet, std::string const& aName, MonotonicTime aNow)
{
  auto const found = aSet.byName.find(aName);
  if (found != aSet.byName.end())
    found->second.suspectUntil = aNow + kSuspicionTime;
}

void
TrustFront(FrontSet& aSet, std::string const& aName)
{
  auto const found = aSet.byName.find(aName);
  if (found != aSet.byName.end())
    found->second.suspectUntil = {};
}

std::optional<FrontEntry>
OwnerOf(FrontSet const& aSet, std::string const& aKey, MonotonicTime aNow)
{
  double strongest = 0;
  for (auto const& [name, belief] : aSet.byName)
    if (belief.suspectUntil <= aNow)
      strongest = std::max(strongest, belief.entry.cores);
  FrontBelief const* best = nullptr;
  std::uint64_t bestWeight = 0;
  for (auto const& [name, belief] : aSet.byName) {
    if (belief.suspectUntil > aNow || belief.entry.cores < kOwnerShare * strongest)
      continue;
    auto const weight = RendezvousWeight(aKey, name);
    if (best != nullptr && weight <= bestWeight)
      continue;
    best = &belief;
    bestWeight = weight;
  }
  return best == nullptr ? std::nullopt : std::optional(best->entry);
}

bool
IsAmongOwners(FrontSet const& aSet, std::string const& aKey, std::string const& aName, std::size_t aCount)
{
  auto const own = RendezvousWeight(aKey, aName);
  auto const heavier =
    std::ranges::count_if(aSet.byName, [&](auto const& aEntry) { return RendezvousWeight(aKey, aEntry.first) > own; });
  return std::size_t(heavier) < aCount;
}

std::vector<FrontBelief>
FrontsToWatch(FrontSet const& aSet, std::string const& aName, std::size_t aCount, MonotonicTime aNow)
{
  std::vector<FrontBelief> result;
  auto next = aSet.byName.upper_bound(aName);
  std::size_t trusted = 0;
  for (std::size_t seen = 0; seen < aSet.byName.size() && trusted < aCount; ++seen) {
    if (next == aSet.byName.end())
      next = aSet.byName.begin();
    if (next->first == aName)
      break;
    result.push_back(next->second);
    trusted += next->second.suspectUntil > aNow ? 0 : 1;
    ++next;
  }
  return result;
}

}
