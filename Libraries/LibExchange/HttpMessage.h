#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Hornbeam::Gateway {

/// Header fields in the order of the message. Names are case-insensitive.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// The value of the first field with this name; null if there is none.
std::string const*
FindField(HeaderFields const& aFields, std::string_view aName);

/// The value of the first field with this name; empty if there is none.
std::string
FieldValue(HeaderFields const& aFields, std::string_view aName);

bool
EqualIgnoringCase(std::string_view aFirst, std::string_view aSecond);

/// Whether a field applies to a single connection or to the framing of a message, and so must not be forwarded.
/// aConnection is the value of the Connection field of the message, which may list further hop-by-hop fields.
bool
IsHopByHop(std::string_view aName, std::string_view aConnection);

/// A request with its complete body, without framing.
struct RequestMessage
{
  std::string method;
  std::string target;
  HeaderFields fields;
  std::string body;
};

/// The memory that a request occupies in bytes, with the spare capacity of its buffers.
std::size_t
HeldBytes(RequestMessage const& aRequest);

/// Gives the memory of a string back; clear() keeps its capacity.
void
ReleaseString(std::string& aString);

/// The memory that a string occupies outside of itself, in bytes.
std::size_t
AllocatedBytes(std::string const& aString);

/// The status and the header fields of a response, without framing.
struct ResponseHead
{
  unsigned status{ 0 };
  HeaderFields fields;
};

/// Whether the body of a response has a length or chunks. If not, it ends with its connection.
bool
HasBodyFraming(ResponseHead const& aHead);

/// Whether a message can have these fields: each one's name and value are bounded.
bool
CanSerialize(HeaderFields const& aFields);

/// Serializes a request, with a Content-Length unless it is a GET or HEAD without a body. Its fields must pass
/// CanSerialize().
std::string
SerializeRequest(RequestMessage const& aRequest);

/// How the length of a response body is signalled.
enum class BodyFraming
{
  Sized,
  Chunked,
};

enum class ConnectionUse
{
  KeepAlive,
  Close,
};

/// Serializes the head of a response. aLength is used only with BodyFraming::Sized.
std::string
SerializeResponseHead(ResponseHead const& aHead, BodyFraming aFraming, std::size_t aLength, ConnectionUse aUse);

/// Serializes one chunk of a chunked body.
std::string
SerializeChunk(std::string_view aChunk);

/// Serializes the last chunk, which ends a chunked body.
std::string
SerializeLastChunk();

}
