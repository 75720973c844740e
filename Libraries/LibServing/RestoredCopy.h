#pragma once

#include "EndpointSet.h"
#include "FrontSet.h"

namespace Hornbeam::Gateway {

// A store that was restored from a copy holds older state until its writers have written again. What is known here and
// is newer than the copy stays.

/// Processes whose entries were removed lately, by name, with their incarnations.
struct DepartedProcesses
{
  std::map<std::string, std::int64_t> incarnations;
  /// The names, oldest departure first.
  std::deque<std::string> order;
};

void
RecordDeparture(DepartedProcesses& aDeparted, std::string const& aName, std::int64_t aIncarnation);

/// Whether an entry is older than what is known of its endpoint: of an earlier process, or of the same one before it
/// began to leave.
bool
IsOutdated(EndpointSet const& aSet, EndpointEntry const& aEntry);

/// Whether an entry of a copy is outdated, also if its process has left meanwhile.
bool
IsOutdatedInCopy(EndpointSet const& aSet, DepartedProcesses const& aDeparted, EndpointEntry const& aEntry);

/// As above, for a front. A front that is known as another process keeps its known entry, as it will write it again.
bool
IsOutdatedInCopy(FrontSet const& aSet, DepartedProcesses const& aDeparted, FrontEntry const& aEntry);

/// Over what time the fronts of a fleet spread the writes of their entries, when all of them were lost at once.
Duration
RegistrationSpread(std::size_t aFronts);

}
