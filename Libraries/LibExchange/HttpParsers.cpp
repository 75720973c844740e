#include "HttpParsers.h"
#include <boost/beast/http.hpp>
#include <optional>

namespace Hornbeam::Gateway {

namespace http = boost::beast::http;

/// Size limit of response heads, for which the platform specifies none.
static constexpr std::uint32_t kMaxResponseHeaderBytes = 65536;
/// Size limit of a chunk extension, and of the trailer of a chunked body. Beast limits neither.
static constexpr std::size_t kMaxChunkHeaderBytes = 16384;
/// Limit of the informational responses (1xx) before the final one.
static constexpr unsigned kMaxInformationalResponses = 16;

static ParseState
StateOf(boost::beast::error_code const& aFailure)
{
  if (aFailure == http::error::header_limit)
    return ParseState::HeaderTooLarge;
  if (aFailure == http::error::body_limit)
    return ParseState::BodyTooLarge;
  return ParseState::Malformed;
}

/// Feeds a Beast parser until it is done, fails or needs more data.
template<typename Parser, typename Check>
static ParseState
FeedParser(Parser& aParser, std::string& aBytes, Check aHeadCheck)
{
  while (!aParser.is_done() && !aBytes.empty()) {
    boost::beast::error_code failure;
    auto const used = aParser.put(boost::asio::buffer(aBytes.data(), aBytes.size()), failure);
    aBytes.erase(0, used);
    if (failure && failure != http::error::need_more)
      return StateOf(failure);
    if (aParser.is_header_done() && !aHeadCheck())
      return ParseState::Malformed;
    if (failure || used == 0)
      break;
  }
  if (aParser.is_done())
    return ParseState::Done;
  bool const tooLong = aParser.is_header_done() && aBytes.size() > kMaxChunkHeaderBytes;
  return tooLong ? ParseState::Malformed : ParseState::NeedMore;
}

template<typename Message>
static HeaderFields
FieldsOf(Message const& aMessage)
{
  HeaderFields fields;
  for (auto const& field : aMessage) {
    auto const name = field.name_string();
    auto const value = field.value();
    fields.emplace_back(std::string(name.data(), name.size()), std::string(value.data(), value.size()));
  }
  return fields;
}

/// Whether the only transfer coding, if any, is chunked. Beast treats an unknown transfer coding as an empty body,
/// which would allow request smuggling: a second request hidden in the body.
template<typename Message>
static bool
HasValidTransferCoding(Message const& aMessage)
{
  auto const coding = aMessage.find(http::field::transfer_encoding);
  if (coding == aMessage.end())
    return true;
  return aMessage.count(http::field::transfer_encoding) == 1 &&
         EqualIgnoringCase(std::string_view(coding->value().data(), coding->value().size()), "chunked");
}

/// Whether the status is one of HTTP's classes (RFC 9110, 15). Beast accepts any three digits.
static bool
HasValidStatus(unsigned aStatus)
{
  return aStatus >= 100 && aStatus <= 599;
}

/// What Beast allocates for a field besides its name and value.
static constexpr std::size_t kFieldBytes = 96;
/// A body is copied to a smaller buffer if that frees more than this.
static constexpr std::size_t kMaxSpareBytes = 65536;

struct RequestParser::Implementation
{
  http::request_parser<http::string_body> parser;
  /// The memory of the head; zero until it is complete.
  std::size_t headBytes{ 0 };

  void MeasureHead()
  {
    if (this->headBytes != 0 || !this->parser.is_header_done())
      return;
    this->headBytes = this->parser.get().target().size();
    for (auto const& field : this->parser.get())
      this->headBytes += kFieldBytes + field.name_string().size() + field.value().size();
  }
};

RequestParser::RequestParser(MessageLimits aLimits)
  : implementation(std::make_unique<Implementation>())
{
  auto& parser = this->implementation->parser;
  parser.header_limit(std::uint32_t(aLimits.headerBytes));
  parser.body_limit(aLimits.bodyBytes);
  parser.eager(true);
}

RequestParser::~RequestParser() = default;

ParseState
RequestParser::Feed(std::string& aBytes)
{
  auto& parser = this->implementation->parser;
  auto const state = FeedParser(parser, aBytes, [&] { return HasValidTransferCoding(parser.get()); });
  this->implementation->MeasureHead();
  return state;
}

std::size_t
RequestParser::HeldBytes() const
{
  return this->implementation->headBytes + AllocatedBytes(this->implementation->parser.get().body());
}

bool
RequestParser::HeadComplete() const
{
  return this->implementation->parser.is_header_done();
}

bool
RequestParser::ExpectsContinue() const
{
  auto const& message = this->implementation->parser.get();
  return EqualIgnoringCase(std::string(message[http::field::expect]), "100-continue");
}

bool
RequestParser::WantsClose() const
{
  return !this->implementation->parser.keep_alive();
}

RequestMessage
RequestParser::Take()
{
  auto message = this->implementation->parser.release();
  RequestMessage request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.fields = FieldsOf(message);
  request.body = std::move(message.body());
  if (request.body.capacity() - request.body.size() > kMaxSpareBytes)
    request.body.shrink_to_fit();
  return request;
}

struct ResponseParser::Implementation
{
  std::optional<http::response_parser<http::string_body>> parser;
  ResponseTo method;
  std::uint64_t maxBodyBytes;
  unsigned informationalResponses{ 0 };

  void Reset()
  {
    this->parser.emplace();
    this->parser->header_limit(kMaxResponseHeaderBytes);
    this->parser->body_limit(this->maxBodyBytes);
    this->parser->eager(true);
    this->parser->skip(this->method == ResponseTo::Head);
  }
};

ResponseParser::ResponseParser(ResponseTo aMethod, std::uint64_t aMaxBodyBytes)
  : implementation(std::make_unique<Implementation>())
{
  this->implementation->method = aMethod;
  this->implementation->maxBodyBytes = aMaxBodyBytes;
  this->implementation->Reset();
}

ResponseParser::~ResponseParser() = default;

ParseState
ResponseParser::Feed(std::string& aBytes)
{
  while (true) {
    auto& parser = *this->implementation->parser;
    auto const state = FeedParser(parser, aBytes, [&] {
      return HasValidStatus(parser.get().result_int()) && HasValidTransferCoding(parser.get());
    });
    bool const informational = state == ParseState::Done && parser.get().result_int() / 100 == 1;
    if (!informational)
      return state;
    if (++this->implementation->informationalResponses > kMaxInformationalResponses)
      return ParseState::Malformed;
    this->implementation->Reset();
    if (aBytes.empty())
      return ParseState::NeedMore;
  }
}

ParseState
ResponseParser::FeedEnd()
{
  auto& parser = *this->implementation->parser;
  if (!parser.is_header_done())
    return ParseState::Malformed;
  if (parser.is_done())
    return ParseState::Done;
  boost::beast::error_code failure;
  parser.put_eof(failure);
  return failure ? ParseState::Malformed : ParseState::Done;
}

bool
ResponseParser::HeadComplete() const
{
  return this->implementation->parser->is_header_done();
}

bool
ResponseParser::WantsClose() const
{
  auto const& parser = *this->implementation->parser;
  // A HEAD response without framing may end with its connection, as the response to a GET would.
  bool const unframed = !parser.chunked() && !parser.content_length();
  return !parser.keep_alive() || (this->implementation->method == ResponseTo::Head && unframed);
}

ResponseHead
ResponseParser::Head() const
{
  auto const& message = this->implementation->parser->get();
  return { message.result_int(), FieldsOf(message) };
}

std::string
ResponseParser::TakeBody()
{
  std::string body;
  body.swap(this->implementation->parser->get().body());
  return body;
}

}
