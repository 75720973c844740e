#include "EndpointSet.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// Margin added to the cold time in an entry, because the entry is delayed on its way through the store.
static constexpr Duration kColdMargin = 500ms;
/// Duration of the first ejection after failures; doubles with each further consecutive failure.
static constexpr Duration kInitialEjection = 400ms;
static constexpr Duration kMaxEjection = 5s;
/// Consecutive failures before an endpoint is ejected. A single failure may be caused by its request.
static constexpr unsigned kFailuresToEject = 2;
/// How long an endpoint is skipped if its address belongs to another process, unless its entry changes earlier.
static constexpr Duration kMisdirectedEjection = 2s;
/// How long an endpoint is skipped after it refused a request for lack of capacity.
static constexpr Duration kFullEjection = 50ms;

/// Bounds the memory for processes that have said that they leave; most are gone within seconds.
static constexpr std::size_t kMaxLeavingProcesses = 512;

EndpointProcess
ProcessOf(EndpointEntry const& aEntry)
{
  return { aEntry.id, aEntry.address, aEntry.incarnation };
}

SignalChange
OnAnswerSignals(EndpointSet& aSet,
                EndpointProcess const& aProcess,
                AnswerSignals const& aAnswer,
                std::size_t aFronts,
                MonotonicTime aNow)
{
  auto const found = aSet.byId.find(aProcess.id);
  if (found == aSet.byId.end() || ProcessOf(found->second.entry) != aProcess)
    return SignalChange::None;
  auto const senders = aAnswer.limit ? LimitSenders(*aAnswer.limit, aFronts) : 1;
  auto const change = ApplySignals(found->second.signals, aAnswer, senders, aNow);
  if (change == SignalChange::LeavingBegan) {
    aSet.leavingProcesses.push_back(aProcess);
    if (aSet.leavingProcesses.size() > kMaxLeavingProcesses)
      aSet.leavingProcesses.pop_front();
  }
  return change;
}

static Duration
ColdTimeAfterStart(EndpointEntry const& aEntry, Duration aColdTime)
{
  return std::max(aEntry.coldFor, aColdTime) + kColdMargin;
}

EntryChange
ApplyEntry(EndpointSet& aSet, EndpointEntry const& aEntry, Duration aColdTime, MonotonicTime aNow)
{
  auto const [position, added] = aSet.byId.try_emplace(aEntry.id);
  auto& endpoint = position->second;
  endpoint.removeAt.reset();
  if (!added && endpoint.entry == aEntry)
    return EntryChange::Unchanged;
  bool const restarted =
    !added && (endpoint.entry.incarnation != aEntry.incarnation || endpoint.entry.address != aEntry.address);
  if (!added && endpoint.entry.service != aEntry.service)
    aSet.idsByService[endpoint.entry.service].erase(aEntry.id);
  aSet.idsByService[aEntry.service].insert(aEntry.id);
  endpoint.entry = aEntry;
  if (added || restarted) {
    endpoint.signals = {};
    endpoint.signals.leaving =
      std::ranges::find(aSet.leavingProcesses, ProcessOf(aEntry)) != aSet.leavingProcesses.end();
  }
  if (restarted) {
    endpoint.consecutiveFailures = 0;
    endpoint.ejectedUntil = {};
    endpoint.coldUntil = aNow + ColdTimeAfterStart(aEntry, aColdTime);
    return EntryChange::Restarted;
  }
  if (aEntry.coldFor > Duration::zero())
    endpoint.coldUntil = std::max(endpoint.coldUntil, aNow + aEntry.coldFor + kColdMargin);
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
                            std::set<std::string> aOutOfRotation,
                            ServingTable const& aTable,
                            MonotonicTime aNow)
{
  for (auto& [id, endpoint] : aSet.byId) {
    bool const returned = aSet.dataCentersOutOfRotation.contains(endpoint.entry.dataCenter) &&
                          !aOutOfRotation.contains(endpoint.entry.dataCenter);
    auto const coldTime = RuleOf(aTable, endpoint.entry.service).coldTime;
    if (returned && coldTime > Duration::zero())
      endpoint.coldUntil = std::max(endpoint.coldUntil, aNow + coldTime + kColdMargin);
  }
  aSet.dataCentersOutOfRotation = std::move(aOutOfRotation);
}

void
OnAttemptEnd(EndpointSet& aSet, std::string const& aId, AttemptHealth aHealth, Duration aColdTime, MonotonicTime aNow)
{
  auto const found = aSet.byId.find(aId);
  if (found == aSet.byId.end())
    return;
  auto& endpoint = found->second;
  switch (aHealth) {
    case AttemptHealth::Healthy:
      endpoint.consecutiveFailures = 0;
      return;
    case AttemptHealth::Full:
      endpoint.ejectedUntil = std::max(endpoint.ejectedUntil, aNow + kFullEjection);
      return;
    case AttemptHealth::Misdirected:
      endpoint.ejectedUntil = aNow + kMisdirectedEjection;
      return;
    case AttemptHealth::Failed:
      break;
  }
  ++endpoint.consecutiveFailures;
  if (endpoint.consecutiveFailures < kFailuresToEject)
    return;
  auto const doublings = std::min(endpoint.consecutiveFailures - kFailuresToEject, 4U);
  endpoint.ejectedUntil = aNow + std::min<Duration>(kInitialEjection * (1U << doublings), kMaxEjection);
  // The failures may hide a restart, after which the endpoint would be cold.
  if (aColdTime > Duration::zero())
    endpoint.coldUntil = std::max(endpoint.coldUntil, endpoint.ejectedUntil + aColdTime);
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
IsUsable(EndpointSet const& aSet, KnownEndpoint const& aEndpoint)
{
  return aEndpoint.entry.state == EndpointState::Ready && !aEndpoint.signals.leaving &&
         !aSet.dataCentersOutOfRotation.contains(aEndpoint.entry.dataCenter);
}

}
