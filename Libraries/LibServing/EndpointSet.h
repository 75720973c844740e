#pragma once

#include "ServingTable.h"
#include <deque>
#include <set>

namespace Hornbeam::Gateway {

enum class EndpointState
{
  Ready,
  Leaving,
};

/// What an endpoint says of itself through the store.
struct EndpointEntry
{
  std::string id;
  std::string service;
  std::string address;
  std::string dataCenter;
  EndpointState state{ EndpointState::Ready };
  Duration coldFor{ 0 };
  /// Differs between processes that run under one id.
  std::int64_t incarnation{ 0 };

  bool operator==(EndpointEntry const&) const = default;
};

/// What this front believes of an endpoint.
struct EndpointBelief
{
  EndpointEntry entry;
  /// Until then it bears only the cold rate.
  MonotonicTime coldUntil{};
  /// Until then it gets nothing while others can serve.
  MonotonicTime ejectedUntil{};
  unsigned failuresInARow{ 0 };
  /// Requests of this front at it.
  unsigned outstanding{ 0 };
  /// When this front sent to it while it was cold; a second's worth.
  std::deque<MonotonicTime> coldSends;
  /// Its entry was missing when the store came back; it may only have lapsed.
  std::optional<MonotonicTime> removeAt;
};

/// All endpoints, by id and by service, and the data centres that are taken out.
struct EndpointSet
{
  std::map<std::string, EndpointBelief> byId;
  std::unordered_map<std::string, std::set<std::string>> idsByService;
  std::set<std::string> dataCentersOutOfRotation;
};

enum class EntryChange
{
  Unchanged,
  Added,
  Restarted,
  Changed,
};

/// Takes an endpoint's entry over what was known. aColdTime is how long its service stays cold after a start.
EntryChange
ApplyEntry(EndpointSet& aSet, EndpointEntry const& aEntry, Duration aColdTime, MonotonicTime aNow);

void
RemoveEndpoint(EndpointSet& aSet, std::string const& aId);

/// Data centres that come back count as cold: their endpoints may have become so shortly before.
void
SetDataCentersOutOfRotation(EndpointSet& aSet,
                            std::set<std::string> aOut,
                            ServingTable const& aTable,
                            MonotonicTime aNow);

/// How an attempt at an endpoint went, as far as it tells of the endpoint's health.
enum class AttemptHealth
{
  Healthy,
  /// It refused for lack of room; it is healthy.
  Full,
  /// Another process has its address.
  Misdirected,
  /// No connection, no answer, a broken or foreign answer, or an error of its own.
  Failed,
};

void
OnAttemptEnd(EndpointSet& aSet, std::string const& aId, AttemptHealth aHealth, Duration aColdTime, MonotonicTime aNow);

/// The data centre of the endpoint at an address; empty when none is known.
std::string
DataCenterAt(EndpointSet const& aSet, std::string const& aService, std::string const& aAddress);

/// Whether it may be sent anything, ejected or not.
bool
IsUsable(EndpointSet const& aSet, EndpointBelief const& aEndpoint);

}
