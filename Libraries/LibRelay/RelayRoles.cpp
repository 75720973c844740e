#include "RelayRoles.h"
#include <LibCore/LibCore.h>
#include <algorithm>

namespace Hornbeam::Gateway {

/// In a data centre with at most this many fronts, every front watches the store.
static constexpr std::size_t kSmallDataCenter = 4;
/// Each front follows two relays, so a relay has about twice as many followers.
static constexpr std::size_t kFrontsPerRelay = 20;
static constexpr std::size_t kMinRelays = 2;
static constexpr std::size_t kMaxRelays = 4;
/// A relay has at least this fraction of the processor cores of its data centre's strongest front.
static constexpr double kMinRelayCoreRatio = 0.5;

std::size_t
RelayCount(std::size_t aFronts)
{
  if (aFronts <= kSmallDataCenter)
    return aFronts;
  return std::clamp((aFronts + kFrontsPerRelay - 1) / kFrontsPerRelay, kMinRelays, kMaxRelays);
}

using FrontList = std::vector<FrontEntry const*>;

static std::map<std::string, FrontList>
TrustedByDataCenter(FrontSet const& aFronts, FrontEntry const& aOwn, MonotonicTime aNow)
{
  std::map<std::string, FrontList> result;
  for (auto const& [name, front] : aFronts.byName)
    if (name != aOwn.name && front.suspectUntil <= aNow)
      result[front.entry.dataCenter].push_back(&front.entry);
  result[aOwn.dataCenter].push_back(&aOwn);
  return result;
}

static FrontList
ChooseRelays(FrontList aFronts)
{
  auto const count = RelayCount(aFronts.size());
  if (count < aFronts.size()) {
    double strongest = 0;
    for (auto const* front : aFronts)
      strongest = std::max(strongest, front->cores);
    auto const weak = [&](FrontEntry const* aFront) { return aFront->cores < kMinRelayCoreRatio * strongest; };
    std::erase_if(aFronts, weak);
    std::ranges::sort(aFronts, std::greater(), [](auto const* aFront) {
      return std::pair(RendezvousWeight("relay", aFront->name), aFront->name);
    });
    aFronts.resize(std::min(aFronts.size(), count));
  }
  return aFronts;
}

/// The front that checks the store for a fleet in which all fronts watch it.
static FrontEntry const&
ChooseChecker(std::map<std::string, FrontList> const& aFronts)
{
  FrontEntry const* chosen = nullptr;
  auto const weight = [](FrontEntry const* aFront) {
    return std::pair(RendezvousWeight("store-check", aFront->name), aFront->name);
  };
  for (auto const& [dataCenter, fronts] : aFronts)
    for (auto const* front : fronts)
      if (chosen == nullptr || weight(front) > weight(chosen))
        chosen = front;
  VERIFY(chosen != nullptr);
  return *chosen;
}

static RelayRoles
RolesFromSeeds(FrontEntry const& aOwn, std::vector<std::string> const& aSeeds)
{
  RelayRoles roles;
  for (auto const& seed : aSeeds)
    // The data centres of seeds are unknown; each seed counts as one of its own.
    if (seed != aOwn.peerAddress)
      roles.relays.push_back({ seed, seed });
  roles.isRelay = roles.relays.empty() || roles.relays.size() < aSeeds.size();
  return roles;
}

RelayRoles
AssignRoles(FrontSet const& aFronts, FrontEntry const& aOwn, std::vector<std::string> const& aSeeds, MonotonicTime aNow)
{
  auto const byDataCenter = TrustedByDataCenter(aFronts, aOwn, aNow);
  if (byDataCenter.size() == 1 && byDataCenter.begin()->second.size() == 1)
    return RolesFromSeeds(aOwn, aSeeds);
  RelayRoles roles;
  roles.isRelay = false;
  std::vector<std::pair<std::pair<bool, std::uint64_t>, RelayAddress>> ordered;
  for (auto const& [dataCenter, fronts] : byDataCenter) {
    auto const relays = ChooseRelays(fronts);
    roles.fleetHasFollowers = roles.fleetHasFollowers || relays.size() < fronts.size();
    for (auto const* relay : relays) {
      if (relay == &aOwn) {
        roles.isRelay = true;
        continue;
      }
      bool const remote = dataCenter != aOwn.dataCenter;
      ordered.push_back(
        { { remote, ~RendezvousWeight(aOwn.name, relay->name) }, { relay->peerAddress, relay->dataCenter } });
    }
  }
  auto const& checker = ChooseChecker(byDataCenter);
  if (!roles.fleetHasFollowers && &checker != &aOwn)
    roles.checker = { checker.peerAddress, checker.dataCenter };
  std::ranges::sort(ordered, {}, [](auto const& aEntry) { return aEntry.first; });
  for (auto& [order, relay] : ordered)
    roles.relays.push_back(std::move(relay));
  // While a fleet starts, only the seeds may be watching the store yet.
  for (auto const& seed : aSeeds) {
    auto const same = [&](RelayAddress const& aRelay) { return aRelay.address == seed; };
    if (seed != aOwn.peerAddress && std::ranges::none_of(roles.relays, same))
      roles.relays.push_back({ seed, seed });
  }
  return roles;
}

}
