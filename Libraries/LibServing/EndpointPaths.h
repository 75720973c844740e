#pragma once

#include "EndpointSet.h"
#include "FrontSet.h"

namespace Hornbeam::Gateway {

/// What opening a connection to an endpoint showed.
enum class PathOutcome
{
  /// The connection was established.
  Connected,
  /// The endpoint, or the front that was to help, was not reached.
  NotConnected,
  /// The front that was to help has no link to endpoints itself, or takes no more connections.
  Refused,
  /// The front that was to help reaches others, but not this endpoint.
  EndpointUnreached,
};

/// Which endpoints this front reaches itself. A front that does not reach an endpoint connects to it through one other
/// front, never through two. Only trying tells a lost link from a lost endpoint: an endpoint that the other fronts do
/// not reach either is treated as any failing one.
struct EndpointPaths
{
  struct Endpoint
  {
    /// When a direct connection last failed; nothing once the endpoint was reached again.
    std::optional<MonotonicTime> missedAt;
    /// Other fronts do not reach the endpoint either, so nothing is sent through them until this time.
    MonotonicTime directUntil{};
    /// When a connection through another front was last established.
    MonotonicTime reachedThroughOthersAt{};
  };
  /// Only endpoints that were missed, by address.
  std::map<std::string, Endpoint> missed;
  /// When this front last heard from any endpoint itself.
  MonotonicTime lastReached{};
  /// Fronts that did not help, by the address of their tunnels, and until when they are avoided.
  std::map<std::string, MonotonicTime> avoidedHelpers;
};

/// Records the outcome of opening a direct connection.
void
OnDirectConnection(EndpointPaths& aPaths, std::string const& aAddress, PathOutcome aOutcome, MonotonicTime aNow);

/// Records that bytes arrived over a direct connection.
void
OnDirectBytes(EndpointPaths& aPaths, std::string const& aAddress, MonotonicTime aNow);

/// Records the outcome of opening a connection through the front whose tunnels have the address aTunnel.
void
OnTunnelConnection(EndpointPaths& aPaths,
                   std::string const& aAddress,
                   std::string const& aTunnel,
                   PathOutcome aOutcome,
                   MonotonicTime aNow);

/// Whether this front seems to have lost its links to all endpoints: it has not heard from any for a while, and has
/// missed several since that others have not missed as well.
bool
IsCutOff(EndpointPaths const& aPaths, MonotonicTime aNow);

/// Whether what fails at an endpoint may be due to this front's link: other fronts reach the endpoint, or this front is
/// cut off and others have not missed the endpoint as well.
bool
IsLinkInDoubt(EndpointPaths const& aPaths, std::string const& aAddress, MonotonicTime aNow);

/// The part of the state of the fleet on which the choice of a path depends.
struct PathView
{
  FrontSet const& fronts;
  std::string const& ownName;
  std::string const& ownDataCenter;
  /// Requests are not passed on to other regions.
  std::string const& ownRegion;
};

/// Returns the address of the tunnels of the front through which to connect to an endpoint; empty for a direct
/// connection. Fronts of the own data centre come first; endpoints are spread over all that can help.
std::string
ChooseTunnel(EndpointPaths const& aPaths, PathView const& aView, std::string const& aAddress, MonotonicTime aNow);

/// Returns the endpoints to which a direct connection should be tried now, to notice that the link is back or lost: at
/// most aCount that were missed. While nothing arrives, also one of all in turn, so that a few endpoints that are down
/// are not taken for a lost link, and, if none was missed yet, some that owe an answer.
std::vector<std::string>
EndpointsToProbe(EndpointPaths const& aPaths, EndpointSet const& aEndpoints, std::size_t aCount, MonotonicTime aNow);

}
