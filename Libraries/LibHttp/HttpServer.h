#pragma once

#include "HttpContext.h"
#include <map>
#include <string>

namespace Hornbeam {

struct HttpSession;

/// The current or last request of each connection.
using HttpSessionMap = std::map<lws*, HttpSession*>;

/// Sends the response to one request. It may be stored; after the caller has disconnected, all sends are ignored.
class HttpResponder
{
public:
  explicit HttpResponder(std::shared_ptr<HttpSession> aSession);

  /// Sends a complete response. Each request gets at most one response; further ones are ignored.
  void Respond(HttpResponse aResponse) const;

  /// Begins a streamed response. SendChunk() sends its body, and EndStream() ends it by closing the connection.
  void BeginStream(std::string aContentType) const;
  void SendChunk(std::string aChunk) const;
  void EndStream() const;

  /// Sets the action to run, once, when the caller disconnects before the response is complete.
  void OnCallerDisconnected(std::function<void()> aAction) const;

private:
  std::shared_ptr<HttpSession> session;
};

/// The number of bodies of the greatest size that a server holds together.
inline constexpr std::size_t kMaxBodiesHeld = 64;

using HttpHandler = std::function<void(HttpRequest const&, HttpResponder)>;

/// An HTTP server on one listening address. Requests with a body of more than aBodyLimit bytes get a response of status
/// 413. Those whose bodies together would exceed kMaxBodiesHeld times that get one of status 503.
class HttpServer
{
public:
  HttpServer(HttpContext& aContext, std::string aAddress, HttpHandler aHandler, std::size_t aBodyLimit);
  HttpServer(HttpServer const&) = delete;
  HttpServer& operator=(HttpServer const&) = delete;

  /// False if the address could not be bound.
  bool IsListening() const { return this->host != nullptr; }

  /// Closes every connection after its next response, so that callers go elsewhere.
  void CloseAfterResponses() { this->keepsConnections = false; }

  /// Requests that have begun to arrive and whose responses are not yet written completely.
  std::size_t OpenExchanges() const;

  /// True when there are no open exchanges, and no caller has connected or sent anything for aSilence.
  bool IsQuiet(Duration aSilence) const;

private:
  static int HandleEvent(lws* aConnection, lws_callback_reasons aReason, void* aUser, void* aInput, size_t aLength);
  int OnRequest(lws* aConnection, void* aUser, std::string aPath);
  int OnBodyChunk(HttpSession& aSession, std::string_view aChunk);
  int OnWritable(lws* aConnection, HttpSession& aSession);
  void Dispatch(std::shared_ptr<HttpSession> const& aSession);
  void RespondNotRun(HttpResponder const& aResponder, int aStatus, std::string_view aTitle, std::string_view aDetail);
  void TrackPending(std::shared_ptr<HttpSession> const& aSession);
  void CloseDisconnected();

  std::string vhostName;
  std::string interfaceName;
  lws_protocols protocols[2];
  HttpHandler handler;
  std::size_t bodyLimit;
  lws_vhost* host{ nullptr };
  Clock& clock;
  bool keepsConnections{ true };
  MonotonicTime lastArrivalAt{};
  /// Connections can be closed after this server is destroyed, so the sessions share it.
  std::shared_ptr<HttpSessionMap> sessions;
  /// The bytes of the bodies of all sessions, which share it for the same reason.
  std::shared_ptr<std::size_t> bodyBytes;
  /// Requests whose response has not begun.
  std::vector<std::weak_ptr<HttpSession>> pending;
};

struct HostAndPort
{
  std::string host;
  int port{ 0 };
};

/// Splits an address such as "127.0.0.1:8080". Empty if it has no host or no port from 1 to 65535.
std::optional<HostAndPort>
SplitAddress(std::string const& aAddress);

}
