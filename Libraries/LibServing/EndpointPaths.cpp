#include "EndpointPaths.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// How long a failed direct connection counts unless another one fails; longer than the time between probes.
static constexpr Duration kMissedTime = 1500ms;
/// A single endpoint that is missed may be down.
static constexpr std::size_t kMissedWhenCutOff = 2;
/// An endpoint may be silent for a while; a link is only suspected if all that owe an answer are.
static constexpr Duration kSilence = 400ms;
/// A sign of an endpoint excludes for this long that all links are lost; longer than the time between probes.
static constexpr Duration kReachedTime = 700ms;
static constexpr Duration kRefusedPause = 1s;
/// How long the probe of all endpoints in turn stays at one.
static constexpr Duration kProbeTurn = 500ms;
static constexpr Duration kUnreachedPause = 2s;
/// How long an endpoint that other fronts do not reach either is only tried directly.
static constexpr Duration kDirectTime = 1s;

static bool
IsMissed(EndpointPaths::Endpoint const& aEndpoint, MonotonicTime aNow)
{
  return aEndpoint.missedAt && aNow - *aEndpoint.missedAt <= kMissedTime;
}

static void
ForgetReached(EndpointPaths& aPaths, std::string const& aAddress, MonotonicTime aNow)
{
  aPaths.lastReached = aNow;
  aPaths.missed.erase(aAddress);
  std::erase_if(aPaths.missed, [&](auto const& aEntry) {
    return !IsMissed(aEntry.second, aNow) && aEntry.second.directUntil <= aNow;
  });
}

void
OnDirectConnection(EndpointPaths& aPaths, std::string const& aAddress, PathOutcome aOutcome, MonotonicTime aNow)
{
  if (aOutcome == PathOutcome::Connected)
    ForgetReached(aPaths, aAddress, aNow);
  else
    aPaths.missed[aAddress].missedAt = aNow;
}

void
OnDirectBytes(EndpointPaths& aPaths, std::string const& aAddress, MonotonicTime aNow)
{
  // An old connection may live on while new ones fail.
  if (auto const known = aPaths.missed.find(aAddress); known == aPaths.missed.end() || !IsMissed(known->second, aNow))
    ForgetReached(aPaths, aAddress, aNow);
}

void
OnTunnelConnection(EndpointPaths& aPaths,
                   std::string const& aAddress,
                   std::string const& aTunnel,
                   PathOutcome aOutcome,
                   MonotonicTime aNow)
{
  if (aOutcome == PathOutcome::Connected) {
    aPaths.avoidedHelpers.erase(aTunnel);
    if (auto const known = aPaths.missed.find(aAddress); known != aPaths.missed.end())
      known->second.reachedThroughOthersAt = aNow;
    return;
  }
  if (aOutcome == PathOutcome::EndpointUnreached) {
    aPaths.missed[aAddress].directUntil = aNow + kDirectTime;
    return;
  }
  aPaths.avoidedHelpers[aTunnel] = aNow + (aOutcome == PathOutcome::Refused ? kRefusedPause : kUnreachedPause);
  std::erase_if(aPaths.avoidedHelpers, [&](auto const& aEntry) { return aEntry.second <= aNow; });
}

bool
IsCutOff(EndpointPaths const& aPaths, MonotonicTime aNow)
{
  if (aNow - aPaths.lastReached <= kReachedTime)
    return false;
  auto const missed = std::ranges::count_if(aPaths.missed, [&](auto const& aEntry) {
    auto const& endpoint = aEntry.second;
    return IsMissed(endpoint, aNow) && *endpoint.missedAt > aPaths.lastReached && endpoint.directUntil <= aNow;
  });
  return std::size_t(missed) >= kMissedWhenCutOff;
}

bool
IsLinkInDoubt(EndpointPaths const& aPaths, std::string const& aAddress, MonotonicTime aNow)
{
  auto const known = aPaths.missed.find(aAddress);
  if (known == aPaths.missed.end())
    return IsCutOff(aPaths, aNow);
  auto const& endpoint = known->second;
  if (endpoint.directUntil > aNow)
    return false;
  bool const reached = endpoint.missedAt && endpoint.reachedThroughOthersAt >= *endpoint.missedAt - kMissedTime;
  return (IsMissed(endpoint, aNow) && reached) || IsCutOff(aPaths, aNow);
}

std::string
ChooseTunnel(EndpointPaths const& aPaths, PathView const& aView, std::string const& aAddress, MonotonicTime aNow)
{
  if (aPaths.missed.empty())
    return "";
  auto const known = aPaths.missed.find(aAddress);
  bool const missed = known != aPaths.missed.end() && IsMissed(known->second, aNow);
  bool const othersMissIt = known != aPaths.missed.end() && known->second.directUntil > aNow;
  if (othersMissIt || (!missed && !IsCutOff(aPaths, aNow)))
    return "";
  std::pair<bool, std::uint64_t> best;
  std::string chosen;
  for (auto const& [name, front] : aView.fronts.byName) {
    auto const& tunnel = front.entry.tunnelAddress;
    auto const avoided = aPaths.avoidedHelpers.find(tunnel);
    if (name == aView.ownName || tunnel.empty() || front.entry.region != aView.ownRegion || front.suspectUntil > aNow ||
        (avoided != aPaths.avoidedHelpers.end() && avoided->second > aNow))
      continue;
    auto const rank =
      std::pair(front.entry.dataCenter == aView.ownDataCenter, RendezvousWeight(aView.ownName + aAddress, name));
    if (chosen.empty() || rank > best) {
      best = rank;
      chosen = tunnel;
    }
  }
  return chosen;
}

std::vector<std::string>
EndpointsToProbe(EndpointPaths const& aPaths, EndpointSet const& aEndpoints, std::size_t aCount, MonotonicTime aNow)
{
  std::vector<std::pair<MonotonicTime, std::string>> candidates;
  for (auto const& [address, endpoint] : aPaths.missed)
    if (endpoint.missedAt)
      candidates.emplace_back(*endpoint.missedAt, address);
  std::ranges::sort(candidates);
  std::vector<std::string> addresses;
  addresses.reserve(candidates.size());
  for (auto& [missedAt, address] : candidates)
    addresses.push_back(std::move(address));
  addresses.resize(std::min(addresses.size(), aCount));
  bool const silent = aNow - aPaths.lastReached > kSilence;
  if (!silent || aEndpoints.byId.empty())
    return addresses;
  if (addresses.empty()) {
    for (auto const& [id, endpoint] : aEndpoints.byId)
      if (endpoint.outstanding > 0 && addresses.size() < aCount)
        addresses.push_back(endpoint.entry.address);
    return addresses;
  }
  auto const turn = std::size_t(aNow.time_since_epoch() / kProbeTurn) % aEndpoints.byId.size();
  auto const& other = std::next(aEndpoints.byId.begin(), std::ptrdiff_t(turn))->second.entry.address;
  if (std::ranges::find(addresses, other) == addresses.end())
    addresses.push_back(other);
  return addresses;
}

}
