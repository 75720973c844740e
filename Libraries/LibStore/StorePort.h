#pragma once

#include <LibCore/LibCore.h>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Hornbeam {

/// The version of an object in the platform's store. Zero means that the object does not exist.
using StoreVersion = std::uint64_t;

enum class StoreStatus
{
  Ok,
  /// The object does not exist.
  Absent,
  /// The conditional write found a different version; nothing was written.
  Conflict,
  /// The watch timed out without a change.
  Unchanged,
  /// No valid response was received. A write may have been applied.
  Unknown,
};

struct StoreResponse
{
  StoreStatus status{ StoreStatus::Unknown };
  StoreVersion version{ 0 };
  std::string value;
};

enum class VmState
{
  Live,
  Leaving,
};

/// One entry of the platform's VM list. The list may be out of date.
struct VmEntry
{
  std::string address;
  VmState state{ VmState::Live };
};

struct VmListResponse
{
  StoreStatus status{ StoreStatus::Unknown };
  std::vector<VmEntry> vms;
};

using StoreCallback = std::function<void(StoreResponse)>;

/// Interface to the platform's object API. Every function calls its callback exactly once.
struct StorePort
{
  std::function<void(std::string const& aKey, StoreCallback)> read;
  /// Writes only if the current version is aExpected; zero creates the object.
  std::function<void(std::string const& aKey, std::string aValue, StoreVersion aExpected, StoreCallback)> write;
  /// Completes when the version differs from aKnown, or with Unchanged after the watch timeout.
  std::function<void(std::string const& aKey, StoreVersion aKnown, StoreCallback)> watch;
  std::function<void(std::function<void(VmListResponse)>)> listVms;
};

/// Counters of calls to the store.
struct StoreUsage
{
  std::uint64_t reads{ 0 };
  std::uint64_t writes{ 0 };
  std::uint64_t watches{ 0 };
  std::uint64_t refusedByBudget{ 0 };
  /// Responses that were not used because their object had gone back to an earlier version.
  std::uint64_t versionRegressions{ 0 };
};

}
