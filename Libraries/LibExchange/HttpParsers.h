#pragma once

#include "HttpMessage.h"
#include <cstddef>
#include <memory>

namespace Hornbeam::Gateway {

/// What a caller may send.
struct MessageLimits
{
  std::size_t headerBytes{ 16384 };
  std::size_t bodyBytes{ 4194304 };
};

enum class ParseState
{
  NeedMore,
  Done,
  /// The bytes are no message; nothing that follows on the connection can be trusted.
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
};

/// Reads one request from the bytes of a connection. Framing is strict: two lengths, other codings than chunked and
/// bad chunks are malformed.
class RequestParser
{
public:
  explicit RequestParser(MessageLimits aLimits);
  RequestParser(RequestParser const&) = delete;
  RequestParser& operator=(RequestParser const&) = delete;
  ~RequestParser();

  /// Takes as many bytes as belong to the request and removes them from aBytes.
  ParseState Feed(std::string& aBytes);

  bool HeadComplete() const;
  bool ExpectsContinue() const;
  bool WantsClose() const;

  /// The request, once Feed() has returned ParseState::Done.
  RequestMessage Take();

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

enum class ResponseTo
{
  Head,
  OtherMethod,
};

/// Reads one response piece by piece.
class ResponseParser
{
public:
  explicit ResponseParser(ResponseTo aMethod);
  ResponseParser(ResponseParser const&) = delete;
  ResponseParser& operator=(ResponseParser const&) = delete;
  ~ResponseParser();

  ParseState Feed(std::string& aBytes);

  /// The peer closed the connection. Done when the body has no other end.
  ParseState FeedEnd();

  bool HeadComplete() const;
  bool WantsClose() const;
  ResponseHead Head() const;

  /// The body's bytes since the last call.
  std::string TakeBody();

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

}
