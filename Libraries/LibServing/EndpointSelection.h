#pragma once

#include "FleetLoad.h"
#include <functional>

namespace Hornbeam::Gateway {

/// Limit on requests sent to a cold endpoint by all fronts together: rate * overshoot + slack in any second.
struct ColdRules
{
  double overshoot{ 1 };
  double slack{ 0 };
};

/// Parameters of one endpoint selection.
struct EndpointQuery
{
  std::string const& service;
  /// The prompt prefix that is shared with other requests; empty without affinity.
  std::string affinityKey;
  /// Endpoints that have already been tried.
  std::vector<std::string> excluded;
  std::string ownName;
  std::string ownDataCenter;
  /// The software version that the endpoint must have; any if not set.
  std::optional<std::string> softwareVersion{};
  /// Uniformly random; used to choose by the fleet's load without affinity.
  std::uint64_t draw{ 0 };
  /// The same, as a rollout requires it.
  std::optional<std::string> rolloutVersion{};
  /// The software version that the endpoint must not have.
  std::optional<std::string> excludedVersion{};
};

/// The known state that a selection is based on.
struct SelectionView
{
  EndpointSet const& endpoints;
  FrontSet const& fronts;
  ServingTable const& table;
  ColdRules cold;
  /// Returns whether an idle keep-alive connection to an address exists. A new connection briefly occupies a slot of
  /// the endpoint.
  std::function<bool(std::string const&)> hasConnection;
  /// The load of the fleet; null if it is not known. It is used for services with model endpoints.
  FleetLoads const* fleetLoads{ nullptr };
};

/// Number of fronts that may send to one cold endpoint. Each has an equal portion of half the limit, so that two views
/// of the membership that select different fronts stay below the limit together.
static constexpr std::size_t kColdSenders = 4;

/// Selects an endpoint; returns nothing if no endpoint may receive the request now. Prompts with a common prefix go to
/// one endpoint while it is not loaded above the others. Cold endpoints receive requests from few fronts at a limited
/// rate. Failing endpoints are skipped while others are available.
std::optional<std::string>
ChooseEndpoint(SelectionView const& aView, EndpointQuery const& aQuery, MonotonicTime aNow);

/// Returns the candidates of ChooseEndpoint(): the endpoints that may receive the query now, without the failing ones
/// while others are available.
std::vector<KnownEndpoint const*>
EligibleEndpoints(SelectionView const& aView, EndpointQuery const& aQuery, MonotonicTime aNow);

/// Returns the maximum number of this front's requests at one endpoint: its portion of the connections that the
/// endpoint accepts.
unsigned
ConnectionQuota(SelectionView const& aView, std::string const& aService);

/// Returns whether the endpoint has the software version that the query asks for. An unknown version is no version.
bool
HasQueriedVersion(EndpointQuery const& aQuery, EndpointEntry const& aEntry);

/// Returns whether an endpoint that is not excluded may serve the query now or soon.
bool
HasUntriedEndpoint(SelectionView const& aView, EndpointQuery const& aQuery);

/// Returns whether this front may send one more request to a cold endpoint now.
bool
MaySendToColdEndpoint(SelectionView const& aView,
                      KnownEndpoint const& aEndpoint,
                      std::string const& aOwnName,
                      MonotonicTime aNow);

/// Returns the earliest time at which an endpoint's own words let this front send to it.
MonotonicTime
EarliestSendTo(SelectionView const& aView, KnownEndpoint const& aEndpoint, std::string const& aOwnName);

/// Returns the earliest time at which the words of an endpoint that is not excluded let this front send to it; nothing
/// if there is no such endpoint.
std::optional<MonotonicTime>
EarliestRoom(SelectionView const& aView, EndpointQuery const& aQuery);

/// Records that a request is sent. Call immediately before sending. aFronts is the number of fronts.
void
OnRequestSent(EndpointSet& aSet, std::string const& aId, std::size_t aFronts, MonotonicTime aNow);

/// Records that a request is no longer in flight at the endpoint, whatever its outcome.
void
OnRequestEnded(EndpointSet& aSet, std::string const& aId);

}
