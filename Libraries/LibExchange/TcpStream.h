#pragma once

#include <LibCore/LibCore.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <uv.h>

namespace Hornbeam::Gateway {

/// How the peer ended a stream. A reset is never reported as a regular close.
enum class StreamEnd
{
  /// The peer has closed its side after its system had received all that was written.
  Closed,
  Reset,
};

std::string_view
ToString(StreamEnd aEnd);

/// The callbacks of a stream. None of them runs after the owner has called Close() or Reset().
struct StreamEvents
{
  std::function<void(std::string_view)> onData;
  std::function<void(StreamEnd)> onEnd;
  /// Called when the operating system has accepted all written bytes.
  std::function<void()> onDrained;
};

/// Timeouts for detecting a dead peer.
struct StreamTimeouts
{
  /// Maximum time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
  Duration unacknowledged{ 2s };
  /// Idle time before keep-alive probes are sent. Nothing else reveals a dead peer on an idle connection.
  Duration probeAfter{ 1s };
};

/// A TCP connection on the event loop.
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
  /// Connects to a numeric address such as "10.0.0.1:80". aDone receives whether the connection was established.
  /// Returns null if the address is invalid or the connection attempt cannot be started.
  static std::shared_ptr<TcpStream> Connect(uv_loop_t& aLoop,
                                            std::string const& aAddress,
                                            StreamTimeouts aTimeouts,
                                            std::function<void(bool)> aDone);

  /// Accepts the next pending connection of a listening socket; null if there is none.
  static std::shared_ptr<TcpStream> Accept(uv_stream_t& aListener, StreamTimeouts aTimeouts);

  TcpStream(TcpStream const&) = delete;
  TcpStream& operator=(TcpStream const&) = delete;

  void SetEvents(StreamEvents aEvents);

  /// Bounds the kernel's buffers of the connection, in bytes; the kernel may double them for its own overhead. Zero
  /// leaves a buffer as it is.
  void SetBufferSizes(std::size_t aReceive, std::size_t aSend);

  /// The numeric address of the peer without its port; empty if it is unknown.
  std::string PeerAddress() const;

  void Write(std::string aBytes);

  /// The number of written bytes that the operating system has not accepted yet.
  std::size_t Unsent() const;

  void PauseReading();
  void ResumeReading();

  /// Sends all written bytes, then closes the connection.
  void Close();

  /// Closes the connection immediately with a TCP reset.
  void Reset();

  bool IsOpen() const { return !this->closing; }

  /// Whether the system of the peer refused the connection, as nothing listens at the address.
  bool WasRefused() const { return this->refused; }

private:
  TcpStream();
  void ConfigureSocket(StreamTimeouts aTimeouts);
  void StartReading();
  void CloseHandle();
  void OnWritten(int aStatus);
  void NoteWriteFailure(int aStatus);
  void OnRead(ssize_t aCount, uv_buf_t const* aBuffer);
  /// Stops reading and tells the owner that nothing follows.
  void ReportEnd(StreamEnd aEnd);
  bool WasReset() const;
  /// Whether the system of the peer has acknowledged all that was written, as far as is known.
  bool IsAllAcknowledged() const;

  uv_tcp_t handle{};
  uv_connect_t connectRequest{};
  /// Shared with the running callback, which may close the stream.
  std::shared_ptr<StreamEvents const> events;
  std::function<void(bool)> onConnected;
  /// Keeps the object alive until libuv has closed the handle.
  std::shared_ptr<TcpStream> self;
  std::size_t writesInFlight{ 0 };
  bool reading{ false };
  bool paused{ false };
  bool closing{ false };
  bool closeWhenSent{ false };
  bool writeFailed{ false };
  bool refused{ false };
};

/// Opens a connection to a numeric address, as TcpStream::Connect() does. Tests replace it to disturb connections.
using StreamConnector = std::function<
  std::shared_ptr<TcpStream>(std::string const& aAddress, StreamTimeouts aTimeouts, std::function<void(bool)> aDone)>;

/// Returns a connector that opens TCP connections on an event loop.
StreamConnector
TcpConnector(uv_loop_t& aLoop);

/// A listening socket. aAccept receives each new connection.
class TcpListener
{
public:
  TcpListener(uv_loop_t& aLoop, StreamTimeouts aTimeouts, std::function<void(std::shared_ptr<TcpStream>)> aAccept);
  TcpListener(TcpListener const&) = delete;
  TcpListener& operator=(TcpListener const&) = delete;

  /// Returns false and logs the reason if the address is invalid or cannot be bound. It can be opened again then.
  bool Open(std::string const& aAddress);

  void Close();

private:
  /// Returns an error code of libuv, or zero.
  int Listen(sockaddr_in const& aAddress);

  uv_loop_t& loop;
  StreamTimeouts timeouts;
  std::function<void(std::shared_ptr<TcpStream>)> accept;
  uv_tcp_t* handle{ nullptr };
};

/// Parses an address such as "10.0.0.1:80". Empty if it is not a numeric IPv4 address with a port.
std::optional<sockaddr_in>
ParseAddress(std::string const& aAddress);

}
