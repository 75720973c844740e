#pragma once

#include <LibCore/LibCore.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam::Gateway {

/// A front as it is entered in the store.
struct FrontEntry
{
  std::string name;
  std::string callerAddress;
  std::string peerAddress;
  std::string dataCenter;
  /// Differs between processes that run under one name.
  std::int64_t incarnation{ 0 };
  /// The part of a processor core that it may use; zero when it does not say.
  double cores{ 0 };

  bool operator==(FrontEntry const&) const = default;
};

struct FrontBelief
{
  FrontEntry entry;
  /// The store's version of its entry, for a conditional removal.
  std::uint64_t revision{ 0 };
  /// Until then it is passed over: a call to it failed.
  MonotonicTime suspectUntil{};
};

/// The fronts in the store, this one included while it is entered.
struct FrontSet
{
  std::map<std::string, FrontBelief> byName;
};

void
ApplyFront(FrontSet& aSet, FrontEntry const& aEntry, std::uint64_t aRevision);

/// A call to a front failed.
void
SuspectFront(FrontSet& aSet, std::string const& aName, MonotonicTime aNow);

void
TrustFront(FrontSet& aSet, std::string const& aName);

/// The front that answers for a key now: one of the stronger machines that are trusted, as the work for a whole service
/// can be more than a weak one bears. Empty when none is known. Fronts with other views may choose another one.
std::optional<FrontEntry>
OwnerOf(FrontSet const& aSet, std::string const& aKey, MonotonicTime aNow);

/// Whether aName is among the aCount fronts with the greatest weight for a key.
bool
IsAmongOwners(FrontSet const& aSet, std::string const& aKey, std::string const& aName, std::size_t aCount);

/// The next aCount fronts after aName in the order of names, around the end; suspected ones are watched as well, and
/// then one more for each, so that many at once are found together.
std::vector<FrontBelief>
FrontsToWatch(FrontSet const& aSet, std::string const& aName, std::size_t aCount, MonotonicTime aNow);

}
