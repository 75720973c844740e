#include "RestoredCopy.h"

namespace Hornbeam::Gateway {

static constexpr std::size_t kMaxDepartures = 512;
/// Half of the write calls that the platform's stores allow in a second; endpoints and operators write as well.
static constexpr std::size_t kRegistrationsPerSecond = 200;

void
RecordDeparture(DepartedProcesses& aDeparted, std::string const& aName, std::int64_t aIncarnation)
{
  if (aDeparted.incarnations.insert_or_assign(aName, aIncarnation).second)
    aDeparted.order.push_back(aName);
  if (aDeparted.order.size() <= kMaxDepartures)
    return;
  aDeparted.incarnations.erase(aDeparted.order.front());
  aDeparted.order.pop_front();
}

bool
IsOutdated(EndpointSet const& aSet, EndpointEntry const& aEntry)
{
  auto const known = aSet.byId.find(aEntry.id);
  if (known == aSet.byId.end())
    return false;
  auto const& entry = known->second.entry;
  if (entry.incarnation != aEntry.incarnation)
    return aEntry.incarnation < entry.incarnation;
  return entry.state == EndpointState::Leaving && aEntry.state != EndpointState::Leaving;
}

/// Whether the process of an entry, or a later one of the same name, has left.
static bool
HasLeft(DepartedProcesses const& aDeparted, std::string const& aName, std::int64_t aIncarnation)
{
  auto const departed = aDeparted.incarnations.find(aName);
  return departed != aDeparted.incarnations.end() && aIncarnation <= departed->second;
}

bool
IsOutdatedInCopy(EndpointSet const& aSet, DepartedProcesses const& aDeparted, EndpointEntry const& aEntry)
{
  if (aSet.byId.contains(aEntry.id))
    return IsOutdated(aSet, aEntry);
  return HasLeft(aDeparted, aEntry.id, aEntry.incarnation);
}

bool
IsOutdatedInCopy(FrontSet const& aSet, DepartedProcesses const& aDeparted, FrontEntry const& aEntry)
{
  auto const known = aSet.byName.find(aEntry.name);
  if (known != aSet.byName.end())
    return known->second.entry.incarnation != aEntry.incarnation;
  return HasLeft(aDeparted, aEntry.name, aEntry.incarnation);
}

Duration
RegistrationSpread(std::size_t aFronts)
{
  return Duration(std::chrono::seconds(1)) * std::int64_t(aFronts) / std::int64_t(kRegistrationsPerSecond);
}

}
