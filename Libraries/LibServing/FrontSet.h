#pragma once

#include "StorePosition.h"
#include <LibCore/LibCore.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam::Gateway {

/// A front's entry in the store.
struct FrontEntry
{
  std::string name;
  std::string callerAddress;
  std::string peerAddress;
  std::string dataCenter;
  /// Distinguishes processes that run under the same name.
  std::int64_t incarnation{ 0 };
  /// Processor cores that the front may use, possibly a fraction; zero if not reported.
  double cores{ 0 };
  /// Empty if not reported.
  std::string region{};
  /// Where the front connects others to endpoints; empty if it does not.
  std::string tunnelAddress{};

  bool operator==(FrontEntry const&) const = default;
};

struct KnownFront
{
  FrontEntry entry;
  /// The store's version of the entry, for conditional removal.
  StorePosition revision{ 0 };
  /// The front is skipped until this time because a call to it failed.
  MonotonicTime suspectUntil{};
};

/// The fronts in the store, including this one while it has an entry.
struct FrontSet
{
  std::map<std::string, KnownFront> byName;
  /// When fronts that have no entry any more left, by name; only the latest departures.
  std::map<std::string, MonotonicTime> departures;
};

void
ApplyFront(FrontSet& aSet, FrontEntry const& aEntry, StorePosition aRevision);

void
RemoveFront(FrontSet& aSet, std::string const& aName, MonotonicTime aNow);

/// Records that a call to a front failed.
void
SuspectFront(FrontSet& aSet, std::string const& aName, MonotonicTime aNow);

void
TrustFront(FrontSet& aSet, std::string const& aName);

/// Returns the current owner of a key. Only the stronger of the trusted fronts are chosen, because the work for a whole
/// service can exceed the capacity of a weak machine. Returns nothing if no front is known. Fronts with a different
/// view of the membership may choose another owner.
std::optional<FrontEntry>
OwnerOf(FrontSet const& aSet, std::string const& aKey, MonotonicTime aNow);

/// Returns the owner of a key and those that follow it if it leaves, at most aCount in all.
std::vector<FrontEntry>
OwnersOf(FrontSet const& aSet, std::string const& aKey, std::size_t aCount, MonotonicTime aNow);

/// What a front knows of the other ones.
enum class OtherFronts
{
  None,
  /// More fronts have left lately than are there: callers with a cached address may well meet another one that stops.
  Few,
  Most,
};

/// Returns which part of the fronts other than aName is in the store and trusted.
OtherFronts
FindOtherFronts(FrontSet const& aSet, std::string const& aName, MonotonicTime aNow);

/// Returns whether aName is among the aCount fronts with the greatest weight for a key.
bool
IsAmongOwners(FrontSet const& aSet, std::string const& aKey, std::string const& aName, std::size_t aCount);

/// Returns the next aCount trusted fronts after aName in name order, wrapping around. Suspected fronts in between are
/// watched in addition, so that simultaneous failures of several fronts are detected together.
std::vector<KnownFront>
FrontsToWatch(FrontSet const& aSet, std::string const& aName, std::size_t aCount, MonotonicTime aNow);

}
