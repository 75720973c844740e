#include "EventStream.h"
#include <charconv>
#include <cstdint>

namespace Hornbeam::Gateway {

/// Returns the position after the blank line that ends the first event; npos if there is no complete event.
static std::size_t
EndOfEvent(std::string_view aBytes, std::size_t aFrom)
{
  auto const plain = aBytes.find("\n\n", aFrom);
  auto const withReturns = aBytes.find("\r\n\r\n", aFrom);
  if (plain == std::string_view::npos && withReturns == std::string_view::npos)
    return std::string_view::npos;
  return withReturns < plain ? withReturns + 4 : plain + 2;
}

static std::optional<std::string>
IdOf(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    auto const end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    aEvent = end == std::string_view::npos ? std::string_view() : aEvent.substr(end + 1);
    if (!line.starts_with("id:"))
      continue;
    line.remove_prefix(3);
    while (line.starts_with(' '))
      line.remove_prefix(1);
    while (line.ends_with('\r'))
      line.remove_suffix(1);
    return std::string(line);
  }
  return std::nullopt;
}

static std::optional<std::int64_t>
NumberOf(std::string const& aId)
{
  std::int64_t value = 0;
  auto const [end, failure] = std::from_chars(aId.data(), aId.data() + aId.size(), value);
  return failure == std::errc() && end == aId.data() + aId.size() ? std::optional(value) : std::nullopt;
}

std::string
ExtractCompleteEvents(EventStream& aStream, std::string_view aBytes)
{
  aStream.partial += aBytes;
  std::size_t whole = 0;
  while (true) {
    auto const end = EndOfEvent(aStream.partial, whole);
    if (end == std::string_view::npos)
      break;
    if (auto const id = IdOf(std::string_view(aStream.partial).substr(whole, end - whole))) {
      auto const before = aStream.lastId ? NumberOf(*aStream.lastId) : std::nullopt;
      auto const number = NumberOf(*id);
      aStream.outOfOrder = aStream.outOfOrder || (before && number && *number <= *before);
      aStream.lastId = *id;
    }
    whole = end;
  }
  auto result = aStream.partial.substr(0, whole);
  aStream.partial.erase(0, whole);
  return result;
}

}
