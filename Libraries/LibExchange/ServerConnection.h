#pragma once

#include "HttpParsers.h"
#include "TcpStream.h"

namespace Hornbeam::Gateway {

class ServerConnection;

/// What callers may send and how long they may take. Read anew for each request.
struct CallerLimits
{
  MessageLimits message;
  /// From the first byte of a request to its end.
  Duration headerTimeout{ 3s };
  Duration idleTimeout{ 15s };
};

/// One request of a caller and the way back to it. After the caller has gone, sends are ignored.
class Exchange
{
public:
  Exchange(std::weak_ptr<ServerConnection> aConnection, RequestMessage aRequest, MonotonicTime aReceived);

  RequestMessage const& Request() const { return this->request; }

  /// When the first byte of the request was read.
  MonotonicTime Received() const { return this->received; }

  /// Sends a whole response. Exactly one of Respond() and BeginStream() is used.
  void Respond(ResponseHead const& aHead, std::string_view aBody);

  /// Begins a response whose body follows in pieces and is ended by EndStream().
  void BeginStream(ResponseHead const& aHead);
  void SendPiece(std::string_view aPiece);
  void EndStream();

  /// Ends the connection so that what was sent cannot be taken for a whole response.
  void BreakOff();

  /// Bytes of the response that the caller's connection has not taken.
  std::size_t Unsent() const;

  /// Is called once when the caller has gone before the response was whole.
  std::function<void()> onCallerGone;
  /// All bytes so far have gone out.
  std::function<void()> onDrained;

private:
  std::weak_ptr<ServerConnection> connection;
  RequestMessage request;
  MonotonicTime received;
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

/// What the connections of one listening address share.
struct ServerContext
{
  Clock& clock;
  CallerLimits limits;
  ExchangeHandler handler;
  /// Set while the process is draining: each response then says that the connection ends.
  ConnectionUse use{ ConnectionUse::KeepAlive };
  std::size_t open{ 0 };
  /// Requests that ended with an error of framing, size or time.
  std::function<void(unsigned aStatus, std::string_view aReason)> onRejected;
};

/// A caller's connection. It serves one request at a time; what comes after waits.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  static void Serve(ServerContext& aContext, std::shared_ptr<TcpStream> aStream);

  ServerConnection(ServerContext& aContext, std::shared_ptr<TcpStream> aStream);
  ServerConnection(ServerConnection const&) = delete;
  ServerConnection& operator=(ServerConnection const&) = delete;
  ~ServerConnection();

private:
  friend class Exchange;

  enum class Phase
  {
    Idle,
    Receiving,
    Responding,
    /// An error was sent; what still comes is thrown away so that the close does not turn into a reset.
    Lingering,
    Ended,
  };

  void OnData(std::string_view aBytes);
  void OnEnd();
  void Advance();
  void BeginRequest();
  void ArmTimer(Duration aDelay);
  void OnTimer();
  void Reject(unsigned aStatus, std::string_view aReason);
  void FinishResponse();
  /// What the response that begins now says of the connection.
  ConnectionUse AnnounceUse();
  void End();

  ServerContext& context;
  std::shared_ptr<TcpStream> stream;
  std::unique_ptr<RequestParser> parser;
  std::shared_ptr<Exchange> exchange;
  /// Keeps the connection while its stream is open.
  std::shared_ptr<ServerConnection> self;
  std::string received;
  MonotonicTime firstByte{};
  TimerId timer{ 0 };
  Phase phase{ Phase::Idle };
  bool closeAfter{ false };
  bool continueSent{ false };
};

/// Listens on an address and serves its connections. Lives as long as the process.
class HttpEntry
{
public:
  HttpEntry(uv_loop_t& aLoop, Clock& aClock, ExchangeHandler aHandler);
  HttpEntry(HttpEntry const&) = delete;
  HttpEntry& operator=(HttpEntry const&) = delete;

  bool Open(std::string const& aAddress) { return this->listener.Open(aAddress); }
  ServerContext& Context() { return this->context; }

private:
  ServerContext context;
  TcpListener listener;
};

}
