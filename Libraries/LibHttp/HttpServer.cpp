#include "HttpServer.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <deque>
#include <sys/socket.h>
#include <utility>

namespace Hornbeam {

/// The state of one request on a connection.
struct HttpSession
{
  lws* connection{ nullptr };
  HttpRequest request;
  bool oversized{ false };
  /// The body did not fit beside those of other requests.
  bool crowdedOut{ false };
  bool dispatched{ false };
  bool responded{ false };
  bool streaming{ false };
  bool headersSent{ false };
  bool bodyWritten{ false };
  /// Whether the connection is closed after the response; decided when its headers are written.
  bool closesConnection{ false };
  bool streamEnded{ false };
  bool readingPaused{ false };
  HttpResponse response;
  std::deque<std::string> chunks;
  std::function<void()> onCallerDisconnected;
  std::shared_ptr<HttpSessionMap> sessions;
  std::shared_ptr<std::size_t> bodyBytes;

  explicit HttpSession(std::shared_ptr<std::size_t> aBodyBytes)
    : bodyBytes(std::move(aBodyBytes))
  {
  }
  HttpSession(HttpSession const&) = delete;
  HttpSession& operator=(HttpSession const&) = delete;
  /// A handler may keep the request for as long as it keeps the responder.
  ~HttpSession() { *this->bodyBytes -= this->request.body.size(); }

  /// Frees the body; clear() would keep its memory.
  void DropBody()
  {
    *this->bodyBytes -= this->request.body.size();
    std::string().swap(this->request.body);
  }
};

/// The per-connection data that libwebsockets stores. The session is replaced for each request.
struct ConnectionSlot
{
  std::shared_ptr<HttpSession>* session;
};

static constexpr std::size_t kHeaderBufferSize = 2048;
static constexpr Duration kPendingCheckInterval = 200ms;

HttpResponder::HttpResponder(std::shared_ptr<HttpSession> aSession)
  : session(std::move(aSession))
{
}

/// Requests the writable callback and resumes reading from the connection.
static void
StartResponse(HttpSession& aSession)
{
  if (std::exchange(aSession.readingPaused, false))
    lws_rx_flow_control(aSession.connection, 1);
  lws_callback_on_writable(aSession.connection);
}

void
HttpResponder::Respond(HttpResponse aResponse) const
{
  auto& session = *this->session;
  if (session.connection == nullptr || session.responded)
    return;
  session.responded = true;
  session.response = std::move(aResponse);
  StartResponse(session);
}

void
HttpResponder::BeginStream(std::string aContentType) const
{
  auto& session = *this->session;
  if (session.connection == nullptr || session.responded)
    return;
  session.responded = true;
  session.streaming = true;
  session.response.contentType = std::move(aContentType);
  StartResponse(session);
}

void
HttpResponder::SendChunk(std::string aChunk) const
{
  auto& session = *this->session;
  if (session.connection == nullptr || !session.streaming)
    return;
  session.chunks.push_back(std::move(aChunk));
  lws_callback_on_writable(session.connection);
}

void
HttpResponder::EndStream() const
{
  auto& session = *this->session;
  if (session.connection == nullptr)
    return;
  session.streamEnded = true;
  lws_callback_on_writable(session.connection);
}

void
HttpResponder::OnCallerDisconnected(std::function<void()> aAction) const
{
  this->session->onCallerDisconnected = std::move(aAction);
}

std::optional<HostAndPort>
SplitAddress(std::string const& aAddress)
{
  auto const colon = aAddress.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return std::nullopt;
  HostAndPort parts{ aAddress.substr(0, colon), 0 };
  auto const* const begin = aAddress.data() + colon + 1;
  auto const* const end = aAddress.data() + aAddress.size();
  auto const [stop, error] = std::from_chars(begin, end, parts.port);
  if (error != std::errc() || stop != end || parts.port < 1 || parts.port > 65535)
    return std::nullopt;
  return parts;
}

HttpServer::HttpServer(HttpContext& aContext, std::string aAddress, HttpHandler aHandler, std::size_t aBodyLimit)
  : vhostName("server-" + aAddress)
  , protocols{ { "http", HandleEvent, sizeof(ConnectionSlot), 0, 0, this, 0 },
               { nullptr, nullptr, 0, 0, 0, nullptr, 0 } }
  , handler(std::move(aHandler))
  , bodyLimit(aBodyLimit)
  , clock(aContext.Loop().RuntimeClock())
  , sessions(std::make_shared<HttpSessionMap>())
  , bodyBytes(std::make_shared<std::size_t>(0))
{
  auto const parts = SplitAddress(aAddress);
  if (!parts)
    return;
  this->interfaceName = parts->host;
  lws_context_creation_info info{};
  info.port = parts->port;
  info.iface = this->interfaceName.c_str();
  info.protocols = this->protocols;
  info.vhost_name = this->vhostName.c_str();
  info.keepalive_timeout = 60;
  this->host = lws_create_vhost(aContext.Handle(), &info);
  this->CloseDisconnected();
}

static bool
HasPeerClosed(lws* aConnection)
{
  char byte = 0;
  auto const received = recv(lws_get_socket_fd(aConnection), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void
HttpServer::TrackPending(std::shared_ptr<HttpSession> const& aSession)
{
  if (aSession->connection == nullptr || aSession->responded)
    return;
  aSession->readingPaused = true;
  lws_rx_flow_control(aSession->connection, 0);
  this->pending.push_back(aSession);
}

/// Closes the connections of callers that have disconnected. libwebsockets does not read from a connection whose
/// response has not begun, and an unread end of stream would make its loop spin at full speed. Reading is therefore
/// paused while a response is pending, and the end of the stream is polled here.
void
HttpServer::CloseDisconnected()
{
  auto const checked = std::exchange(this->pending, {});
  for (auto const& weak : checked) {
    auto const session = weak.lock();
    if (!session || session->connection == nullptr || session->responded)
      continue;
    if (HasPeerClosed(session->connection))
      CloseConnectionAsync(session->connection);
    else
      this->pending.push_back(weak);
  }
  this->clock.Schedule(kPendingCheckInterval, [this] { this->CloseDisconnected(); });
}

static std::string
CopyHeader(lws* aConnection, lws_token_indexes aToken)
{
  int const length = lws_hdr_total_length(aConnection, aToken);
  if (length <= 0)
    return {};
  std::string value(static_cast<std::size_t>(length) + 1, '\0');
  int const copied = lws_hdr_copy(aConnection, value.data(), length + 1, aToken);
  value.resize(copied > 0 ? static_cast<std::size_t>(copied) : 0);
  return value;
}

static std::map<std::string, std::string>
CopyQuery(lws* aConnection)
{
  std::map<std::string, std::string> query;
  std::array<char, 256> buffer{};
  for (int index = 0;; ++index) {
    int const length = lws_hdr_copy_fragment(aConnection, buffer.data(), buffer.size(), WSI_TOKEN_HTTP_URI_ARGS, index);
    if (length <= 0)
      return query;
    std::string_view const fragment(buffer.data(), static_cast<std::size_t>(length));
    auto const equals = fragment.find('=');
    if (equals != std::string_view::npos)
      query.emplace(fragment.substr(0, equals), fragment.substr(equals + 1));
  }
}

static std::optional<HttpMethod>
MethodOf(lws* aConnection)
{
  if (lws_hdr_total_length(aConnection, WSI_TOKEN_GET_URI) > 0)
    return HttpMethod::Get;
  if (lws_hdr_total_length(aConnection, WSI_TOKEN_POST_URI) > 0)
    return HttpMethod::Post;
  if (lws_hdr_total_length(aConnection, WSI_TOKEN_PUT_URI) > 0)
    return HttpMethod::Put;
  if (lws_hdr_total_length(aConnection, WSI_TOKEN_DELETE_URI) > 0)
    return HttpMethod::Delete;
  return std::nullopt;
}

static int
WriteHeaders(lws* aConnection, HttpSession const& aSession)
{
  std::array<unsigned char, LWS_PRE + kHeaderBufferSize> buffer{};
  unsigned char* const start = buffer.data() + LWS_PRE;
  unsigned char* position = start;
  unsigned char* const end = buffer.data() + buffer.size() - 1;
  auto const& response = aSession.response;
  auto const length = aSession.streaming ? LWS_ILLEGAL_HTTP_CONTENT_LEN : response.body.size();
  if (lws_add_http_common_headers(
        aConnection, static_cast<unsigned>(response.status), response.contentType.c_str(), length, &position, end) != 0)
    return -1;
  if (!response.entityTag.empty()) {
    auto const* const value = reinterpret_cast<unsigned char const*>(response.entityTag.data());
    auto const size = static_cast<int>(response.entityTag.size());
    if (lws_add_http_header_by_token(aConnection, WSI_TOKEN_HTTP_ETAG, value, size, &position, end) != 0)
      return -1;
  }
  if (aSession.closesConnection && !aSession.streaming) {
    constexpr std::string_view kClose = "close";
    auto const* const value = reinterpret_cast<unsigned char const*>(kClose.data());
    if (lws_add_http_header_by_token(aConnection, WSI_TOKEN_CONNECTION, value, int(kClose.size()), &position, end) != 0)
      return -1;
  }
  return lws_finalize_write_http_header(aConnection, start, &position, end);
}

static int
WriteBody(lws* aConnection, std::string const& aBody, lws_write_protocol aKind)
{
  std::string buffer(LWS_PRE, '\0');
  buffer += aBody;
  auto* const start = reinterpret_cast<unsigned char*>(buffer.data()) + LWS_PRE;
  return lws_write(aConnection, start, aBody.size(), aKind) < 0 ? -1 : 0;
}

/// Writes the pending part of the response. A negative result makes libwebsockets close the connection.
static int
WritePending(lws* aConnection, HttpSession& aSession)
{
  if (!aSession.responded)
    return 0;
  if (!aSession.headersSent) {
    aSession.headersSent = true;
    if (WriteHeaders(aConnection, aSession) != 0)
      return -1;
    lws_callback_on_writable(aConnection);
    return 0;
  }
  if (!aSession.streaming && aSession.bodyWritten) {
    // libwebsockets has written what it had buffered of the body.
    aSession.connection = nullptr;
    return -1;
  }
  if (!aSession.streaming) {
    aSession.bodyWritten = true;
    if (WriteBody(aConnection, aSession.response.body, LWS_WRITE_HTTP_FINAL) != 0)
      return -1;
    if (aSession.closesConnection) {
      lws_callback_on_writable(aConnection);
      return 0;
    }
    aSession.connection = nullptr;
    return lws_http_transaction_completed(aConnection) != 0 ? -1 : 0;
  }
  if (!aSession.chunks.empty()) {
    std::string joined;
    for (auto const& chunk : aSession.chunks)
      joined += chunk;
    aSession.chunks.clear();
    if (WriteBody(aConnection, joined, LWS_WRITE_HTTP) != 0)
      return -1;
    lws_callback_on_writable(aConnection);
    return 0;
  }
  if (!aSession.streamEnded)
    return 0;
  aSession.connection = nullptr;
  return -1;
}

static void
EndSession(lws* aConnection, ConnectionSlot* aSlot)
{
  if (aSlot == nullptr || aSlot->session == nullptr)
    return;
  auto const session = *aSlot->session;
  delete aSlot->session;
  aSlot->session = nullptr;
  session->sessions->erase(aConnection);
  bool const disconnected = session->connection != nullptr;
  session->connection = nullptr;
  if (disconnected && session->onCallerDisconnected)
    session->onCallerDisconnected();
}

int
HttpServer::HandleEvent(lws* aConnection, lws_callback_reasons aReason, void* aUser, void* aInput, size_t aLength)
{
  auto const* const protocol = lws_get_protocol(aConnection);
  if (protocol == nullptr || protocol->user == nullptr)
    return lws_callback_http_dummy(aConnection, aReason, aUser, aInput, aLength);
  auto* const server = static_cast<HttpServer*>(protocol->user);
  auto* const slot = static_cast<ConnectionSlot*>(aUser);
  switch (aReason) {
    case LWS_CALLBACK_HTTP:
      return server->OnRequest(aConnection, aUser, std::string(static_cast<char*>(aInput), aLength));
    case LWS_CALLBACK_HTTP_BODY:
      if (slot == nullptr || slot->session == nullptr)
        return -1;
      return server->OnBodyChunk(**slot->session, std::string_view(static_cast<char*>(aInput), aLength));
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      if (slot == nullptr || slot->session == nullptr)
        return -1;
      server->Dispatch(*slot->session);
      return 0;
    case LWS_CALLBACK_HTTP_WRITEABLE:
      if (slot == nullptr || slot->session == nullptr)
        return 0;
      return server->OnWritable(aConnection, **slot->session);
    case LWS_CALLBACK_SERVER_NEW_CLIENT_INSTANTIATED:
      server->lastArrivalAt = server->clock.Now();
      return lws_callback_http_dummy(aConnection, aReason, aUser, aInput, aLength);
    case LWS_CALLBACK_CLOSED_HTTP:
    case LWS_CALLBACK_HTTP_DROP_PROTOCOL:
      EndSession(aConnection, slot);
      return 0;
    default:
      return lws_callback_http_dummy(aConnection, aReason, aUser, aInput, aLength);
  }
}

int
HttpServer::OnRequest(lws* aConnection, void* aUser, std::string aPath)
{
  auto* const slot = static_cast<ConnectionSlot*>(aUser);
  EndSession(aConnection, slot);
  auto session = std::make_shared<HttpSession>(this->bodyBytes);
  session->connection = aConnection;
  slot->session = new std::shared_ptr<HttpSession>(session);
  session->sessions = this->sessions;
  this->sessions->emplace(aConnection, session.get());
  this->lastArrivalAt = this->clock.Now();
  auto const method = MethodOf(aConnection);
  if (!method)
    return -1;
  session->request.method = *method;
  session->request.path = std::move(aPath);
  session->request.query = CopyQuery(aConnection);
  session->request.headers.accept = CopyHeader(aConnection, WSI_TOKEN_HTTP_ACCEPT);
  session->request.headers.authorization = CopyHeader(aConnection, WSI_TOKEN_HTTP_AUTHORIZATION);
  session->request.headers.ifMatch = CopyHeader(aConnection, WSI_TOKEN_HTTP_IF_MATCH);
  auto const length = CopyHeader(aConnection, WSI_TOKEN_HTTP_CONTENT_LENGTH);
  bool const hasBody = *method != HttpMethod::Get && !length.empty() && length != "0";
  if (!hasBody)
    this->Dispatch(session);
  return 0;
}

int
HttpServer::OnBodyChunk(HttpSession& aSession, std::string_view aChunk)
{
  this->lastArrivalAt = this->clock.Now();
  aSession.oversized = aSession.oversized || aSession.request.body.size() + aChunk.size() > this->bodyLimit;
  aSession.crowdedOut = aSession.crowdedOut || *this->bodyBytes + aChunk.size() > kMaxBodiesHeld * this->bodyLimit;
  if (aSession.oversized || aSession.crowdedOut) {
    aSession.DropBody();
    return 0;
  }
  aSession.request.body += aChunk;
  *this->bodyBytes += aChunk.size();
  return 0;
}

int
HttpServer::OnWritable(lws* aConnection, HttpSession& aSession)
{
  if (!aSession.headersSent)
    aSession.closesConnection = !this->keepsConnections;
  return WritePending(aConnection, aSession);
}

std::size_t
HttpServer::OpenExchanges() const
{
  return static_cast<std::size_t>(std::ranges::count_if(*this->sessions, [](auto const& aEntry) {
    return aEntry.second->connection != nullptr || lws_partial_buffered(aEntry.first) != 0;
  }));
}

bool
HttpServer::IsQuiet(Duration aSilence) const
{
  return this->clock.Now() - this->lastArrivalAt >= aSilence && this->OpenExchanges() == 0;
}

void
HttpServer::Dispatch(std::shared_ptr<HttpSession> const& aSession)
{
  if (aSession->dispatched)
    return;
  aSession->dispatched = true;
  lws_set_timeout(aSession->connection, NO_PENDING_TIMEOUT, 0);
  HttpResponder const responder(aSession);
  if (aSession->oversized) {
    auto const detail = "the request body is larger than " + std::to_string(this->bodyLimit) + " bytes";
    return this->RespondNotRun(responder, 413, "request too large", detail);
  }
  if (aSession->crowdedOut)
    return this->RespondNotRun(responder, 503, "no memory for request", "the bodies of other requests are held");
  this->handler(aSession->request, responder);
  this->TrackPending(aSession);
}

void
HttpServer::RespondNotRun(HttpResponder const& aResponder,
                          int aStatus,
                          std::string_view aTitle,
                          std::string_view aDetail)
{
  std::string body = R"({"type":"about:blank","title":")";
  body.append(aTitle).append(R"(","status":)").append(std::to_string(aStatus));
  body.append(R"(,"run":"not-run","detail":")").append(aDetail).append("\"}");
  aResponder.Respond({ aStatus, "application/problem+json", std::move(body), "" });
}

}
