#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Hornbeam::Gateway {

/// Cuts the bytes of a text/event-stream into whole events, so that a stream that breaks off inside an event can go on
/// at another endpoint.
struct EventStream
{
  std::string partial;
  /// The id of the last whole event.
  std::optional<std::string> lastId;
  /// Ids do not increase: the bytes are not the continuation that was asked for.
  bool outOfOrder{ false };
};

/// Takes bytes and returns the whole events among what is there, unchanged.
std::string
ExtractCompleteEvents(EventStream& aStream, std::string_view aBytes);

}
