#include "HttpMessage.h"
#include <algorithm>
#include <array>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>
#include <cctype>

namespace Hornbeam::Gateway {

namespace http = boost::beast::http;

bool
EqualIgnoringCase(std::string_view aFirst, std::string_view aSecond)
{
  return std::ranges::equal(aFirst, aSecond, [](unsigned char aLeft, unsigned char aRight) {
    return std::tolower(aLeft) == std::tolower(aRight);
  });
}

std::string const*
FindField(HeaderFields const& aFields, std::string_view aName)
{
  auto const found =
    std::ranges::find_if(aFields, [&](auto const& aField) { return EqualIgnoringCase(aField.first, aName); });
  return found == aFields.end() ? nullptr : &found->second;
}

std::string
FieldValue(HeaderFields const& aFields, std::string_view aName)
{
  auto const* const found = FindField(aFields, aName);
  return found == nullptr ? std::string() : *found;
}

bool
IsHopByHop(std::string_view aName, std::string_view aConnection)
{
  // The fields of RFC 9110, section 7.6.1, and those that define the framing of a message.
  static constexpr std::array<std::string_view, 11> kFields{
    "connection",         "keep-alive",          "proxy-connection", "te",    "trailer", "transfer-encoding", "upgrade",
    "proxy-authenticate", "proxy-authorization", "content-length",   "expect"
  };
  if (std::ranges::any_of(kFields, [&](auto aField) { return EqualIgnoringCase(aField, aName); }))
    return true;
  if (aConnection.empty())
    return false;
  http::token_list const named{ boost::beast::string_view(aConnection.data(), aConnection.size()) };
  return std::any_of(named.begin(), named.end(), [&](auto const& aToken) {
    return EqualIgnoringCase(std::string_view(aToken.data(), aToken.size()), aName);
  });
}

bool
CanSerialize(HeaderFields const& aFields)
{
  // Beast stores the length of a field in 16 bits.
  static constexpr std::size_t kMaxFieldBytes = 65000;
  return std::ranges::all_of(
    aFields, [](auto const& aField) { return aField.first.size() + aField.second.size() <= kMaxFieldBytes; });
}

void
ReleaseString(std::string& aString)
{
  std::string().swap(aString);
}

std::size_t
AllocatedBytes(std::string const& aString)
{
  static std::size_t const inlineCapacity = std::string().capacity();
  return aString.capacity() > inlineCapacity ? aString.capacity() + 1 : 0;
}

std::size_t
HeldBytes(RequestMessage const& aRequest)
{
  auto bytes = AllocatedBytes(aRequest.body) + AllocatedBytes(aRequest.target) +
               aRequest.fields.capacity() * sizeof(HeaderFields::value_type);
  for (auto const& [name, value] : aRequest.fields)
    bytes += AllocatedBytes(name) + AllocatedBytes(value);
  return bytes;
}

static void
CopyFields(HeaderFields const& aFrom, http::fields& aTo)
{
  for (auto const& [name, value] : aFrom)
    aTo.insert(name, value);
}

bool
HasBodyFraming(ResponseHead const& aHead)
{
  return FindField(aHead.fields, "Content-Length") != nullptr ||
         FindField(aHead.fields, "Transfer-Encoding") != nullptr;
}

std::string
SerializeRequest(RequestMessage const& aRequest)
{
  http::request_header<> header;
  header.version(11);
  header.method_string(aRequest.method);
  header.target(aRequest.target);
  CopyFields(aRequest.fields, header);
  bool const bodiless = aRequest.body.empty() && (aRequest.method == "GET" || aRequest.method == "HEAD");
  if (!bodiless)
    header.set(http::field::content_length, std::to_string(aRequest.body.size()));
  http::fields::writer const writer(header, 11, header.method());
  return boost::beast::buffers_to_string(writer.get()) + aRequest.body;
}

std::string
SerializeResponseHead(ResponseHead const& aHead, BodyFraming aFraming, std::size_t aLength, ConnectionUse aUse)
{
  http::response_header<> header;
  header.version(11);
  header.result(aHead.status);
  CopyFields(aHead.fields, header);
  if (aFraming == BodyFraming::Chunked)
    header.set(http::field::transfer_encoding, "chunked");
  else
    header.set(http::field::content_length, std::to_string(aLength));
  if (aUse == ConnectionUse::Close)
    header.set(http::field::connection, "close");
  http::fields::writer const writer(header, 11, header.result_int());
  return boost::beast::buffers_to_string(writer.get());
}

std::string
SerializeChunk(std::string_view aChunk)
{
  auto const body = boost::asio::buffer(aChunk.data(), aChunk.size());
  return boost::beast::buffers_to_string(http::make_chunk(body));
}

std::string
SerializeLastChunk()
{
  return boost::beast::buffers_to_string(http::make_chunk_last());
}

}
