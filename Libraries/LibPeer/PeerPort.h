#pragma once

#include <LibGrants/LibGrants.h>
#include <LibMembership/LibMembership.h>
#include <functional>

namespace Hornbeam {

/// A holder's request for one key, with what it saw of the endpoint since the last one.
struct GrantItem
{
  std::string key;
  GrantRequest request;
  WorkObservation observed;
  PhaseHint hint;
};

/// Requests of one holder to one owner.
struct GrantBatch
{
  std::string holder;
  EpochNumber epoch{ 0 };
  std::vector<GrantItem> items;
  /// True when the items are all that the holder holds of the receiver's keys in this epoch. Each member sends one such
  /// batch to each other at a change of epoch, so that new owners know what earlier owners have granted.
  bool complete{ false };
  /// How long work that no member reports may still be running, as far as the holder knows.
  Duration residual{ 0 };
};

/// The owner's answer for one key. Without a grant the receiver is not the owner, or its lease has ended.
struct GrantResult
{
  std::string key;
  std::optional<Grant> grant;
  int limit{ 0 };
  bool cold{ false };
  std::uint64_t incarnation{ 0 };
};

/// The answer to a batch.
struct GrantBatchAnswer
{
  std::vector<GrantResult> results;
  /// Whether a complete batch was taken as such.
  bool reportTaken{ false };
};

struct ForwardedRequest
{
  std::string pipeline;
  std::string body;
};

/// The other fronts as the services see them. Every function answers exactly once; empty when no answer came.
struct PeerPort
{
  std::function<void(Member const&, Heartbeat const&, std::function<void(std::optional<Heartbeat>)>)> heartbeat;
  std::function<void(Member const&, GrantBatch const&, std::function<void(std::optional<GrantBatchAnswer>)>)>
    requestGrants;
  std::function<void(Member const&, std::function<void(std::optional<std::string>)>)> fetchTable;
  std::function<void(Member const&, ForwardedRequest const&, Duration, std::function<void(std::optional<std::string>)>)>
    forward;
  /// Asks a holder to stop using free slots of a key and to ask anew. Without an answer; the grant's end is what
  /// counts.
  std::function<void(Member const&, std::string const& aKey)> recallGrant;
};

/// What this front does for the others.
struct PeerHandlers
{
  std::function<Heartbeat(Heartbeat const&)> onHeartbeat;
  std::function<GrantBatchAnswer(GrantBatch const&)> onGrantBatch;
  std::function<std::string()> onFetchTable;
  std::function<void(std::string const& aKey)> onRecallGrant;
  std::function<void(ForwardedRequest const&, std::function<void(std::string)>)> onForward;
};

}
