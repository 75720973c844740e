#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Hornbeam::Gateway {

/// Splits a text/event-stream into complete events, so that a stream that is interrupted within an event can be resumed
/// at another endpoint.
struct EventStream
{
  /// The bytes after the last complete event.
  std::string partial;
  /// Where the first line without a line end starts in `partial`.
  std::size_t lineStart{ 0 };
  /// The id of the last complete event.
  std::optional<std::string> lastId;
  /// Whether there was a complete event since the start or the last resumption.
  bool hasEvent{ false };
  /// Set if event ids do not increase: the stream is not the requested continuation.
  bool outOfOrder{ false };
};

/// Appends aBytes to the buffer, then removes and returns all complete events unchanged. Events end with a blank line;
/// lines end with LF, CR LF or CR.
std::string
ExtractCompleteEvents(EventStream& aStream, std::string_view aBytes);

/// Whether a stream that ends here was interrupted: anything but comments and line ends follows the last complete
/// event.
bool
EndsInsideEvent(EventStream const& aStream);

/// Drops the bytes after the last complete event, before the stream is resumed.
void
PrepareResumption(EventStream& aStream);

}
