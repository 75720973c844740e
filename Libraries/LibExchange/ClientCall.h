#pragma once

#include "HttpParsers.h"
#include "Tunnel.h"
#include <deque>
#include <map>

namespace Hornbeam::Gateway {

/// How an outgoing call ended.
enum class CallEnd
{
  /// The complete response was received.
  Complete,
  /// No byte of the request was sent.
  NotSent,
  /// The request may have reached the endpoint, but the response is missing, truncated or not valid HTTP.
  Broken,
  /// The timeout of the call expired after the request was sent.
  TimedOut,
};

std::string_view
ToString(CallEnd aEnd);

/// The callbacks of a call. None of them runs after Abandon().
struct CallEvents
{
  std::function<void(ResponseHead const&)> onHead;
  std::function<void(std::string)> onBody;
  std::function<void(CallEnd)> onEnd;
};

struct OutgoingCall
{
  std::string address;
  RequestMessage request;
  /// Timeout of the whole call, including the connect.
  Duration timeout{ 5s };
  /// How much longer a response may take of which bytes keep arriving.
  Duration transferTime{ 0 };
  Duration connectTimeout{ 500ms };
  /// A response with a longer body is broken.
  std::uint64_t maxBodyBytes{ kMaxResponseBodyBytes };
};

class ConnectionPool;
class ClientConnection;

/// Refers to a call. Abandoning the call closes its connection.
class CallHandle
{
public:
  CallHandle() = default;
  CallHandle(std::weak_ptr<ClientConnection> aConnection, std::uint64_t aCall)
    : connection(std::move(aConnection))
    , call(aCall)
  {
  }

  void Abandon() const;

  /// Whether the call's connection carried calls before it.
  bool UsesKeptConnection() const { return this->call > 1; }

  /// The address of the tunnels through which the call in flight goes; empty for a direct connection, and once the call
  /// has ended.
  std::string TunnelAddress() const;

  /// Pauses or resumes reading the response, to propagate back-pressure from a slow caller.
  void PauseReading() const;
  void ResumeReading() const;

private:
  std::shared_ptr<ClientConnection> Find() const;

  std::weak_ptr<ClientConnection> connection;
  /// The number of the call on its connection, from 1.
  std::uint64_t call{ 0 };
};

enum class Reuse
{
  Kept,
  /// A new connection, for calls that must not fail because the peer has just closed an idle one.
  Fresh,
};

/// What opening a connection, direct or through a tunnel, showed.
enum class ConnectionOutcome
{
  Established,
  /// The endpoint, or the front that was asked for a tunnel, was not reached.
  NotConnected,
  /// The front that was asked for a tunnel refused it.
  TunnelRefused,
  /// The front that was asked for a tunnel does not reach the endpoint.
  EndpointUnreached,
};

std::string_view
ToString(ConnectionOutcome aOutcome);

/// Decides how a pool reaches an address, and learns what came of it.
struct ConnectionPaths
{
  /// Returns the address of the tunnels through which to connect; empty for a direct connection.
  std::function<std::string(std::string const& aAddress)> choose;
  std::function<void(std::string const& aAddress, std::string const& aTunnel, ConnectionOutcome aOutcome)> onConnection;
  /// Called when bytes arrived over a direct connection.
  std::function<void(std::string const& aAddress)> onBytes;
  /// Called when the other side ended a tunnel during a call.
  std::function<void(std::string const& aAddress, std::string const& aTunnel, StreamEnd aEnd)> onTunnelEnd;
};

struct PoolUsage
{
  std::uint64_t calls{ 0 };
  std::uint64_t connectionsMade{ 0 };
  std::uint64_t failures{ 0 };
};

/// Sends outgoing calls over pooled connections. A connection carries one call at a time. It returns to the pool only
/// after a complete response without trailing bytes that ended after the whole request was sent.
class ConnectionPool
{
public:
  ConnectionPool(uv_loop_t& aLoop, Clock& aClock)
    : ConnectionPool(TcpConnector(aLoop), aClock)
  {
  }
  ConnectionPool(StreamConnector aConnector, Clock& aClock);
  ConnectionPool(ConnectionPool const&) = delete;
  ConnectionPool& operator=(ConnectionPool const&) = delete;

  /// Without paths, all connections are direct.
  void SetPaths(ConnectionPaths aPaths) { this->paths = std::move(aPaths); }

  CallHandle Send(OutgoingCall aCall, CallEvents aEvents, Reuse aReuse = Reuse::Kept);

  /// Opens a connection without a call, on the paths that a call would take, and keeps it as an idle one. aDone runs
  /// exactly once, later. It receives false if a connection was refused and no other path led to the endpoint, so that
  /// nothing seems to listen at the address.
  void CheckListening(std::string aAddress, Duration aConnectTimeout, std::function<void(bool)> aDone);

  /// Closes the idle connections to an address, for example after its endpoint was removed.
  void CloseIdleConnections(std::string const& aAddress);

  /// Whether there is an idle connection on the path that would be chosen now.
  bool HasIdle(std::string const& aAddress) const;
  PoolUsage const& Usage() const { return this->usage; }

private:
  friend class ClientConnection;

  std::string ChooseTunnel(std::string const& aAddress) const;
  void AddIdle(std::shared_ptr<ClientConnection> aConnection, Duration aIdleTime);
  void CloseIdle(ClientConnection* aConnection);

  StreamConnector connector;
  Clock& clock;
  ConnectionPaths paths;
  PoolUsage usage;
  /// By address and tunnel.
  std::map<std::pair<std::string, std::string>, std::deque<std::shared_ptr<ClientConnection>>> idle;
};

/// A response with its whole body. Status, fields and body are only set if the call ended as Complete.
struct BufferedResponse
{
  CallEnd end{ CallEnd::NotSent };
  unsigned status{ 0 };
  HeaderFields fields{};
  std::string body;
};

/// Sends a call and buffers its response. aDone runs exactly once.
void
SendBuffered(ConnectionPool& aPool,
             OutgoingCall aCall,
             std::function<void(BufferedResponse)> aDone,
             Reuse aReuse = Reuse::Kept);

}
