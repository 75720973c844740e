#include "TcpStream.h"
#include <array>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Hornbeam::Gateway {

/// Large enough to read a typical request at once.
static constexpr std::size_t kReadBufferBytes = 65536;
/// Number of unanswered keep-alive probes after which a connection is considered dead. With one second between probes,
/// a dead connection is detected within the contact time that the rules of the platform require.
static constexpr int kKeepAliveProbes = 2;
static constexpr int kListenBacklog = 511;

std::string_view
ToString(StreamEnd aEnd)
{
  switch (aEnd) {
    case StreamEnd::Closed:
      return "closed";
    case StreamEnd::Reset:
      return "reset";
  }
  VerifyNotReached();
}

static uv_stream_t*
AsStream(uv_tcp_t* aHandle)
{
  return reinterpret_cast<uv_stream_t*>(aHandle);
}

std::optional<sockaddr_in>
ParseAddress(std::string const& aAddress)
{
  auto const colon = aAddress.rfind(':');
  if (colon == std::string::npos || aAddress.size() - colon > 6)
    return std::nullopt;
  int port = 0;
  for (auto const digit : std::string_view(aAddress).substr(colon + 1)) {
    if (digit < '0' || digit > '9')
      return std::nullopt;
    port = port * 10 + (digit - '0');
  }
  sockaddr_in result{};
  if (port == 0 || port > 65535 || uv_ip4_addr(aAddress.substr(0, colon).c_str(), port, &result) != 0)
    return std::nullopt;
  return result;
}

TcpStream::TcpStream()
{
  this->handle.data = this;
  this->connectRequest.data = this;
}

void
TcpStream::ConfigureSocket(StreamTimeouts aTimeouts)
{
  uv_tcp_nodelay(&this->handle, 1);
  auto const probeAfter = std::max<Duration>(1s, aTimeouts.probeAfter);
  uv_tcp_keepalive(&this->handle, 1, unsigned(std::chrono::duration_cast<std::chrono::seconds>(probeAfter).count()));
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t*>(&this->handle), &descriptor) != 0)
    return;
  int const interval = 1;
  int const probes = kKeepAliveProbes;
  auto const unacknowledged = static_cast<unsigned>(Milliseconds(aTimeouts.unacknowledged));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
  setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged, sizeof(unacknowledged));
}

std::shared_ptr<TcpStream>
TcpStream::Connect(uv_loop_t& aLoop,
                   std::string const& aAddress,
                   StreamTimeouts aTimeouts,
                   std::function<void(bool)> aDone)
{
  auto const address = ParseAddress(aAddress);
  if (!address)
    return nullptr;
  std::shared_ptr<TcpStream> stream(new TcpStream);
  if (uv_tcp_init_ex(&aLoop, &stream->handle, AF_INET) != 0)
    return nullptr;
  stream->self = stream;
  stream->ConfigureSocket(aTimeouts);
  stream->onConnected = std::move(aDone);
  auto const connected = [](uv_connect_t* aRequest, int aStatus) {
    auto const stream = static_cast<TcpStream*>(aRequest->data)->shared_from_this();
    auto const done = std::move(stream->onConnected);
    if (stream->closing)
      return;
    stream->refused = aStatus == UV_ECONNREFUSED;
    if (aStatus == 0)
      stream->StartReading();
    RunGuarded("connect", [&] { done(aStatus == 0); });
  };
  int const failure =
    uv_tcp_connect(&stream->connectRequest, &stream->handle, reinterpret_cast<sockaddr const*>(&*address), connected);
  if (failure == 0)
    return stream;
  stream->CloseHandle();
  return nullptr;
}

StreamConnector
TcpConnector(uv_loop_t& aLoop)
{
  return [&aLoop](std::string const& aAddress, StreamTimeouts aTimeouts, std::function<void(bool)> aDone) {
    return TcpStream::Connect(aLoop, aAddress, aTimeouts, std::move(aDone));
  };
}

std::shared_ptr<TcpStream>
TcpStream::Accept(uv_stream_t& aListener, StreamTimeouts aTimeouts)
{
  std::shared_ptr<TcpStream> stream(new TcpStream);
  if (uv_tcp_init(aListener.loop, &stream->handle) != 0)
    return nullptr;
  stream->self = stream;
  if (uv_accept(&aListener, AsStream(&stream->handle)) != 0) {
    stream->CloseHandle();
    return nullptr;
  }
  stream->ConfigureSocket(aTimeouts);
  stream->StartReading();
  return stream;
}

void
TcpStream::SetEvents(StreamEvents aEvents)
{
  this->events = std::make_shared<StreamEvents const>(std::move(aEvents));
}

void
TcpStream::SetBufferSizes(std::size_t aReceive, std::size_t aSend)
{
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t const*>(&this->handle), &descriptor) != 0)
    return;
  int const receive = int(aReceive);
  int const send = int(aSend);
  if (receive > 0)
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive, sizeof(receive));
  if (send > 0)
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &send, sizeof(send));
}

std::string
TcpStream::PeerAddress() const
{
  sockaddr_in address{};
  int length = sizeof(address);
  std::array<char, INET_ADDRSTRLEN> text{};
  if (uv_tcp_getpeername(&this->handle, reinterpret_cast<sockaddr*>(&address), &length) != 0 ||
      uv_ip4_name(&address, text.data(), text.size()) != 0)
    return "";
  return text.data();
}

void
TcpStream::StartReading()
{
  if (this->reading || this->paused || this->closing)
    return;
  auto const allocate = [](uv_handle_t*, std::size_t, uv_buf_t* aBuffer) {
    // One buffer suffices: there is a single loop on one thread, and the bytes are consumed before the next read.
    static std::array<char, kReadBufferBytes> buffer;
    *aBuffer = uv_buf_init(buffer.data(), buffer.size());
  };
  auto const onRead = [](uv_stream_t* aStream, ssize_t aCount, uv_buf_t const* aBuffer) {
    static_cast<TcpStream*>(aStream->data)->OnRead(aCount, aBuffer);
  };
  this->reading = uv_read_start(AsStream(&this->handle), allocate, onRead) == 0;
}

void
TcpStream::OnRead(ssize_t aCount, uv_buf_t const* aBuffer)
{
  auto const protector = this->shared_from_this();
  auto const callbacks = this->events;
  if (aCount == 0 || this->closing || !callbacks)
    return;
  if (aCount > 0) {
    std::string_view const bytes(aBuffer->base, std::size_t(aCount));
    // What follows bytes that could not be handled cannot be handled either.
    if (callbacks->onData && !RunGuarded("read", [&] { callbacks->onData(bytes); }))
      this->ReportEnd(StreamEnd::Reset);
    return;
  }
  this->ReportEnd(aCount == UV_EOF && !this->WasReset() ? StreamEnd::Closed : StreamEnd::Reset);
}

void
TcpStream::ReportEnd(StreamEnd aEnd)
{
  auto const callbacks = this->events;
  if (this->closing || !callbacks)
    return;
  uv_read_stop(AsStream(&this->handle));
  this->reading = false;
  if (callbacks->onEnd && !RunGuarded("end", [&] { callbacks->onEnd(aEnd); }))
    this->Reset();
}

bool
TcpStream::WasReset() const
{
  // The kernel reports a reset only once, to a read or to a write. A peer that ends its side before it has received
  // everything is about to reset the connection, if it has not done so.
  if (this->writeFailed || !this->IsAllAcknowledged())
    return true;
  // After a short read, libuv reports a hang-up as a regular end of stream without reading from the socket again, even
  // if the connection was reset.
  uv_os_fd_t descriptor = -1;
  if (uv_fileno(reinterpret_cast<uv_handle_t const*>(&this->handle), &descriptor) != 0)
    return true;
  char byte = 0;
  if (recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0)
    return true;
  // A reset after the peer's regular end is not reported to reads.
  int failure = 0;
  socklen_t length = sizeof(failure);
  return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &length) == 0 && failure != 0;
}

bool
TcpStream::IsAllAcknowledged() const
{
  uv_os_fd_t descriptor = -1;
  int unacknowledged = 0;
  if (this->Unsent() > 0 || uv_fileno(reinterpret_cast<uv_handle_t const*>(&this->handle), &descriptor) != 0)
    return false;
  return ioctl(descriptor, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0;
}

struct PendingWrite
{
  uv_write_t request{};
  std::shared_ptr<TcpStream> stream;
  std::string bytes;
};

void
TcpStream::Write(std::string aBytes)
{
  if (this->closing || this->closeWhenSent || aBytes.empty())
    return;
  if (this->writesInFlight == 0) {
    auto const buffer = uv_buf_init(aBytes.data(), static_cast<unsigned>(aBytes.size()));
    int const written = uv_try_write(AsStream(&this->handle), &buffer, 1);
    if (written == int(aBytes.size()))
      return;
    this->NoteWriteFailure(written);
    if (written > 0)
      aBytes.erase(0, std::size_t(written));
  }
  auto* const pending = new PendingWrite;
  pending->stream = this->shared_from_this();
  pending->bytes = std::move(aBytes);
  pending->request.data = pending;
  auto const buffer = uv_buf_init(pending->bytes.data(), static_cast<unsigned>(pending->bytes.size()));
  auto const written = [](uv_write_t* aRequest, int aStatus) {
    std::unique_ptr<PendingWrite> const pending(static_cast<PendingWrite*>(aRequest->data));
    pending->stream->OnWritten(aStatus);
  };
  ++this->writesInFlight;
  if (uv_write(&pending->request, AsStream(&this->handle), &buffer, 1, written) != 0) {
    delete pending;
    --this->writesInFlight;
  }
}

void
TcpStream::NoteWriteFailure(int aStatus)
{
  if (aStatus < 0 && aStatus != UV_EAGAIN && aStatus != UV_ECANCELED)
    this->writeFailed = true;
}

void
TcpStream::OnWritten(int aStatus)
{
  this->NoteWriteFailure(aStatus);
  --this->writesInFlight;
  if (this->writesInFlight != 0 || this->closing)
    return;
  if (this->closeWhenSent) {
    this->CloseHandle();
    return;
  }
  // NOTE: A failed write is reported through the read callback.
  auto const callbacks = this->events;
  if (aStatus == 0 && callbacks && callbacks->onDrained && !RunGuarded("drained", [&] { callbacks->onDrained(); }))
    this->ReportEnd(StreamEnd::Reset);
}

std::size_t
TcpStream::Unsent() const
{
  return uv_stream_get_write_queue_size(reinterpret_cast<uv_stream_t const*>(&this->handle));
}

void
TcpStream::PauseReading()
{
  if (this->paused || this->closing)
    return;
  this->paused = true;
  if (this->reading)
    uv_read_stop(AsStream(&this->handle));
  this->reading = false;
}

void
TcpStream::ResumeReading()
{
  if (!this->paused)
    return;
  this->paused = false;
  this->StartReading();
}

void
TcpStream::Close()
{
  this->events.reset();
  if (this->closing)
    return;
  if (this->writesInFlight == 0) {
    this->CloseHandle();
    return;
  }
  this->closeWhenSent = true;
}

void
TcpStream::Reset()
{
  this->events.reset();
  if (this->closing)
    return;
  this->closing = true;
  auto const closed = [](uv_handle_t* aHandle) { static_cast<TcpStream*>(aHandle->data)->self.reset(); };
  if (uv_tcp_close_reset(&this->handle, closed) != 0)
    uv_close(reinterpret_cast<uv_handle_t*>(&this->handle), closed);
}

void
TcpStream::CloseHandle()
{
  this->events.reset();
  if (this->closing)
    return;
  this->closing = true;
  uv_close(reinterpret_cast<uv_handle_t*>(&this->handle),
           [](uv_handle_t* aHandle) { static_cast<TcpStream*>(aHandle->data)->self.reset(); });
}

TcpListener::TcpListener(uv_loop_t& aLoop,
                         StreamTimeouts aTimeouts,
                         std::function<void(std::shared_ptr<TcpStream>)> aAccept)
  : loop(aLoop)
  , timeouts(aTimeouts)
  , accept(std::move(aAccept))
{
}

bool
TcpListener::Open(std::string const& aAddress)
{
  auto const address = ParseAddress(aAddress);
  auto const failure = address ? this->Listen(*address) : UV_EINVAL;
  if (failure == 0)
    return true;
  PART_WARNING("listener") << "event=cannot-listen address=" << aAddress << " reason=\"" << uv_strerror(failure)
                           << "\"";
  this->Close();
  return false;
}

int
TcpListener::Listen(sockaddr_in const& aAddress)
{
  this->handle = new uv_tcp_t;
  if (auto const failure = uv_tcp_init(&this->loop, this->handle); failure != 0) {
    delete std::exchange(this->handle, nullptr);
    return failure;
  }
  this->handle->data = this;
  if (auto const failure = uv_tcp_bind(this->handle, reinterpret_cast<sockaddr const*>(&aAddress), 0); failure != 0)
    return failure;
  auto const onConnection = [](uv_stream_t* aListener, int aStatus) {
    if (aStatus != 0)
      return;
    auto& self = *static_cast<TcpListener*>(aListener->data);
    if (auto stream = TcpStream::Accept(*aListener, self.timeouts))
      RunGuarded("accept", [&] { self.accept(std::move(stream)); });
  };
  return uv_listen(AsStream(this->handle), kListenBacklog, onConnection);
}

void
TcpListener::Close()
{
  if (this->handle == nullptr)
    return;
  uv_close(reinterpret_cast<uv_handle_t*>(this->handle),
           [](uv_handle_t* aHandle) { delete reinterpret_cast<uv_tcp_t*>(aHandle); });
  this->handle = nullptr;
}

}
