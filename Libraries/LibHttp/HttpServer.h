#pragma once

#include "HttpContext.h"
#include <string>

namespace Hornbeam {

struct HttpSession;

/// The way back to one caller. It may be kept; after the caller has gone, sends are ignored.
class HttpResponder
{
public:
  explicit HttpResponder(std::shared_ptr<HttpSession> aSession);

  /// Sends the whole response. At most one response is sent for a request.
  void Respond(HttpResponse aResponse) const;

  /// Begins a response whose body is sent by SendPiece() and ended by EndStream(), which closes the connection.
  void BeginStream(std::string aContentType) const;
  void SendPiece(std::string aPiece) const;
  void EndStream() const;

  /// Is called once when the caller has gone before the response was whole.
  void OnCallerGone(std::function<void()> aAction) const;

private:
  std::shared_ptr<HttpSession> session;
};

using HttpHandler = std::function<void(HttpRequest const&, HttpResponder)>;

/// One listening address on the loop. Bodies above aBodyLimit bytes are answered with 413.
class HttpServer
{
public:
  HttpServer(HttpContext& aContext, std::string aAddress, HttpHandler aHandler, std::size_t aBodyLimit);
  HttpServer(HttpServer const&) = delete;
  HttpServer& operator=(HttpServer const&) = delete;

  /// False when the address could not be bound.
  bool IsListening() const { return this->host != nullptr; }

private:
  static int HandleEvent(lws* aConnection, lws_callback_reasons aReason, void* aUser, void* aInput, size_t aLength);
  int OnRequest(lws* aConnection, void* aUser, std::string aPath);
  int OnBody(HttpSession& aSession, std::string_view aPiece) const;
  void Dispatch(std::shared_ptr<HttpSession> const& aSession);
  void AwaitResponse(std::shared_ptr<HttpSession> const& aSession);
  void ReviewPending();

  std::string vhostName;
  std::string interfaceName;
  lws_protocols protocols[2];
  HttpHandler handler;
  std::size_t bodyLimit;
  lws_vhost* host{ nullptr };
  Clock& clock;
  /// Requests whose response is not whole yet.
  std::vector<std::weak_ptr<HttpSession>> pending;
};

/// An address split into host and port.
struct HostAndPort
{
  std::string host;
  int port{ 0 };
};

/// Splits "127.0.0.1:8080"; empty when it has no port between 1 and 65535.
std::optional<HostAndPort>
SplitAddress(std::string const& aAddress);

}
