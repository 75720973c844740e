#include "FrontSet.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// How long a front is skipped after a failed call. By then it has been removed from the store or has responded.
static constexpr Duration kSuspicionDuration = 3s;
/// A front may own keys if it has at least this fraction of the strongest front's processor cores. Machines of one
/// class differ by less.
static constexpr double kMinOwnerCoreRatio = 0.5;
/// Callers may still use the cached address of a front that left within this time.
static constexpr Duration kRecentDeparture = 5s;

void
ApplyFront(FrontSet& aSet, FrontEntry const& aEntry, StorePosition aRevision)
{
  auto& front = aSet.byName[aEntry.name];
  if (front.entry.incarnation != aEntry.incarnation)
    front.suspectUntil = {};
  front.entry = aEntry;
  front.revision = aRevision;
  aSet.departures.erase(aEntry.name);
}

void
RemoveFront(FrontSet& aSet, std::string const& aName, MonotonicTime aNow)
{
  aSet.byName.erase(aName);
  std::erase_if(aSet.departures, [&](auto const& aEntry) { return aNow - aEntry.second > kRecentDeparture; });
  aSet.departures[aName] = aNow;
}

void
SuspectFront(FrontSet& aSet, std::string const& aName, MonotonicTime aNow)
{
  auto const found = aSet.byName.find(aName);
  if (found != aSet.byName.end())
    found->second.suspectUntil = aNow + kSuspicionDuration;
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
  auto const owners = OwnersOf(aSet, aKey, 1, aNow);
  return owners.empty() ? std::nullopt : std::optional(owners.front());
}

std::vector<FrontEntry>
OwnersOf(FrontSet const& aSet, std::string const& aKey, std::size_t aCount, MonotonicTime aNow)
{
  double strongest = 0;
  for (auto const& [name, front] : aSet.byName)
    if (front.suspectUntil <= aNow)
      strongest = std::max(strongest, front.entry.cores);
  std::vector<std::pair<std::uint64_t, KnownFront const*>> byWeight;
  for (auto const& [name, front] : aSet.byName)
    if (front.suspectUntil <= aNow && front.entry.cores >= kMinOwnerCoreRatio * strongest)
      byWeight.emplace_back(RendezvousWeight(aKey, name), &front);
  auto const count = std::min(aCount, byWeight.size());
  auto const heavier = [](auto const& aFirst, auto const& aSecond) { return aFirst.first > aSecond.first; };
  std::ranges::partial_sort(byWeight, byWeight.begin() + std::ptrdiff_t(count), heavier);
  std::vector<FrontEntry> owners;
  for (std::size_t index = 0; index < count; ++index)
    owners.push_back(byWeight[index].second->entry);
  return owners;
}

OtherFronts
FindOtherFronts(FrontSet const& aSet, std::string const& aName, MonotonicTime aNow)
{
  auto const present = std::ranges::count_if(
    aSet.byName, [&](auto const& aEntry) { return aEntry.first != aName && aEntry.second.suspectUntil <= aNow; });
  auto const departed = std::ranges::count_if(aSet.departures, [&](auto const& aEntry) {
    return aEntry.first != aName && aNow - aEntry.second <= kRecentDeparture;
  });
  if (present == 0)
    return OtherFronts::None;
  return present < departed ? OtherFronts::Few : OtherFronts::Most;
}

bool
IsAmongOwners(FrontSet const& aSet, std::string const& aKey, std::string const& aName, std::size_t aCount)
{
  auto const own = RendezvousWeight(aKey, aName);
  auto const heavier =
    std::ranges::count_if(aSet.byName, [&](auto const& aEntry) { return RendezvousWeight(aKey, aEntry.first) > own; });
  return std::size_t(heavier) < aCount;
}

std::vector<KnownFront>
FrontsToWatch(FrontSet const& aSet, std::string const& aName, std::size_t aCount, MonotonicTime aNow)
{
  std::vector<KnownFront> result;
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
