#include "PromptParts.h"
#include <LibCore/LibCore.h>
#include <algorithm>

namespace Hornbeam::Gateway {

static constexpr std::size_t kMaxParts = 16;
static constexpr std::size_t kMaxPartLength = 64;

static bool
IsPlain(char aCharacter)
{
  bool const letter = (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z');
  return letter || (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' || aCharacter == '_';
}

static std::string
NameOf(std::string const& aPart)
{
  if (aPart.size() <= kMaxPartLength && std::ranges::all_of(aPart, IsPlain))
    return aPart;
  return "hash-" + std::to_string(StableHash(aPart));
}

std::vector<PromptPart>
SharedParts(std::vector<std::string> const& aPromptParts)
{
  std::vector<PromptPart> parts;
  std::size_t const count = aPromptParts.empty() ? 0 : aPromptParts.size() - 1;
  for (std::size_t index = count > kMaxParts ? count - kMaxParts : 0; index < count; ++index)
    if (!aPromptParts[index].empty())
      parts.push_back({ NameOf(aPromptParts[index]), unsigned(index) });
  return parts;
}

std::string
ToLogField(std::vector<PromptPart> const& aParts)
{
  std::string field;
  for (auto const& part : aParts)
    field += (field.empty() ? "" : ",") + part.name;
  return field.empty() ? "none" : field;
}

}
