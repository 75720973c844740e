#pragma once

#include "EndpointSignals.h"
#include "ServingTable.h"
#include <deque>
#include <set>

namespace Hornbeam::Gateway {

enum class EndpointState
{
  Ready,
  Leaving,
};

/// An endpoint's own entry in the store.
struct EndpointEntry
{
  std::string id;
  std::string service;
  std::string address;
  std::string dataCenter;
  EndpointState state{ EndpointState::Ready };
  Duration coldFor{ 0 };
  /// Distinguishes processes that run under the same id.
  std::int64_t incarnation{ 0 };
  /// The version of the endpoint's software; empty if it is not known. Versions have no order, and a stream that one of
  /// them began cannot go on at another.
  std::string softwareVersion{};

  bool operator==(EndpointEntry const&) const = default;
};

/// An endpoint's last known state at this front.
struct KnownEndpoint
{
  EndpointEntry entry;
  /// The endpoint is cold until this time and can serve only the cold rate.
  MonotonicTime coldUntil{};
  /// The endpoint is skipped until this time while others are available.
  MonotonicTime ejectedUntil{};
  unsigned consecutiveFailures{ 0 };
  /// Requests from this front that are in flight at the endpoint.
  unsigned outstanding{ 0 };
  /// When this front recently sent requests to the endpoint while it was cold, for the rate limit per second.
  std::deque<MonotonicTime> coldSendTimes;
  /// When to remove the endpoint. Set if its entry was missing after the store became available again; it may only have
  /// expired.
  std::optional<MonotonicTime> removeAt;
  /// What the process under this entry has said of itself in its answers.
  EndpointSignals signals;
};

/// Names a process of an endpoint: an address that is used again, or a new start of the same id, is another process.
struct EndpointProcess
{
  std::string id;
  std::string address;
  std::int64_t incarnation{ 0 };

  auto operator<=>(EndpointProcess const&) const = default;
};

/// All known endpoints, by id and by service, and the data centres that are out of rotation.
struct EndpointSet
{
  std::map<std::string, KnownEndpoint> byId;
  std::unordered_map<std::string, std::set<std::string>> idsByService;
  std::set<std::string> dataCentersOutOfRotation;
  /// Processes that have said that they leave, oldest first, so that no entry brings them back.
  std::deque<EndpointProcess> leavingProcesses;
};

enum class EntryChange
{
  Unchanged,
  Added,
  Restarted,
  Changed,
};

/// Replaces the known state of an endpoint by its entry. aColdTime is how long endpoints of its service are cold after
/// a start.
EntryChange
ApplyEntry(EndpointSet& aSet, EndpointEntry const& aEntry, Duration aColdTime, MonotonicTime aNow);

EndpointProcess
ProcessOf(EndpointEntry const& aEntry);

/// Records what an answer of a process says of it; ignored if another process has its entry by now. aFronts is the
/// number of fronts.
SignalChange
OnAnswerSignals(EndpointSet& aSet,
                EndpointProcess const& aProcess,
                AnswerSignals const& aAnswer,
                std::size_t aFronts,
                MonotonicTime aNow);

void
RemoveEndpoint(EndpointSet& aSet, std::string const& aId);

/// Replaces the set of data centres out of rotation. Endpoints of a returning data centre are treated as cold, because
/// they may have become cold shortly before.
void
SetDataCentersOutOfRotation(EndpointSet& aSet,
                            std::set<std::string> aOutOfRotation,
                            ServingTable const& aTable,
                            MonotonicTime aNow);

/// What the outcome of an attempt shows about the endpoint's health.
enum class AttemptHealth
{
  Healthy,
  /// The endpoint refused the request for lack of capacity; it is healthy.
  Full,
  /// Another process has the endpoint's address.
  Misdirected,
  /// No connection, no response, a broken response, a response to another request, or an error of the endpoint.
  Failed,
};

void
OnAttemptEnd(EndpointSet& aSet, std::string const& aId, AttemptHealth aHealth, Duration aColdTime, MonotonicTime aNow);

/// Returns the data centre of the endpoint at an address; empty if none is known.
std::string
DataCenterAt(EndpointSet const& aSet, std::string const& aService, std::string const& aAddress);

/// Returns whether the endpoint may receive requests, regardless of ejection.
bool
IsUsable(EndpointSet const& aSet, KnownEndpoint const& aEndpoint);

}
