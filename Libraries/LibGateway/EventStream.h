#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Hornbeam::Gateway {

/// Splits a text/event-stream into complete events, so that a stream that is interrupted within an event can be resumed
/// at another endpoint.
struct EventStream
{
  std::string partial;
  /// The id of the last complete event.
  std::optional<std::string> lastId;
  /// Set if event ids do not increase: the stream is not the requested continuation.
  bool outOfOrder{ false };
};

/// Appends aBytes to the buffer, then removes and returns all complete events unchanged.
std::string
ExtractCompleteEvents(EventStream& aStream, std::string_view aBytes);

}
