#pragma once

#include <LibCore/LibCore.h>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Hornbeam {

/// The version of an object in the platform's store; zero stands for an object that does not exist.
using StoreVersion = std::uint64_t;

enum class StoreStatus
{
  Ok,
  /// The object does not exist.
  Absent,
  /// The conditional write met another version. Nothing was written.
  Conflict,
  /// A watch ended without a change.
  Unchanged,
  /// No answer. A write may have taken effect.
  Unknown,
};

struct StoreAnswer
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

/// One VM of the platform's list. The list lags.
struct VmEntry
{
  std::string address;
  VmState state{ VmState::Live };
};

struct VmListAnswer
{
  StoreStatus status{ StoreStatus::Unknown };
  std::vector<VmEntry> vms;
};

using StoreCallback = std::function<void(StoreAnswer)>;

/// The platform's object API as the services see it. Every function answers exactly once.
struct StorePort
{
  std::function<void(std::string const& aKey, StoreCallback)> read;
  /// Writes only over aExpected; zero creates.
  std::function<void(std::string const& aKey, std::string aValue, StoreVersion aExpected, StoreCallback)> write;
  /// Answers when the version differs from aKnown, or after a while with Unchanged.
  std::function<void(std::string const& aKey, StoreVersion aKnown, StoreCallback)> watch;
  std::function<void(std::function<void(VmListAnswer)>)> listVms;
};

/// Counts of calls to the store, for the metrics and the budget.
struct StoreUsage
{
  std::uint64_t reads{ 0 };
  std::uint64_t writes{ 0 };
  std::uint64_t watches{ 0 };
  std::uint64_t refusedByBudget{ 0 };
};

}
