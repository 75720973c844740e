#pragma once

#include <map>
#include <optional>
#include <string>

namespace Hornbeam::Testing {

/// The target of a request to the stand-in store, with all percent-encoding decoded.
struct StandInTarget
{
  std::string kind;
  /// Empty for the kind itself.
  std::string name;
  /// Whether the target is the status of the object.
  bool isStatus{ false };
  std::map<std::string, std::string> query;
};

/// Reads a target as HTTP servers do; returns nothing if it holds characters that a target must not hold, or a broken
/// percent-encoding. In the query, a plus sign stands for a blank.
std::optional<StandInTarget>
ParseStandInTarget(std::string const& aTarget);

}
