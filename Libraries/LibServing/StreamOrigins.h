#pragma once

#include "EndpointSet.h"
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Hornbeam::Gateway {

/// Where a stream began. A caller may take a stream up again with another request, at any front; it may go on only at
/// the software version that began it.
struct StreamOrigin
{
  std::string service;
  std::string softwareVersion;
  /// Identifies the client account and the target of the request, so that no other request takes the stream up.
  std::uint64_t requester{ 0 };

  bool operator==(StreamOrigin const&) const = default;
};

std::uint64_t
RequesterOf(std::string const& aAccount, std::string const& aTarget);

/// The origin of the stream whose first event a request brought.
struct StreamRecord
{
  std::string requestId;
  StreamOrigin origin;
};

/// The origins that a front knows. They never change, so records from any source are merged.
struct StreamOrigins
{
  struct Entry
  {
    StreamOrigin origin;
    MonotonicTime recorded{};
  };
  std::unordered_map<std::string, Entry> byRequest;
  /// The requests in the order in which they were recorded.
  std::deque<std::string> oldestFirst;
};

/// Records an origin unless one is known for the request, and forgets those of streams that have ended by now. Returns
/// whether it was new.
bool
RecordOrigin(StreamOrigins& aOrigins, StreamRecord const& aRecord, MonotonicTime aNow);

StreamOrigin const*
FindOrigin(StreamOrigins const& aOrigins, std::string const& aRequestId);

/// Returns the records of a service.
std::vector<StreamRecord>
RecordsOf(StreamOrigins const& aOrigins, std::string const& aService);

/// The software versions of each service, and when each was last seen or learnt of.
struct SoftwareVersions
{
  std::map<std::string, std::map<std::string, MonotonicTime>> lastSeen;
};

/// Notes the versions of all endpoints, and forgets those that left so long ago that no stream of them can be taken up.
/// Returns the services that have several versions now and had one before.
std::vector<std::string>
NoteVersions(SoftwareVersions& aVersions, EndpointSet const& aEndpoints, MonotonicTime aNow);

/// Notes a version that others have seen lately; returns whether its service has several versions now and had one
/// before.
bool
NoteVersion(SoftwareVersions& aVersions, std::string const& aService, std::string const& aVersion, MonotonicTime aNow);

bool
IsKnownVersion(SoftwareVersions const& aVersions, std::string const& aService, std::string const& aVersion);

/// Whether streams of a service may have begun at different versions, so that their origins have to be recorded.
bool
HasSeveralVersions(SoftwareVersions const& aVersions, std::string const& aService);

/// Returns the only version that a service had while its streams can have begun; nothing if there were several or none,
/// or if it is not known.
std::optional<std::string>
OnlyVersion(SoftwareVersions const& aVersions, std::string const& aService);

/// The time for which a front that has just started may not know versions that left before.
constexpr Duration kVersionMemory = 45s;

/// Returns which of the keepers' keys a request belongs to. The number of keepers grows with that of the fronts.
std::string
KeeperKeyOf(std::string const& aRequestId, std::size_t aFronts);

}
