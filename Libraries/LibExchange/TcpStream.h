#pragma once

#include <LibCore/LibCore.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <uv.h>

namespace Hornbeam::Gateway {

/// How the other side ended a stream. A reset is never taken for a regular end.
enum class StreamEnd
{
  Closed,
  Reset,
};

/// What the owner of a stream is told. No callback runs after Close() or Reset() by the owner.
struct StreamEvents
{
  std::function<void(std::string_view)> onData;
  std::function<void(StreamEnd)> onEnd;
  /// All written bytes have been handed to the system.
  std::function<void()> onDrained;
};

/// How soon a peer that no longer acknowledges is given up.
struct StreamTimeouts
{
  /// For sent bytes that are not acknowledged (TCP_USER_TIMEOUT).
  Duration unacknowledged{ 2s };
  /// Idle time before keep-alive probes; a silent connection shows no other sign.
  Duration probeAfter{ 1s };
};

/// One TCP connection on the loop.
class TcpStream : public std::enable_shared_from_this<TcpStream>
{
public:
  /// Connects to a numeric address, "10.0.0.1:80". aDone is told whether the connection stands; null on a bad address.
  static std::shared_ptr<TcpStream> Connect(uv_loop_t& aLoop,
                                            std::string const& aAddress,
                                            StreamTimeouts aTimeouts,
                                            std::function<void(bool)> aDone);

  /// Takes the next waiting connection of a listening socket; null when there is none.
  static std::shared_ptr<TcpStream> Accept(uv_stream_t& aListener, StreamTimeouts aTimeouts);

  TcpStream(TcpStream const&) = delete;
  TcpStream& operator=(TcpStream const&) = delete;

  void Listen(StreamEvents aEvents);
  void Write(std::string aBytes);

  /// Bytes that the system has not taken yet.
  std::size_t Unsent() const;

  void PauseReading();
  void ResumeReading();

  /// Sends what was written, then closes.
  void Close();

  /// Closes at once so that the other side sees a reset.
  void Reset();

  bool IsOpen() const { return !this->closing; }

private:
  TcpStream();
  void Prepare(StreamTimeouts aTimeouts);
  void StartReading();
  void Finish();
  void OnWritten(int aStatus);
  void OnRead(ssize_t aCount, uv_buf_t const* aBuffer);
  bool WasReset() const;

  uv_tcp_t handle{};
  uv_connect_t connecting{};
  /// Shared with a callback that is running, which may close the stream.
  std::shared_ptr<StreamEvents const> events;
  std::function<void(bool)> onConnected;
  /// Keeps the object until libuv has closed the handle.
  std::shared_ptr<TcpStream> self;
  std::size_t writesInFlight{ 0 };
  bool reading{ false };
  bool paused{ false };
  bool closing{ false };
  bool closeWhenSent{ false };
};

/// A listening socket; aAccept is given each new connection.
class TcpListener
{
public:
  TcpListener(uv_loop_t& aLoop, StreamTimeouts aTimeouts, std::function<void(std::shared_ptr<TcpStream>)> aAccept);
  TcpListener(TcpListener const&) = delete;
  TcpListener& operator=(TcpListener const&) = delete;

  /// False when the address cannot be bound.
  bool Open(std::string const& aAddress);

  void Close();

private:
  uv_loop_t& loop;
  StreamTimeouts timeouts;
  std::function<void(std::shared_ptr<TcpStream>)> accept;
  uv_tcp_t* handle{ nullptr };
};

/// The socket address of "10.0.0.1:80"; empty when it is no numeric IPv4 address with a port.
std::optional<sockaddr_in>
ParseAddress(std::string const& aAddress);

}
