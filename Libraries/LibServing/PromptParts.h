#pragma once

#include <string>
#include <vector>

namespace Hornbeam::Gateway {

struct PromptPart
{
  /// The part's hash, or a name made from it if that is long or not printable, so that it can be logged and stored.
  std::string name;
  /// The first part of a prompt has position 0.
  unsigned position{ 0 };
};

/// Returns the parts of a prompt that other requests can share: all but the last. Of a long prompt, only the last ones
/// of these are returned.
std::vector<PromptPart>
SharedParts(std::vector<std::string> const& aPromptParts);

/// Returns the names of the parts as the value of a log field.
std::string
ToLogField(std::vector<PromptPart> const& aParts);

}
