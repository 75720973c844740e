#pragma once

#include "EndpointSelection.h"
#include <string_view>

namespace Hornbeam::Gateway {

/// Why an endpoint is, or is not, the one that a request would be sent to now.
enum class ChoiceReason
{
  Chosen,
  /// Its entry, or its own answers, say that it leaves.
  Leaving,
  DataCenterOut,
  OtherSoftwareVersion,
  /// The request has been sent to it before.
  AlreadyTried,
  /// This front has as many requests there as its portion of the endpoint's connections.
  ConnectionQuota,
  Paused,
  /// It has a limit, and it is not this front's turn.
  Limited,
  /// Cold, and this front may not send to it now.
  Cold,
  /// Failed lately, and others are available.
  Ejected,
  /// Not among the candidates for a rule that has no reason here.
  Withheld,
  /// Candidates that are not preferred: the chosen one comes first for the prompt's prefix, ...
  LowerAffinity,
  /// ... has fewer requests of this front, ...
  HigherLoad,
  /// ... has an idle connection, ...
  NoIdleConnection,
  /// ... is in this front's data centre, ...
  OtherDataCenter,
  /// ... or comes first among equals.
  OthersFirst,
};

std::string_view
ToString(ChoiceReason aReason);

/// One endpoint of the service and why it is, or is not, chosen.
struct ExplainedEndpoint
{
  KnownEndpoint const* endpoint{ nullptr };
  ChoiceReason reason{ ChoiceReason::Withheld };
  /// Whether this front has an idle connection to it.
  bool connected{ false };
  /// Time until the endpoint's own words let this front send to it; zero if they do now.
  Duration wait{ 0 };
  /// The endpoint's place for the prompt's prefix among the candidates, from 1; zero without a prefix, or if the
  /// endpoint is no candidate.
  std::size_t affinityRank{ 0 };
};

/// Where a request would be sent now. Pointers are valid as long as the view's endpoints do not change.
struct ExplainedChoice
{
  /// Nothing if the request would wait.
  std::optional<std::string> chosen;
  /// All endpoints of the service, in the order of their ids.
  std::vector<ExplainedEndpoint> endpoints;
};

/// Explains the choice that ChooseEndpoint() makes; changes nothing. The reasons of candidates that are not preferred
/// follow from comparing them with the chosen one.
ExplainedChoice
ExplainChoice(SelectionView const& aView, EndpointQuery const& aQuery, MonotonicTime aNow);

}
