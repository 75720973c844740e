#pragma once

#include <LibTable/LibTable.h>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam {

/// Counts the membership records of one deployment. Zero means that none is known.
using EpochNumber = std::uint64_t;

/// Tells the processes apart that hold one name one after another; a later process has a greater number.
using Incarnation = std::uint64_t;

/// One front as the membership record names it.
struct Member
{
  std::string name;
  Incarnation incarnation{ 0 };
  std::string peerAddress;
  std::string callerAddress;
  std::string dataCenter;
  bool operator==(Member const&) const = default;
};

/// The record in the platform's store. It is replaced only by a conditional write of the next epoch, and only by a
/// front that knows this epoch to be active.
struct EpochRecord
{
  EpochNumber epoch{ 0 };
  std::vector<Member> members;
  /// The members of the epoch before.
  std::vector<Member> previous;
  /// Names of previous members that had ended all their work before they left.
  std::vector<std::string> drained;
};

enum class ServingMode
{
  Serving,
  /// A graceful shutdown has begun: the front is no longer handed out to callers.
  Draining,
};

/// What one front tells another at each heartbeat, and what the other answers.
struct Heartbeat
{
  std::string name;
  Incarnation incarnation{ 0 };
  EpochNumber knownEpoch{ 0 };
  EpochNumber activeEpoch{ 0 };
  Revision table{ 0 };
  ServingMode mode{ ServingMode::Serving };
  /// The known record, when the other side is known to have an older one.
  std::optional<EpochRecord> record;
};

Member const*
FindMember(std::vector<Member> const& aMembers, std::string const& aName);

/// The smallest number of members that is more than half of them.
std::size_t
MajorityOf(std::size_t aMembers);

/// The member that owns a key: rendezvous hashing, among the members of aDataCenter if there are any.
Member const&
OwnerOf(EpochRecord const& aRecord, std::string const& aKey, std::string const& aDataCenter);

std::string
EncodeRecord(EpochRecord const& aRecord);

std::optional<EpochRecord>
DecodeRecord(std::string const& aText, LastReason& aReason);

}
