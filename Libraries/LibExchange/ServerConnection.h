#pragma once

#include "CallerMemory.h"
#include "HttpParsers.h"
#include "TcpStream.h"
#include <set>

namespace Hornbeam::Gateway {

class ServerConnection;

/// Size limits and timeouts of callers' requests. They are re-read for each request, so changes apply to the next one.
struct CallerLimits
{
  MessageLimits message;
  /// From the first byte of a request to its last one.
  Duration headerTimeout{ 3s };
  Duration idleTimeout{ 15s };
};

/// A request from a caller, and the means to respond to it. After the caller has disconnected, all sends are ignored.
class Exchange
{
public:
  Exchange(std::weak_ptr<ServerConnection> aConnection, RequestMessage aRequest, MonotonicTime aReceived);

  RequestMessage const& Request() const { return this->request; }

  /// The earliest time at which the first byte of the request can have arrived; see Clock.
  MonotonicTime Received() const { return this->received; }

  /// Sends a complete response. Exactly one of Respond() and BeginStream() must be called.
  void Respond(ResponseHead const& aHead, std::string_view aBody);

  /// Begins a chunked response. SendChunk() sends its body, and EndStream() ends it.
  void BeginStream(ResponseHead const& aHead);
  void SendChunk(std::string_view aChunk);
  void EndStream();

  /// Reports how many bytes of the response its handler holds back, in place of what it reported before. They count as
  /// memory that the caller holds.
  void HoldBack(std::size_t aBytes);

  /// Resets the connection, so that the caller cannot mistake what was sent for a complete response.
  void Abort();

  /// The number of bytes of the response that the operating system has not accepted yet.
  std::size_t Unsent() const;

  /// Called once if the caller disconnects before the response is complete.
  std::function<void()> onCallerDisconnected;
  /// Called when the operating system has accepted all bytes sent so far.
  std::function<void()> onDrained;

private:
  /// The response to HEAD has no body, whatever its head says.
  bool SendsBody() const { return this->request.method != "HEAD"; }

  std::weak_ptr<ServerConnection> connection;
  RequestMessage request;
  MonotonicTime received;
};

using ExchangeHandler = std::function<void(std::shared_ptr<Exchange>)>;

/// The state that all connections of one listening address share.
struct ServerContext
{
  Clock& clock;
  CallerLimits limits;
  ExchangeHandler handler;
  /// ConnectionUse::Close while the process is draining: each response then announces that the connection closes.
  ConnectionUse use{ ConnectionUse::KeepAlive };
  /// Set when the process is about to end: a connection is closed as soon as no request is in progress on it.
  bool closing{ false };
  std::set<ServerConnection*> connections;
  /// The accounts of all callers of the process; null if they are not limited.
  CallerMemory* memory{ nullptr };
  CallerGroup group{ CallerGroup::Callers };
  /// Called for each request that is rejected because of its framing, its size or the header timeout.
  std::function<void(unsigned aStatus, std::string_view aReason)> onRejected;
};

/// A connection from a caller. It serves one request at a time; pipelined requests wait.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  static void Serve(ServerContext& aContext, std::shared_ptr<TcpStream> aStream);

  /// Closes the connection if no request is in progress on it, none has been read, and all responses have been sent.
  void CloseIfIdle();

  /// Closes the connection without a response to what was received. A response that was sent is still delivered.
  void Reset();

  /// Carries out what CallerBudget decided; the connection holds less afterwards.
  void GiveWay(RoomAction aAction);
  /// Closes the connection, on which no request is in progress, for the sake of another one.
  void CloseForRoom();
  /// Reports what the connection holds now.
  void UpdateUsage();

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
    /// The last response was sent. Further bytes are discarded, so that closing the socket does not send a reset.
    Lingering,
    Ended,
  };

  void OnData(std::string_view aBytes);
  void OnEnd();
  /// Tells the handler of the request in progress, if there is one, that its caller is gone.
  void ReportDisconnect();
  CallerUsage Usage() const;
  void Send(std::string aBytes);
  /// Updates the usage and makes room for it; returns false if this request was refused for that.
  bool FitsBudget();
  void BeginResponding();
  void OnDrained();
  void ParseReceived();
  void BeginRequest();
  void ArmTimer(Duration aDelay);
  void OnTimer();
  void Reject(unsigned aStatus, std::string_view aReason);
  /// Sends a complete response, discards the request and closes the connection.
  void RespondAndClose(ResponseHead const& aHead, std::string_view aReason);
  void FinishResponse();
  /// The connection use to announce in the response that begins now.
  ConnectionUse ResponseConnectionUse();
  void End();

  ServerContext& context;
  std::shared_ptr<TcpStream> stream;
  std::unique_ptr<RequestParser> parser;
  std::shared_ptr<Exchange> exchange;
  /// Keeps the connection alive while its stream is open.
  std::shared_ptr<ServerConnection> self;
  std::string received;
  MonotonicTime firstByte{};
  TimerId timer{ 0 };
  Phase phase{ Phase::Idle };
  CallerId account{ 0 };
  std::uint64_t bytesReceived{ 0 };
  std::uint64_t bytesWritten{ 0 };
  std::uint64_t requestsCompleted{ 0 };
  /// What the complete request in progress occupies, and what its copies and its handling do.
  std::size_t exchangeBytes{ 0 };
  std::size_t copyBytes{ 0 };
  /// Bytes of the response that its handler holds back.
  std::size_t heldBackBytes{ 0 };
  bool closeAfter{ false };
  bool continueSent{ false };
  /// Input after the request in progress is discarded.
  bool inputDropped{ false };
};

/// An HTTP server on one listening address. It must live as long as the process.
class HttpListener
{
public:
  HttpListener(uv_loop_t& aLoop, Clock& aClock, ExchangeHandler aHandler);
  HttpListener(HttpListener const&) = delete;
  HttpListener& operator=(HttpListener const&) = delete;

  bool Open(std::string const& aAddress) { return this->listener.Open(aAddress); }
  /// Stops listening; connections stay open. The listener can be opened again.
  void Close() { this->listener.Close(); }
  ServerContext& Context() { return this->context; }

  /// Accepts no more connections and closes those that are idle; the others are closed after their response.
  void BeginClosing();

  /// Closes all connections immediately; nothing is read any more, and what is not sent yet is discarded.
  void ResetConnections();

private:
  ServerContext context;
  TcpListener listener;
};

}
