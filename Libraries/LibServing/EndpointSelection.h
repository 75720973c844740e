#pragma once

#include "EndpointSet.h"
#include "FrontSet.h"
#include <functional>

namespace Hornbeam::Gateway {

/// The bound on sends to a cold endpoint, over all fronts: rate * overshoot + slack in any second.
struct ColdRules
{
  double overshoot{ 1 };
  double slack{ 0 };
};

/// What one choice is made for.
struct EndpointQuery
{
  std::string const& service;
  /// The part of the prompt that is shared with other requests; empty without affinity.
  std::string affinityKey;
  /// Endpoints that had their attempt.
  std::vector<std::string> excluded;
  std::string ownName;
  std::string ownDataCenter;
};

/// What the choice looks at besides the endpoints.
struct SelectionView
{
  EndpointSet const& endpoints;
  FrontSet const& fronts;
  ServingTable const& table;
  ColdRules cold;
  /// Whether a kept connection to an address waits; a new one costs the endpoint a slot for a moment.
  std::function<bool(std::string const&)> hasConnection;
};

/// The fronts that may send to one cold endpoint. Each has an equal part of half the bound, so that two views of the
/// membership, with other fronts each, stay below it together.
static constexpr std::size_t kColdSenders = 4;

/// Picks an endpoint; empty when none may be sent anything now. Patterns it answers: prompts with a common beginning
/// (they go to one endpoint while it is not loaded above the others), cold endpoints (few fronts send, at a bounded
/// rate), failing ones (left out while others serve).
std::optional<std::string>
ChooseEndpoint(SelectionView const& aView, EndpointQuery const& aQuery, MonotonicTime aNow);

/// Whether an endpoint that is not excluded may serve the query now or soon.
bool
HasUntriedEndpoint(SelectionView const& aView, EndpointQuery const& aQuery);

/// Whether this front may send one more request to a cold endpoint now.
bool
MaySendCold(SelectionView const& aView,
            EndpointBelief const& aEndpoint,
            std::string const& aOwnName,
            MonotonicTime aNow);

/// Notes a send; to be called at the last instant before it.
void
OnRequestSent(EndpointSet& aSet, std::string const& aId, MonotonicTime aNow);

/// The request is no longer at the endpoint, however it went.
void
OnRequestEnded(EndpointSet& aSet, std::string const& aId);

}
