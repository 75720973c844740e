#include "HttpClient.h"
#include "HttpServer.h"
#include <array>
#include <cstring>

namespace Hornbeam {

/// The state of one outgoing request. It is kept alive until libwebsockets has destroyed its connection.
struct HttpExchange
{
  HttpCall call;
  HttpCallEvents events;
  HttpCallResult result;
  Clock* clock{ nullptr };
  EventLoop* loop{ nullptr };
  lws* connection{ nullptr };
  TimerId timer{ 0 };
  bool headersSent{ false };
  bool bodySent{ false };
  bool ended{ false };
  std::shared_ptr<HttpExchange> self;
};

static constexpr std::size_t kReadChunkSize = 16UL * 1024;

static void
Finish(HttpExchange& aExchange, HttpCallEnd aEnd, std::string aDetail)
{
  if (aExchange.ended)
    return;
  aExchange.ended = true;
  aExchange.clock->Cancel(aExchange.timer);
  aExchange.result.end = aEnd;
  aExchange.result.detail = std::move(aDetail);
  if (aExchange.events.onEnd)
    aExchange.events.onEnd(std::move(aExchange.result));
  aExchange.events = {};
}

static HttpCallEnd
EndForLostConnection(HttpExchange const& aExchange)
{
  return aExchange.headersSent ? HttpCallEnd::Broken : HttpCallEnd::NotSent;
}

/// Closes the connection of a request, if it has one, in the next loop iteration.
static void
CloseConnectionOf(HttpExchange& aExchange)
{
  if (aExchange.connection == nullptr)
    return;
  CloseConnectionAsync(aExchange.connection);
  aExchange.loop->Wake();
}

HttpCallHandle::HttpCallHandle(std::weak_ptr<HttpExchange> aExchange)
  : exchange(std::move(aExchange))
{
}

void
HttpCallHandle::Abandon() const
{
  auto const live = this->exchange.lock();
  if (!live || live->ended)
    return;
  live->ended = true;
  live->events = {};
  live->clock->Cancel(live->timer);
  CloseConnectionOf(*live);
}

HttpClient::HttpClient(HttpContext& aContext)
  : context(aContext)
{
}

static char const*
MethodName(HttpMethod aMethod)
{
  switch (aMethod) {
    case HttpMethod::Get:
      return "GET";
    case HttpMethod::Post:
      return "POST";
    case HttpMethod::Put:
      return "PUT";
    case HttpMethod::Delete:
      return "DELETE";
  }
  VerifyNotReached();
}

HttpCallHandle
HttpClient::Send(HttpCall aCall, HttpCallEvents aEvents)
{
  auto exchange = std::make_shared<HttpExchange>();
  exchange->call = std::move(aCall);
  exchange->events = std::move(aEvents);
  exchange->loop = &this->context.Loop();
  exchange->clock = &exchange->loop->RuntimeClock();
  auto const hostAndPort = SplitAddress(exchange->call.address);
  std::weak_ptr<HttpExchange> const weak = exchange;
  if (!hostAndPort) {
    exchange->timer = exchange->clock->Schedule(
      Duration::zero(), [exchange] { Finish(*exchange, HttpCallEnd::NotSent, "the address has no port"); });
    return HttpCallHandle(weak);
  }
  exchange->timer = exchange->clock->Schedule(exchange->call.timeout, [weak] {
    auto const live = weak.lock();
    if (!live)
      return;
    auto const end = live->headersSent ? HttpCallEnd::TimedOut : HttpCallEnd::NotSent;
    CloseConnectionOf(*live);
    Finish(*live, end, "no response in time");
  });

  lws_client_connect_info info{};
  info.context = this->context.Handle();
  info.vhost = this->context.ClientHost();
  info.address = hostAndPort->host.c_str();
  info.host = exchange->call.address.c_str();
  info.origin = info.host;
  info.port = hostAndPort->port;
  info.path = exchange->call.path.c_str();
  info.method = MethodName(exchange->call.method);
  info.protocol = "http-client";
  info.local_protocol_name = "http-client";
  info.userdata = exchange.get();
  info.pwsi = &exchange->connection;
  exchange->self = exchange;
  if (lws_client_connect_via_info(&info) == nullptr) {
    exchange->connection = nullptr;
    exchange->self = nullptr;
    if (!exchange->ended)
      exchange->clock->Schedule(Duration::zero(),
                                [exchange] { Finish(*exchange, HttpCallEnd::NotSent, "the connection failed"); });
  }
  this->context.Loop().Wake();
  return HttpCallHandle(weak);
}

static bool
AppendHeader(lws* aConnection,
             lws_token_indexes aToken,
             std::string const& aValue,
             unsigned char** aPosition,
             unsigned char* aEnd)
{
  if (aValue.empty())
    return true;
  auto const* const value = reinterpret_cast<unsigned char const*>(aValue.data());
  return lws_add_http_header_by_token(aConnection, aToken, value, static_cast<int>(aValue.size()), aPosition, aEnd) ==
         0;
}

static int
AppendHeaders(lws* aConnection, HttpExchange& aExchange, void* aInput, size_t aLength)
{
  if (aExchange.ended)
    return -1;
  if (aExchange.events.mayStillSend && !aExchange.events.mayStillSend()) {
    Finish(aExchange, HttpCallEnd::NotSent, "permission to send was withdrawn before the first byte");
    return -1;
  }
  auto** const position = static_cast<unsigned char**>(aInput);
  auto* const end = *position + aLength;
  auto const& call = aExchange.call;
  bool const hasBody = call.method == HttpMethod::Post || call.method == HttpMethod::Put;
  if (!AppendHeader(aConnection, WSI_TOKEN_HTTP_AUTHORIZATION, call.authorization, position, end) ||
      !AppendHeader(aConnection, WSI_TOKEN_HTTP_IF_MATCH, call.ifMatch, position, end))
    return -1;
  if (hasBody) {
    if (!AppendHeader(aConnection, WSI_TOKEN_HTTP_CONTENT_TYPE, call.contentType, position, end) ||
        !AppendHeader(aConnection, WSI_TOKEN_HTTP_CONTENT_LENGTH, std::to_string(call.body.size()), position, end))
      return -1;
    lws_client_http_body_pending(aConnection, 1);
    lws_callback_on_writable(aConnection);
  }
  aExchange.headersSent = true;
  return 0;
}

static int
WriteCallBody(lws* aConnection, HttpExchange& aExchange)
{
  if (aExchange.bodySent)
    return 0;
  aExchange.bodySent = true;
  std::string buffer(LWS_PRE, '\0');
  buffer += aExchange.call.body;
  auto* const start = reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE;
  lws_client_http_body_pending(aConnection, 0);
  return lws_write(aConnection, start, aExchange.call.body.size(), LWS_WRITE_HTTP_FINAL) < 0 ? -1 : 0;
}

static void
ReadResponseHeaders(lws* aConnection, HttpExchange& aExchange)
{
  aExchange.result.status = static_cast<int>(lws_http_client_http_response(aConnection));
  std::array<char, 128> tag{};
  if (lws_hdr_copy(aConnection, tag.data(), static_cast<int>(tag.size()), WSI_TOKEN_HTTP_ETAG) > 0)
    aExchange.result.entityTag = tag.data();
}

static int
ReadAvailable(lws* aConnection)
{
  std::array<char, LWS_PRE + kReadChunkSize> buffer{};
  char* start = buffer.data() + LWS_PRE;
  int length = static_cast<int>(kReadChunkSize);
  return lws_http_client_read(aConnection, &start, &length) < 0 ? -1 : 0;
}

static int
OnBodyChunk(HttpExchange& aExchange, std::string_view aChunk)
{
  if (aExchange.ended)
    return -1;
  if (aExchange.events.onData) {
    aExchange.events.onData(aChunk);
    return aExchange.ended ? -1 : 0;
  }
  aExchange.result.body += aChunk;
  return 0;
}

int
HttpClient::HandleEvent(lws* aConnection, lws_callback_reasons aReason, void* aUser, void* aInput, size_t aLength)
{
  auto* const raw = static_cast<HttpExchange*>(aUser);
  if (raw == nullptr)
    return lws_callback_http_dummy(aConnection, aReason, aUser, aInput, aLength);
  // Keeps the exchange alive during this call, even if its owner releases it in a callback.
  auto const exchange = raw->self;
  if (!exchange)
    return lws_callback_http_dummy(aConnection, aReason, aUser, aInput, aLength);
  switch (aReason) {
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      Finish(
        *exchange, EndForLostConnection(*exchange), aInput != nullptr ? static_cast<char*>(aInput) : "no connection");
      return 0;
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER:
      return AppendHeaders(aConnection, *exchange, aInput, aLength);
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return WriteCallBody(aConnection, *exchange);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      ReadResponseHeaders(aConnection, *exchange);
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP:
      return ReadAvailable(aConnection);
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      return OnBodyChunk(*exchange, std::string_view(static_cast<char*>(aInput), aLength));
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
      Finish(*exchange, HttpCallEnd::Complete, "");
      return -1;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
      Finish(*exchange, EndForLostConnection(*exchange), "the connection closed");
      return 0;
    case LWS_CALLBACK_WSI_DESTROY:
      Finish(*exchange, EndForLostConnection(*exchange), "the connection closed");
      exchange->connection = nullptr;
      exchange->self = nullptr;
      return 0;
    default:
      return lws_callback_http_dummy(aConnection, aReason, aUser, aInput, aLength);
  }
}

}
