#pragma once

#include <LibServing/FrontSet.h>
#include <optional>

namespace Hornbeam::Gateway {

/// A front from which others learn the state of the store.
struct RelayAddress
{
  std::string address;
  std::string dataCenter;

  bool operator==(RelayAddress const&) const = default;
};

/// This front's part in passing on the state of the store.
struct RelayRoles
{
  /// Whether this front itself should watch the store.
  bool isRelay{ true };
  /// Whether the fleet has fronts that are no relays. If not, relays need not follow each other.
  bool fleetHasFollowers{ false };
  /// The other relays, nearest first and in an order that differs between fronts, and then the seeds.
  std::vector<RelayAddress> relays;
  /// In a fleet without followers, the front that checks for all others whether they miss changes of the store; nothing
  /// if it is this one.
  std::optional<RelayAddress> checker;

  bool operator==(RelayRoles const&) const = default;
};

/// Number of relays in a data centre with aFronts fronts. A small data centre has only relays; in a large one, the
/// number bounds the followers of each relay.
std::size_t
RelayCount(std::size_t aFronts);

/// Assigns the roles by rendezvous hashing among the trusted fronts of each data centre, as far as this front knows
/// them. While it knows no other front, the seeds are taken as relays. Fronts need not agree: any front answers those
/// that follow it.
RelayRoles
AssignRoles(FrontSet const& aFronts,
            FrontEntry const& aOwn,
            std::vector<std::string> const& aSeeds,
            MonotonicTime aNow);

}
