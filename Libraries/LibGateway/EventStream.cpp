#include "EventStream.h"
#include <charconv>
#include <cstdint>

namespace Hornbeam::Gateway {

static constexpr std::string_view kLineEnds = "\r\n";
static constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

/// Removes and returns the first line, without its line end. A CR LF gives an additional empty line.
static std::string_view
TakeLine(std::string_view& aLines)
{
  auto const end = aLines.find_first_of(kLineEnds);
  auto const line = aLines.substr(0, end);
  aLines = end == std::string_view::npos ? std::string_view() : aLines.substr(end + 1);
  return line;
}

static std::optional<std::string>
IdOf(std::string_view aEvent)
{
  if (aEvent.starts_with(kByteOrderMark))
    aEvent.remove_prefix(kByteOrderMark.size());
  while (!aEvent.empty()) {
    auto line = TakeLine(aEvent);
    if (!line.starts_with("id:"))
      continue;
    line.remove_prefix(3);
    while (line.starts_with(' '))
      line.remove_prefix(1);
    return std::string(line);
  }
  return std::nullopt;
}

/// Whether there is anything but comments and blank lines.
static bool
HasContent(std::string_view aLines)
{
  while (!aLines.empty()) {
    auto const line = TakeLine(aLines);
    if (!line.empty() && !line.starts_with(':'))
      return true;
  }
  return false;
}

static std::optional<std::int64_t>
NumberOf(std::string const& aId)
{
  std::int64_t value = 0;
  auto const [end, failure] = std::from_chars(aId.data(), aId.data() + aId.size(), value);
  return failure == std::errc() && end == aId.data() + aId.size() ? std::optional(value) : std::nullopt;
}

static void
RecordEvent(EventStream& aStream, std::string_view aEvent)
{
  aStream.hasEvent = aStream.hasEvent || HasContent(aEvent);
  auto const id = IdOf(aEvent);
  if (!id)
    return;
  auto const before = aStream.lastId ? NumberOf(*aStream.lastId) : std::nullopt;
  auto const number = NumberOf(*id);
  aStream.outOfOrder = aStream.outOfOrder || (before && number && *number <= *before);
  aStream.lastId = *id;
}

std::string
ExtractCompleteEvents(EventStream& aStream, std::string_view aBytes)
{
  auto& bytes = aStream.partial;
  // The bytes before were searched; only a CR at their end may still become a CR LF.
  auto searched = bytes.ends_with('\r') ? bytes.size() - 1 : bytes.size();
  bytes += aBytes;
  std::size_t whole = 0;
  while (true) {
    auto const end = bytes.find_first_of(kLineEnds, searched);
    if (end == std::string::npos || (bytes[end] == '\r' && end + 1 == bytes.size()))
      break;
    bool const blank = end == aStream.lineStart;
    searched = end + (bytes.compare(end, 2, "\r\n") == 0 ? 2 : 1);
    aStream.lineStart = searched;
    if (!blank)
      continue;
    RecordEvent(aStream, std::string_view(bytes).substr(whole, searched - whole));
    whole = searched;
  }
  auto result = bytes.substr(0, whole);
  bytes.erase(0, whole);
  aStream.lineStart -= whole;
  return result;
}

bool
EndsInsideEvent(EventStream const& aStream)
{
  std::string_view rest = aStream.partial;
  // The blank line at the end of the last event may end with a CR, which is kept until it is known not to be a CR LF.
  // After a line that ended with CR LF, the LF is missing.
  bool const endsWithCr = aStream.lineStart > 0 && rest.substr(aStream.lineStart) == "\r";
  if (endsWithCr && !rest.substr(0, aStream.lineStart).ends_with("\r\n"))
    return false;
  while (!rest.empty()) {
    bool const lineEnded = rest.find_first_of(kLineEnds) != std::string_view::npos;
    auto const line = TakeLine(rest);
    if (!line.empty() && (!line.starts_with(':') || !lineEnded))
      return true;
  }
  return false;
}

void
PrepareResumption(EventStream& aStream)
{
  aStream.partial.clear();
  aStream.lineStart = 0;
  aStream.hasEvent = false;
}

}
