#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Hornbeam::Gateway {

/// Header fields in the order in which they came; names compare without case.
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/// The first field with this name; null when there is none.
std::string const*
FindField(HeaderFields const& aFields, std::string_view aName);

/// The value of the first field with this name; empty when there is none.
std::string
FieldValue(HeaderFields const& aFields, std::string_view aName);

bool
EqualIgnoringCase(std::string_view aFirst, std::string_view aSecond);

/// Whether a field belongs to one connection or to the framing of a message, and so must not be forwarded.
/// aConnection is the value of the message's Connection field, which may name more of them.
bool
IsHopByHop(std::string_view aName, std::string_view aConnection);

/// A request with its whole body; framing is removed.
struct RequestMessage
{
  std::string method;
  std::string target;
  HeaderFields fields;
  std::string body;
};

/// The head of a response; framing is removed.
struct ResponseHead
{
  unsigned status{ 0 };
  HeaderFields fields;
};

/// The bytes of a request with a Content-Length where the method or the body calls for one.
std::string
SerializeRequest(RequestMessage const& aRequest);

/// How the length of a response's body is told.
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

/// The bytes of a response's head. aLength counts only for BodyFraming::Sized.
std::string
SerializeResponseHead(ResponseHead const& aHead, BodyFraming aFraming, std::size_t aLength, ConnectionUse aUse);

/// One chunk of a chunked body.
std::string
SerializeChunk(std::string_view aPiece);

/// The end of a chunked body.
std::string
SerializeLastChunk();

}
