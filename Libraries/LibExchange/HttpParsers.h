#pragma once

#include "HttpMessage.h"
#include <cstddef>
#include <memory>

namespace Hornbeam::Gateway {

/// Size limits of requests.
struct MessageLimits
{
  std::size_t headerBytes{ 16384 };
  std::size_t bodyBytes{ 4194304 };
};

enum class ParseState
{
  NeedMore,
  Done,
  /// The bytes are not a valid message. Nothing that follows on the connection can be trusted.
  Malformed,
  HeaderTooLarge,
  BodyTooLarge,
};

/// Parses one request from the bytes of a connection. Framing is strict: requests with two lengths, a transfer coding
/// other than chunked, or invalid chunks are malformed.
class RequestParser
{
public:
  explicit RequestParser(MessageLimits aLimits);
  RequestParser(RequestParser const&) = delete;
  RequestParser& operator=(RequestParser const&) = delete;
  ~RequestParser();

  /// Consumes the bytes that belong to the request and removes them from aBytes.
  ParseState Feed(std::string& aBytes);

  bool HeadComplete() const;
  bool ExpectsContinue() const;
  bool WantsClose() const;

  /// The memory that the head and the body occupy in bytes, with the spare capacity of the body.
  std::size_t HeldBytes() const;

  /// Returns the request. Must be called only after Feed() has returned ParseState::Done.
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

/// The greatest size of a response body that is passed on as it arrives.
inline constexpr std::uint64_t kMaxResponseBodyBytes = 64 << 20;

/// Parses one response incrementally.
class ResponseParser
{
public:
  /// A body of more than aMaxBodyBytes in all is not valid.
  explicit ResponseParser(ResponseTo aMethod, std::uint64_t aMaxBodyBytes = kMaxResponseBodyBytes);
  ResponseParser(ResponseParser const&) = delete;
  ResponseParser& operator=(ResponseParser const&) = delete;
  ~ResponseParser();

  ParseState Feed(std::string& aBytes);

  /// Handles the close of the connection by the peer. Returns ParseState::Done if the close completes the body.
  ParseState FeedEnd();

  bool HeadComplete() const;
  bool WantsClose() const;
  ResponseHead Head() const;

  /// Returns the bytes of the body that were received since the last call.
  std::string TakeBody();

private:
  struct Implementation;
  std::unique_ptr<Implementation> implementation;
};

}
