#include "StandInTarget.h"
#include <algorithm>
#include <kj/encoding.h>
#include <string_view>
#include <vector>

namespace Hornbeam::Testing {

/// Whether a target may hold the byte (RFC 3986, with the question mark that begins the query).
static bool
IsTargetByte(unsigned char aByte)
{
  static constexpr std::string_view kOthers = "-._~!$&'()*+,;=:@/?%";
  return (aByte >= '0' && aByte <= '9') || (aByte >= 'A' && aByte <= 'Z') || (aByte >= 'a' && aByte <= 'z') ||
         kOthers.find(char(aByte)) != std::string_view::npos;
}

static std::vector<std::string>
Split(std::string const& aText, char aSeparator)
{
  std::vector<std::string> parts;
  std::size_t from = 0;
  for (auto end = aText.find(aSeparator); end != std::string::npos; end = aText.find(aSeparator, from)) {
    parts.push_back(aText.substr(from, end - from));
    from = end + 1;
  }
  parts.push_back(aText.substr(from));
  return parts;
}

static std::optional<std::string>
DecodePercent(std::string const& aText)
{
  auto const decoded = kj::decodeBinaryUriComponent(kj::arrayPtr(aText.data(), aText.size()));
  if (decoded.hadErrors)
    return std::nullopt;
  return std::string(reinterpret_cast<char const*>(decoded.begin()), decoded.size());
}

static std::optional<std::map<std::string, std::string>>
ParseQuery(std::string const& aText)
{
  std::map<std::string, std::string> query;
  if (aText.empty())
    return query;
  for (auto item : Split(aText, '&')) {
    std::ranges::replace(item, '+', ' ');
    auto const key = DecodePercent(item.substr(0, item.find('=')));
    auto const value = DecodePercent(item.find('=') == std::string::npos ? "" : item.substr(item.find('=') + 1));
    if (!key || !value)
      return std::nullopt;
    query[*key] = *value;
  }
  return query;
}

std::optional<StandInTarget>
ParseStandInTarget(std::string const& aTarget)
{
  static constexpr std::string_view kRoot = "/objects/";
  if (!std::ranges::all_of(aTarget, IsTargetByte) || !aTarget.starts_with(kRoot))
    return std::nullopt;
  auto const question = std::min(aTarget.find('?'), aTarget.size());
  auto const path = Split(aTarget.substr(kRoot.size(), question - kRoot.size()), '/');
  auto const query = ParseQuery(question == aTarget.size() ? "" : aTarget.substr(question + 1));
  bool const isStatus = path.size() == 3 && path[2] == "status";
  if (!query || path.size() > 3 || (path.size() == 3 && !isStatus))
    return std::nullopt;
  StandInTarget target{ path[0], "", isStatus, *query };
  if (path.size() == 1)
    return target;
  // A server takes these segments for a step in the path.
  if (path[1] == "." || path[1] == "..")
    return std::nullopt;
  auto const name = DecodePercent(path[1]);
  if (!name)
    return std::nullopt;
  target.name = *name;
  return target;
}

}
