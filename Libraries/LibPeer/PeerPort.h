#pragma once

#include <LibGrants/LibGrants.h>
#include <LibMembership/LibMembership.h>
#include <functional>

namespace Hornbeam {

/// A holder's grant request for one key, with its observations of the endpoint since its previous request.
struct GrantItem
{
  std::string key;
  GrantRequest request;
  WorkObservation observed;
  PhaseHint hint;
};

/// Grant requests from one holder to one owner.
struct GrantBatch
{
  std::string holder;
  EpochNumber epoch{ 0 };
  std::vector<GrantItem> items;
  /// True when the items are everything that the holder holds of the receiver's keys in this epoch. At a change of
  /// epoch each member sends one such batch to every member, so that new owners learn what earlier owners granted.
  bool complete{ false };
  /// How long work that no member reports may still be running, as far as the holder knows. Sent in complete batches.
  Duration residual{ 0 };
};

/// The owner's response for one key. There is no grant when the receiver does not own the key or holds no lease.
struct GrantResult
{
  std::string key;
  std::optional<Grant> grant;
  int limit{ 0 };
  bool cold{ false };
  std::uint64_t incarnation{ 0 };
};

/// The response to a batch.
struct GrantBatchResponse
{
  std::vector<GrantResult> results;
  /// Whether the receiver accepted the complete batch as the holder's report.
  bool reportTaken{ false };
};

struct ForwardedRequest
{
  std::string pipeline;
  std::string body;
};

/// The services' interface to the other fronts. Every callback is called exactly once, with std::nullopt when no
/// response arrived.
struct PeerPort
{
  std::function<void(Member const&, Heartbeat const&, std::function<void(std::optional<Heartbeat>)>)> heartbeat;
  std::function<void(Member const&, GrantBatch const&, std::function<void(std::optional<GrantBatchResponse>)>)>
    requestGrants;
  std::function<void(Member const&, std::function<void(std::optional<std::string>)>)> fetchTable;
  std::function<void(Member const&, ForwardedRequest const&, Duration, std::function<void(std::optional<std::string>)>)>
    forward;
  /// Asks a holder to stop using its free slots of a key and to request them again. There is no response: a holder
  /// that misses the recall is bound by the expiry of its grant.
  std::function<void(Member const&, std::string const& aKey)> recallGrant;
};

/// Handlers for the calls of other fronts.
struct PeerHandlers
{
  std::function<Heartbeat(Heartbeat const&)> onHeartbeat;
  std::function<GrantBatchResponse(GrantBatch const&)> onGrantBatch;
  std::function<std::string()> onFetchTable;
  std::function<void(std::string const& aKey)> onRecallGrant;
  std::function<void(ForwardedRequest const&, std::function<void(std::string)>)> onForward;
};

}
