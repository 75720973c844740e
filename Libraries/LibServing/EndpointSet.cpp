#include "EndpointSet.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// Added to the cold time that an entry names: the entry is as old as its way through the store.
static constexpr Duration kColdMargin = 500ms;
/// The first ejection after failures; it doubles with each failure in a row.
static constexpr Duration kFirstEjection = 400ms;
static constexpr Duration kLongestEjection = 5s;
/// Failures in a row before an endpoint is ejected; a single one may be its request's fault.
static constexpr unsigned kFailuresToEject = 2;
/// An endpoint whose address belongs to another process is left out until its entry changes or this has passed.
static constexpr Duration kMisdirectedEjection = 2s;
/// A refusal for lack of room sends the next requests elsewhere for a moment.
static constexpr Duration kFullPause = 50ms;

static Duration
ColdAfterStart(EndpointEntry const& aEntry, Duration aColdTime)
{
  return std::max(aEntry.coldFor, aColdTime) + kColdMargin;
}

EntryChange
ApplyEntry(EndpointSet& aSet, EndpointEntry const& aEntry, Duration aColdTime, MonotonicTime aNow)
{
  auto const [position, added] = aSet.byId.try_emplace(aEntry.id);
  auto& belief = position->second;
  belief.removeAt.reset();
  if (!added && belief.entry == aEntry)
    return EntryChange::Unchanged;
  bool const restarted =
    !added && (belief.entry.incarnation != aEntry.incarnation || belief.entry.address != aEntry.address);
  if (!added && belief.entry.service != aEntry.service)
    aSet.idsByService[belief.entry.service].erase(aEntry.id);
  aSet.idsByService[aEntry.service].insert(aEntry.id);
  belief.entry = aEntry;
  if (restarted) {
    belief.failuresInARow = 0;
    belief.ejectedUntil = {};
    belief.coldUntil = aNow + ColdAfterStart(aEntry, aColdTime);
    return EntryChange::Restarted;
  }
  if (aEntry.coldFor > Duration::zero())
    belief.coldUntil = std::max(belief.coldUntil, aNow + aEntry.coldFor + kColdMargin);
  return added ? EntryChange::Added : EntryChange::Changed;
}

void
RemoveEndpoint(EndpointSet& aSet, std::string const& aId)
{
  auto const found = aSet.byId.find(aId);
  if (found == aSet.byId.end())
    return;
  aSet.idsByService[found->second.entry.service].erase(aId);
  aSet.byId.erase(found);
}

void
SetDataCentersOutOfRotation(EndpointSet& aSet,
                            std::set<std::string> aOut,
                            ServingTable const& aTable,
                            MonotonicTime aNow)
{
  for (auto& [id, belief] : aSet.byId) {
    bool const back =
      aSet.dataCentersOutOfRotation.contains(belief.entry.dataCenter) && !aOut.contains(belief.entry.dataCenter);
    auto const coldTime = RuleOf(aTable, belief.entry.service).coldTime;
    if (back && coldTime > Duration::zero())
      belief.coldUntil = std::max(belief.coldUntil, aNow + coldTime + kColdMargin);
  }
  aSet.dataCentersOutOfRotation = std::move(aOut);
}

void
OnAttemptEnd(EndpointSet& aSet, std::string const& aId, AttemptHealth aHealth, Duration aColdTime, MonotonicTime aNow)
{
  auto const found = aSet.byId.find(aId);
  if (found == aSet.byId.end())
    return;
  auto& belief = found->second;
  switch (aHealth) {
    case AttemptHealth::Healthy:
      belief.failuresInARow = 0;
      return;
    case AttemptHealth::Full:
      belief.ejectedUntil = std::max(belief.ejectedUntil, aNow + kFullPause);
      return;
    case AttemptHealth::Misdirected:
      belief.ejectedUntil = aNow + kMisdirectedEjection;
      return;
    case AttemptHealth::Failed:
      break;
  }
  ++belief.failuresInARow;
  if (belief.failuresInARow < kFailuresToEject)
    return;
  auto const doublings = std::min(belief.failuresInARow - kFailuresToEject, 4U);
  belief.ejectedUntil = aNow + std::min<Duration>(kFirstEjection * (1U << doublings), kLongestEjection);
  // It may have restarted behind the failures.
  if (aColdTime > Duration::zero())
    belief.coldUntil = std::max(belief.coldUntil, belief.ejectedUntil + aColdTime);
}

std::string
DataCenterAt(EndpointSet const& aSet, std::string const& aService, std::string const& aAddress)
{
  auto const pool = aSet.idsByService.find(aService);
  if (pool == aSet.idsByService.end())
    return "";
  for (auto const& id : pool->second)
    if (auto const& entry = aSet.byId.at(id).entry; entry.address == aAddress)
      return entry.dataCenter;
  return "";
}

bool
IsUsable(EndpointSet const& aSet, EndpointBelief const& aEndpoint)
{
  return aEndpoint.entry.state == EndpointState::Ready &&
         !aSet.dataCentersOutOfRotation.contains(aEndpoint.entry.dataCenter);
}

}
