#pragma once

#include "HttpParsers.h"
#include "TcpStream.h"
#include <LibCore/LibCore.h>
#include <map>

namespace Hornbeam::Gateway {

/// The answer of a front that was asked for a connection to an endpoint.
enum class TunnelAnswer
{
  NeedMore,
  /// The endpoint's bytes follow in chunks. The last chunk says that the endpoint has closed its side regularly.
  EstablishedInChunks,
  /// The endpoint's bytes follow as they are. Fronts of older builds answer so; how their connection ends says nothing
  /// about how the endpoint's bytes ended.
  EstablishedPlain,
  /// The front does not reach the endpoint, although it reaches others.
  EndpointUnreached,
  Refused,
};

/// Encodes the request for a connection to an address, and for chunks: CONNECT of HTTP/1.1 (RFC 9110, 9.3.6).
std::string
EncodeTunnelRequest(std::string const& aAddress);

/// Reads the answer from all bytes received so far. Bytes that follow it are not expected, and make it a refusal.
TunnelAnswer
ReadTunnelAnswer(std::string const& aBytes);

/// Decodes the endpoint's bytes that follow TunnelAnswer::EstablishedInChunks.
class TunnelDecoder
{
public:
  TunnelDecoder();

  /// Returns ParseState::Done after the last chunk: the endpoint has closed its side regularly.
  ParseState Feed(std::string_view aBytes);

  /// Returns the endpoint's bytes that were received since the last call.
  std::string TakeBytes() { return this->parser.TakeBody(); }

private:
  ResponseParser parser;
  std::string received;
};

/// Whether this front may connect to an address for another front.
enum class TunnelPermission
{
  Granted,
  /// The address is not that of an endpoint.
  NotAnEndpoint,
  /// This front seems to have lost its own links.
  LinkLost,
};

/// What ended an established tunnel.
enum class TunnelEnd
{
  EndpointClosed,
  EndpointReset,
  /// The other front closed or reset its side.
  FrontEnded,
  /// This front stops.
  Stopped,
};

std::string_view
ToString(TunnelEnd aEnd);

/// What the owner of a tunnel server decides and learns.
struct TunnelEvents
{
  std::function<TunnelPermission(std::string const& aAddress)> permit;
  std::function<void(std::string const& aAddress, bool aConnected)> onConnection;
  /// aAnswerBytes is the number of bytes that the endpoint sent. Called once for each established tunnel.
  std::function<void(std::string const& aAddress, TunnelEnd aEnd, std::uint64_t aAnswerBytes)> onEnd;
};

class Tunnel;

/// Connects other fronts to endpoints that they do not reach themselves. Bytes pass unchanged. A front that asks for
/// chunks gets the endpoint's bytes in chunks, as only they tell a regular end of these bytes from an end of this
/// process.
class TunnelServer
{
public:
  TunnelServer(uv_loop_t& aLoop, Clock& aClock, StreamConnector aConnector, TunnelEvents aEvents);
  TunnelServer(TunnelServer const&) = delete;
  TunnelServer& operator=(TunnelServer const&) = delete;
  ~TunnelServer();

  /// Returns false if the address cannot be bound.
  bool Open(std::string const& aAddress) { return this->listener.Open(aAddress); }

  /// Stops listening; tunnels stay open.
  void Close() { this->listener.Close(); }

  /// Accepts no more tunnels and closes those in which nothing is in progress. To be called repeatedly until all are
  /// closed.
  void ContinueStop();

  /// Whether a request or its answer is passing through any tunnel.
  bool IsBusy() const;
  std::size_t Count() const { return this->tunnels.size(); }
  /// The number of tunnels that were established in all.
  std::uint64_t Established() const { return this->established; }

private:
  friend class Tunnel;

  void Accept(std::shared_ptr<TcpStream> aStream);

  Clock& clock;
  StreamConnector connector;
  TunnelEvents events;
  TcpListener listener;
  std::map<std::uint64_t, std::shared_ptr<Tunnel>> tunnels;
  std::uint64_t lastTunnel{ 0 };
  std::uint64_t established{ 0 };
  bool stopping{ false };
};

}
