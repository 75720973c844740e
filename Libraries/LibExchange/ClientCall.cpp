#include "ClientCall.h"
#include <algorithm>
#include <charconv>

namespace Hornbeam::Gateway {

/// Idle timeout of connections whose endpoint does not announce one in a Keep-Alive field. Endpoints may close idle
/// connections at any time.
static constexpr Duration kDefaultIdleTimeout = 4s;
/// An idle connection is closed this long before the endpoint would close it, so that a request does not cross the
/// close on the network. Covers a round trip between data centres and a late timer.
static constexpr Duration kIdleMargin = 700ms;
static constexpr Duration kMaxIdleTimeout = 30s;
/// Bounds what the kernel holds of a response while reading is paused for a slow caller: unread bytes count for the
/// process. At the latency between data centres it does not slow a response down.
static constexpr std::size_t kReceiveBufferBytes = 131072;

/// A response of which nothing arrives for this long does not arrive any more.
static constexpr Duration kMaxArrivalPause = 300ms;
static constexpr Duration kArrivalCheckInterval = 50ms;

/// A direct connection and two tunnels, or three tunnels.
static constexpr unsigned kMaxPaths = 3;

std::string_view
ToString(CallEnd aEnd)
{
  switch (aEnd) {
    case CallEnd::Complete:
      return "complete";
    case CallEnd::NotSent:
      return "not-sent";
    case CallEnd::Broken:
      return "broken";
    case CallEnd::TimedOut:
      return "timed-out";
  }
  VerifyNotReached();
}

std::string_view
ToString(ConnectionOutcome aOutcome)
{
  switch (aOutcome) {
    case ConnectionOutcome::Established:
      return "established";
    case ConnectionOutcome::NotConnected:
      return "not-connected";
    case ConnectionOutcome::TunnelRefused:
      return "refused";
    case ConnectionOutcome::EndpointUnreached:
      return "endpoint-unreached";
  }
  VerifyNotReached();
}

/// A connection to an endpoint, which carries one call at a time or is idle in the pool.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  ClientConnection(ConnectionPool& aPool, std::string aAddress)
    : pool(aPool)
    , address(std::move(aAddress))
  {
  }
  ClientConnection(ClientConnection const&) = delete;
  ClientConnection& operator=(ClientConnection const&) = delete;
  ~ClientConnection() { this->pool.clock.Cancel(this->timer); }

  std::pair<std::string, std::string> Path() const { return { this->address, this->tunnel }; }
  bool IsOpen() const { return this->stream && this->stream->IsOpen(); }

  void Connect(OutgoingCall aCall, CallEvents aEvents)
  {
    this->Begin(std::move(aCall), std::move(aEvents));
    this->OpenPath();
  }

  void CheckListening(Duration aConnectTimeout, std::function<void(bool)> aDone)
  {
    this->self = this->shared_from_this();
    this->connectTimeout = aConnectTimeout;
    this->onChecked = std::move(aDone);
    this->OpenPath();
  }

  void Reuse(OutgoingCall aCall, CallEvents aEvents)
  {
    this->Begin(std::move(aCall), std::move(aEvents));
    this->SendRequest();
  }

  /// Starts the idle timeout. An idle connection is closed when it expires, or when the peer closes it or sends data.
  void StartIdleTimer(Duration aTime)
  {
    std::weak_ptr<ClientConnection> const weak = this->weak_from_this();
    this->timer = this->pool.clock.Schedule(aTime, [weak] {
      if (auto const connection = weak.lock())
        connection->pool.CloseIdle(connection.get());
    });
  }

  void Abandon()
  {
    this->events.reset();
    this->busy = false;
    this->CloseWithReset();
  }

  void CloseWithReset()
  {
    this->pool.clock.Cancel(this->timer);
    this->pool.clock.Cancel(this->connectTimer);
    if (this->stream)
      this->stream->Reset();
    this->self.reset();
  }

  std::shared_ptr<TcpStream> const& Stream() const { return this->stream; }

  /// The number of the call in flight; zero while idle.
  std::uint64_t CurrentCall() const { return this->busy ? this->callCount : 0; }
  std::uint64_t LastCall() const { return this->callCount; }

private:
  /// Opens the connection on the path that the pool chooses now.
  void OpenPath()
  {
    ++this->pathsTried;
    this->tunnel = this->pool.ChooseTunnel(this->address);
    this->tunnelAnswer.clear();
    this->tunnelDecoder.reset();
    std::weak_ptr<ClientConnection> const weak = this->weak_from_this();
    StreamTimeouts timeouts;
    timeouts.unacknowledged = std::max<Duration>(this->connectTimeout, timeouts.unacknowledged);
    auto const onConnected = [weak](bool aConnected) {
      if (auto const connection = weak.lock())
        connection->OnConnected(aConnected);
    };
    this->stream = this->pool.connector(this->tunnel.empty() ? this->address : this->tunnel, timeouts, onConnected);
    if (!this->stream) {
      this->pool.clock.Schedule(Duration::zero(), [weak] {
        if (auto const connection = weak.lock())
          connection->OnPathFailed(ConnectionOutcome::NotConnected);
      });
      return;
    }
    this->stream->SetBufferSizes(kReceiveBufferBytes, 0);
    this->SetStreamEvents();
    this->connectTimer = this->pool.clock.Schedule(this->connectTimeout, [weak] {
      auto const connection = weak.lock();
      if (connection && !connection->connected)
        connection->OnPathFailed(ConnectionOutcome::NotConnected);
    });
  }

  void OnEstablished()
  {
    this->pool.clock.Cancel(this->connectTimer);
    this->connected = true;
    this->ReportPath(ConnectionOutcome::Established);
    if (this->busy)
      return this->SendRequest();
    if (auto const checked = std::exchange(this->onChecked, nullptr)) {
      this->pool.AddIdle(std::move(this->self), kDefaultIdleTimeout);
      checked(true);
    }
  }

  /// No byte of the request has been sent, so another path may be tried.
  void OnPathFailed(ConnectionOutcome aOutcome)
  {
    auto const protector = this->shared_from_this();
    this->pool.clock.Cancel(this->connectTimer);
    if (this->stream) {
      this->refused = this->refused || this->stream->WasRefused();
      this->stream->Reset();
    }
    this->ReportPath(aOutcome);
    if (!this->busy && !this->onChecked)
      return;
    // What another front does not reach either is not tried again for this call.
    auto const next = this->pool.ChooseTunnel(this->address);
    bool const isOther = !next.empty() && next != this->tunnel;
    if (isOther && this->pathsTried < kMaxPaths && aOutcome != ConnectionOutcome::EndpointUnreached)
      return this->OpenPath();
    if (auto const checked = std::exchange(this->onChecked, nullptr)) {
      this->self.reset();
      return checked(!this->refused);
    }
    this->EndCall(CallEnd::NotSent);
  }

  void ReportPath(ConnectionOutcome aOutcome)
  {
    if (this->pool.paths.onConnection)
      this->pool.paths.onConnection(this->address, this->tunnel, aOutcome);
  }

  void OnTunnelData(std::string_view aBytes)
  {
    this->tunnelAnswer += aBytes;
    switch (ReadTunnelAnswer(this->tunnelAnswer)) {
      case TunnelAnswer::NeedMore:
        return;
      case TunnelAnswer::EstablishedInChunks:
        this->tunnelDecoder.emplace();
        return this->OnEstablished();
      case TunnelAnswer::EstablishedPlain:
        return this->OnEstablished();
      case TunnelAnswer::EndpointUnreached:
        return this->OnPathFailed(ConnectionOutcome::EndpointUnreached);
      case TunnelAnswer::Refused:
        return this->OnPathFailed(ConnectionOutcome::TunnelRefused);
    }
  }

  void Begin(OutgoingCall aCall, CallEvents aEvents)
  {
    this->self = this->shared_from_this();
    this->busy = true;
    ++this->callCount;
    this->events = std::make_shared<CallEvents const>(std::move(aEvents));
    this->connectTimeout = aCall.connectTimeout;
    auto const method = aCall.request.method == "HEAD" ? ResponseTo::Head : ResponseTo::OtherMethod;
    this->parser = std::make_unique<ResponseParser>(method, aCall.maxBodyBytes);
    this->headDelivered = false;
    this->requestBytes = SerializeRequest(aCall.request);
    this->pool.clock.Cancel(this->timer);
    this->lastBytesAt.reset();
    this->ScheduleTimeout(aCall.timeout, this->pool.clock.Now() + aCall.timeout + aCall.transferTime);
  }

  void ScheduleTimeout(Duration aDelay, MonotonicTime aLimit)
  {
    std::weak_ptr<ClientConnection> const weak = this->weak_from_this();
    this->timer = this->pool.clock.Schedule(aDelay, [weak, aLimit] {
      if (auto const connection = weak.lock())
        connection->OnTimeout(aLimit);
    });
  }

  void OnTimeout(MonotonicTime aLimit)
  {
    auto const now = this->pool.clock.Now();
    bool const isReceiving = this->lastBytesAt && now - *this->lastBytesAt <= kMaxArrivalPause;
    if (isReceiving && now < aLimit)
      this->ScheduleTimeout(std::min<Duration>(kArrivalCheckInterval, aLimit - now), aLimit);
    else
      this->EndCall(this->requestSent ? CallEnd::TimedOut : CallEnd::NotSent);
  }

  void SetStreamEvents()
  {
    std::weak_ptr<ClientConnection> const weak = this->weak_from_this();
    StreamEvents streamEvents;
    streamEvents.onData = [weak](std::string_view aBytes) {
      if (auto const connection = weak.lock())
        connection->OnData(aBytes);
    };
    streamEvents.onEnd = [weak](StreamEnd aEnd) {
      if (auto const connection = weak.lock())
        connection->OnStreamEnd(aEnd);
    };
    this->stream->SetEvents(std::move(streamEvents));
  }

  void OnConnected(bool aConnected)
  {
    auto const protector = this->shared_from_this();
    if (!aConnected)
      return this->OnPathFailed(ConnectionOutcome::NotConnected);
    if (this->tunnel.empty())
      return this->OnEstablished();
    this->stream->Write(EncodeTunnelRequest(this->address));
  }

  void SendRequest()
  {
    this->requestSent = true;
    this->stream->Write(std::move(this->requestBytes));
  }

  void OnData(std::string_view aBytes)
  {
    auto const protector = this->shared_from_this();
    if (!this->connected)
      return this->OnTunnelData(aBytes);
    if (this->tunnelDecoder)
      return this->OnTunnelBytes(aBytes);
    if (this->tunnel.empty() && this->pool.paths.onBytes)
      this->pool.paths.onBytes(this->address);
    this->OnEndpointBytes(aBytes);
  }

  /// Handles bytes that arrive over a tunnel in chunks.
  void OnTunnelBytes(std::string_view aBytes)
  {
    auto const state = this->tunnelDecoder->Feed(aBytes);
    if (auto const bytes = this->tunnelDecoder->TakeBytes(); !bytes.empty())
      this->OnEndpointBytes(bytes);
    if (state == ParseState::Done && this->IsOpen())
      this->OnEndpointEnd(StreamEnd::Closed);
    else if (state != ParseState::NeedMore && this->IsOpen())
      this->OnEndpointEnd(StreamEnd::Reset);
  }

  void OnEndpointBytes(std::string_view aBytes)
  {
    if (!this->busy) {
      // Data without a request cannot be attributed to any call.
      this->pool.CloseIdle(this);
      return;
    }
    this->received += aBytes;
    this->lastBytesAt = this->pool.clock.Now();
    auto const state = this->parser->Feed(this->received);
    if (state != ParseState::NeedMore && state != ParseState::Done)
      return this->EndCall(CallEnd::Broken);
    this->DeliverResponse();
    if (this->busy && state == ParseState::Done)
      this->OnResponseComplete();
  }

  void DeliverResponse()
  {
    auto const callbacks = this->events;
    if (!this->parser->HeadComplete() || !callbacks)
      return;
    if (!this->headDelivered) {
      this->headDelivered = true;
      if (callbacks->onHead)
        callbacks->onHead(this->parser->Head());
    }
    if (!this->busy)
      return;
    if (auto body = this->parser->TakeBody(); !body.empty() && callbacks->onBody)
      callbacks->onBody(std::move(body));
  }

  void OnResponseComplete()
  {
    // The connection cannot be reused if the response arrived before the whole request was sent, or with trailing
    // bytes.
    bool const usable = !this->parser->WantsClose() && this->received.empty() && this->stream->Unsent() == 0;
    auto const idleTime = this->IdleTimeout();
    if (!usable || idleTime <= Duration::zero())
      return this->EndCall(CallEnd::Complete);
    auto const callbacks = std::move(this->events);
    this->busy = false;
    this->requestSent = false;
    this->parser.reset();
    this->pool.clock.Cancel(this->timer);
    auto const protector = std::move(this->self);
    this->pool.AddIdle(protector, idleTime);
    if (callbacks && callbacks->onEnd)
      callbacks->onEnd(CallEnd::Complete);
  }

  Duration IdleTimeout() const
  {
    auto const head = this->parser->Head();
    auto const* const stated = FindField(head.fields, "Keep-Alive");
    if (stated == nullptr)
      return kDefaultIdleTimeout;
    auto const position = stated->find("timeout=");
    if (position == std::string::npos)
      return kDefaultIdleTimeout;
    long seconds = 0;
    std::from_chars(stated->data() + position + 8, stated->data() + stated->size(), seconds);
    return std::min<Duration>(std::chrono::seconds(seconds), kMaxIdleTimeout) - kIdleMargin;
  }

  void OnStreamEnd(StreamEnd aEnd)
  {
    auto const protector = this->shared_from_this();
    if (!this->connected)
      return this->OnPathFailed(ConnectionOutcome::NotConnected);
    // A connection that leads through another front may end with that front, or because of it.
    this->OnEndpointEnd(this->tunnel.empty() ? aEnd : StreamEnd::Reset);
  }

  /// Handles the end of the endpoint's bytes.
  void OnEndpointEnd(StreamEnd aEnd)
  {
    if (!this->busy) {
      this->pool.CloseIdle(this);
      return;
    }
    if (!this->tunnel.empty() && this->pool.paths.onTunnelEnd)
      this->pool.paths.onTunnelEnd(this->address, this->tunnel, aEnd);
    bool const complete = aEnd == StreamEnd::Closed && this->parser->FeedEnd() == ParseState::Done;
    this->EndCall(complete ? CallEnd::Complete : CallEnd::Broken);
  }

  void EndCall(CallEnd aEnd)
  {
    if (!this->busy)
      return;
    auto const protector = this->shared_from_this();
    auto const callbacks = std::move(this->events);
    this->busy = false;
    if (aEnd != CallEnd::Complete)
      ++this->pool.usage.failures;
    this->CloseWithReset();
    if (callbacks && callbacks->onEnd)
      callbacks->onEnd(aEnd);
  }

  ConnectionPool& pool;
  std::string address;
  /// The tunnels through which the connection goes; empty for a direct one.
  std::string tunnel;
  std::string tunnelAnswer;
  /// Only for a tunnel that passes bytes in chunks.
  std::optional<TunnelDecoder> tunnelDecoder;
  unsigned pathsTried{ 0 };
  std::shared_ptr<TcpStream> stream;
  std::unique_ptr<ResponseParser> parser;
  /// Shared with the running callback, which may abandon the call.
  std::shared_ptr<CallEvents const> events;
  std::shared_ptr<ClientConnection> self;
  std::string requestBytes;
  std::string received;
  std::uint64_t callCount{ 0 };
  Duration connectTimeout{};
  /// Set while the connection is opened only to check that the endpoint listens.
  std::function<void(bool)> onChecked;
  bool refused{ false };
  TimerId timer{ 0 };
  /// When bytes of the response last arrived.
  std::optional<MonotonicTime> lastBytesAt;
  TimerId connectTimer{ 0 };
  bool busy{ false };
  bool connected{ false };
  bool requestSent{ false };
  bool headDelivered{ false };
};

std::shared_ptr<ClientConnection>
CallHandle::Find() const
{
  auto const held = this->connection.lock();
  return held && held->CurrentCall() == this->call ? held : nullptr;
}

void
CallHandle::Abandon() const
{
  if (auto const held = this->Find())
    held->Abandon();
}

std::string
CallHandle::TunnelAddress() const
{
  auto const held = this->Find();
  return held ? held->Path().second : "";
}

void
CallHandle::PauseReading() const
{
  if (auto const held = this->Find(); held && held->Stream())
    held->Stream()->PauseReading();
}

void
CallHandle::ResumeReading() const
{
  if (auto const held = this->Find(); held && held->Stream())
    held->Stream()->ResumeReading();
}

ConnectionPool::ConnectionPool(StreamConnector aConnector, Clock& aClock)
  : connector(std::move(aConnector))
  , clock(aClock)
{
}

CallHandle
ConnectionPool::Send(OutgoingCall aCall, CallEvents aEvents, Reuse aReuse)
{
  ++this->usage.calls;
  auto const found = this->idle.find({ aCall.address, this->ChooseTunnel(aCall.address) });
  if (aReuse == Reuse::Kept && found != this->idle.end() && !found->second.empty()) {
    // The most recently used connection is the least likely to be closed by the endpoint.
    auto const kept = std::move(found->second.back());
    found->second.pop_back();
    kept->Reuse(std::move(aCall), std::move(aEvents));
    return { kept, kept->LastCall() };
  }
  ++this->usage.connectionsMade;
  auto const connection = std::make_shared<ClientConnection>(*this, aCall.address);
  connection->Connect(std::move(aCall), std::move(aEvents));
  return { connection, connection->LastCall() };
}

void
ConnectionPool::CheckListening(std::string aAddress, Duration aConnectTimeout, std::function<void(bool)> aDone)
{
  ++this->usage.connectionsMade;
  auto const connection = std::make_shared<ClientConnection>(*this, std::move(aAddress));
  connection->CheckListening(aConnectTimeout, std::move(aDone));
}

bool
ConnectionPool::HasIdle(std::string const& aAddress) const
{
  auto const found = this->idle.find({ aAddress, this->ChooseTunnel(aAddress) });
  return found != this->idle.end() && !found->second.empty();
}

std::string
ConnectionPool::ChooseTunnel(std::string const& aAddress) const
{
  return this->paths.choose ? this->paths.choose(aAddress) : "";
}

void
ConnectionPool::AddIdle(std::shared_ptr<ClientConnection> aConnection, Duration aIdleTime)
{
  aConnection->StartIdleTimer(aIdleTime);
  this->idle[aConnection->Path()].push_back(std::move(aConnection));
}

void
ConnectionPool::CloseIdle(ClientConnection* aConnection)
{
  auto const found = this->idle.find(aConnection->Path());
  if (found == this->idle.end())
    return;
  auto& connections = found->second;
  auto const position =
    std::ranges::find_if(connections, [&](auto const& aKept) { return aKept.get() == aConnection; });
  if (position == connections.end())
    return;
  auto const dropped = std::move(*position);
  connections.erase(position);
  if (connections.empty())
    this->idle.erase(found);
  dropped->CloseWithReset();
}

void
ConnectionPool::CloseIdleConnections(std::string const& aAddress)
{
  std::vector<std::shared_ptr<ClientConnection>> dropped;
  auto path = this->idle.lower_bound({ aAddress, "" });
  while (path != this->idle.end() && path->first.first == aAddress) {
    dropped.insert(dropped.end(), path->second.begin(), path->second.end());
    path = this->idle.erase(path);
  }
  for (auto const& connection : dropped)
    connection->CloseWithReset();
}

void
SendBuffered(ConnectionPool& aPool, OutgoingCall aCall, std::function<void(BufferedResponse)> aDone, Reuse aReuse)
{
  auto const response = std::make_shared<BufferedResponse>();
  CallEvents events;
  events.onHead = [response](ResponseHead const& aHead) {
    response->status = aHead.status;
    response->fields = aHead.fields;
  };
  events.onBody = [response](std::string aChunk) { response->body += aChunk; };
  events.onEnd = [response, aDone = std::move(aDone)](CallEnd aEnd) {
    if (aEnd == CallEnd::Complete)
      aDone({ aEnd, response->status, std::move(response->fields), std::move(response->body) });
    else
      aDone({ aEnd });
  };
  aPool.Send(std::move(aCall), std::move(events), aReuse);
}

}
