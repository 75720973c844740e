#pragma once

#include <LibTable/LibTable.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/// The sequence number of a deployment's membership record. Zero means that no record is known.
using EpochNumber = std::uint64_t;

/// Distinguishes successive processes with the same name. A later process has a greater number.
using Incarnation = std::uint64_t;

/// One front in the membership record.
struct Member
{
  std::string name;
  Incarnation incarnation{ 0 };
  std::string peerAddress;
  std::string callerAddress;
  std::string dataCenter;
  bool operator==(Member const&) const = default;
};

/// The membership record in the platform's store. It is replaced only by a conditional write of the next epoch, by a
/// front that knows this epoch to be active.
struct EpochRecord
{
  EpochNumber epoch{ 0 };
  std::vector<Member> members;
  /// The members of the previous epoch.
  std::vector<Member> previous;
  /// Names of previous members that had completed all their work before they left.
  std::vector<std::string> drained;
};

enum class ServingMode
{
  Serving,
  /// The front is shutting down gracefully, and its address is no longer given to callers.
  Draining,
};

/// The message that fronts send to each other as a heartbeat and as the response to one.
struct Heartbeat
{
  std::string name;
  Incarnation incarnation{ 0 };
  EpochNumber knownEpoch{ 0 };
  EpochNumber activeEpoch{ 0 };
  Revision table{ 0 };
  ServingMode mode{ ServingMode::Serving };
  /// The known record, if the receiver is known to have an older one.
  std::optional<EpochRecord> record;
};

Member const*
FindMember(std::vector<Member> const& aMembers, std::string const& aName);

/// Returns the smallest number of members that forms a majority.
std::size_t
MajorityOf(std::size_t aMembers);

/// Returns the owner of a key by rendezvous hashing, among the members in aDataCenter if there are any.
Member const&
OwnerOf(EpochRecord const& aRecord, std::string const& aKey, std::string const& aDataCenter);

std::string
EncodeRecord(EpochRecord const& aRecord);

std::optional<EpochRecord>
DecodeRecord(std::string const& aText, LastReason& aReason);

}
