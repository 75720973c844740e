#include "StreamOrigins.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// Longer than a stream lasts, with the time in which callers take it up.
static constexpr Duration kOriginLifetime = 32s;
static_assert(kVersionMemory > kOriginLifetime);
static constexpr std::size_t kMinKeepers = 2;
static constexpr std::size_t kFrontsPerKeeper = 16;

std::uint64_t
RequesterOf(std::string const& aAccount, std::string const& aTarget)
{
  return StableHash(aAccount + '\n' + aTarget);
}

bool
RecordOrigin(StreamOrigins& aOrigins, StreamRecord const& aRecord, MonotonicTime aNow)
{
  while (!aOrigins.oldestFirst.empty()) {
    auto const oldest = aOrigins.byRequest.find(aOrigins.oldestFirst.front());
    if (aNow - oldest->second.recorded <= kOriginLifetime)
      break;
    aOrigins.byRequest.erase(oldest);
    aOrigins.oldestFirst.pop_front();
  }
  // An unknown version is nothing that a stream can go on at.
  if (aRecord.requestId.empty() || aRecord.origin.softwareVersion.empty())
    return false;
  auto const [entry, added] =
    aOrigins.byRequest.try_emplace(aRecord.requestId, StreamOrigins::Entry{ aRecord.origin, aNow });
  if (added)
    aOrigins.oldestFirst.push_back(aRecord.requestId);
  return added;
}

StreamOrigin const*
FindOrigin(StreamOrigins const& aOrigins, std::string const& aRequestId)
{
  auto const found = aOrigins.byRequest.find(aRequestId);
  return found == aOrigins.byRequest.end() ? nullptr : &found->second.origin;
}

std::vector<StreamRecord>
RecordsOf(StreamOrigins const& aOrigins, std::string const& aService)
{
  std::vector<StreamRecord> records;
  for (auto const& requestId : aOrigins.oldestFirst)
    if (auto const& entry = aOrigins.byRequest.at(requestId); entry.origin.service == aService)
      records.push_back({ requestId, entry.origin });
  return records;
}

bool
NoteVersion(SoftwareVersions& aVersions, std::string const& aService, std::string const& aVersion, MonotonicTime aNow)
{
  auto& versions = aVersions.lastSeen[aService];
  bool const added = !versions.contains(aVersion);
  versions[aVersion] = aNow;
  return added && versions.size() == 2;
}

std::vector<std::string>
NoteVersions(SoftwareVersions& aVersions, EndpointSet const& aEndpoints, MonotonicTime aNow)
{
  std::vector<std::string> becameSeveral;
  for (auto const& [id, endpoint] : aEndpoints.byId)
    if (NoteVersion(aVersions, endpoint.entry.service, endpoint.entry.softwareVersion, aNow))
      becameSeveral.push_back(endpoint.entry.service);
  for (auto& [service, versions] : aVersions.lastSeen)
    std::erase_if(versions, [&](auto const& aEntry) { return aNow - aEntry.second > kVersionMemory; });
  return becameSeveral;
}

bool
IsKnownVersion(SoftwareVersions const& aVersions, std::string const& aService, std::string const& aVersion)
{
  auto const found = aVersions.lastSeen.find(aService);
  return found != aVersions.lastSeen.end() && found->second.contains(aVersion);
}

bool
HasSeveralVersions(SoftwareVersions const& aVersions, std::string const& aService)
{
  auto const found = aVersions.lastSeen.find(aService);
  return found != aVersions.lastSeen.end() && found->second.size() > 1;
}

std::optional<std::string>
OnlyVersion(SoftwareVersions const& aVersions, std::string const& aService)
{
  auto const found = aVersions.lastSeen.find(aService);
  if (found == aVersions.lastSeen.end() || found->second.size() != 1 || found->second.begin()->first.empty())
    return std::nullopt;
  return found->second.begin()->first;
}

std::string
KeeperKeyOf(std::string const& aRequestId, std::size_t aFronts)
{
  auto const keepers = std::max(kMinKeepers, aFronts / kFrontsPerKeeper);
  return "stream-origins-" + std::to_string(StableHash(aRequestId) % keepers);
}

}
