#include "Tunnel.h"
#include "HttpMessage.h"
#include <boost/beast/http.hpp>
#include <limits>

namespace Hornbeam::Gateway {

namespace http = boost::beast::http;

/// Bounds the memory and the descriptors that other fronts take; each tunnel has two descriptors.
static constexpr std::size_t kMaxTunnels = 256;
/// If more bytes than this wait for one side, reading from the other one is paused.
static constexpr std::size_t kMaxUnsentBytes = 65536;
static constexpr std::size_t kSocketBufferBytes = 65536;
static constexpr std::size_t kMaxRequestBytes = 1024;
static constexpr Duration kRequestTimeout = 1s;
static constexpr Duration kConnectTimeout = 300ms;
/// An answer is taken for complete once nothing of it has arrived for this long.
static constexpr Duration kQuietTime = 500ms;

/// Names the coding of the endpoint's bytes in a request and in its answer. HTTP has no transfer coding for tunnels,
/// and fronts that do not know this field ignore it.
static constexpr std::string_view kCodingField = "Hornbeam-Tunnel-Coding";
static constexpr std::string_view kChunked = "chunked";

template<typename Message>
static bool
HasChunks(Message const& aMessage)
{
  return aMessage[kCodingField] == kChunked;
}

std::string
EncodeTunnelRequest(std::string const& aAddress)
{
  return "CONNECT " + aAddress + " HTTP/1.1\r\nHost: " + aAddress + "\r\n" + std::string(kCodingField) + ": " +
         std::string(kChunked) + "\r\n\r\n";
}

TunnelAnswer
ReadTunnelAnswer(std::string const& aBytes)
{
  http::response_parser<http::empty_body> parser;
  parser.skip(true);
  boost::beast::error_code failure;
  auto const used = parser.put(boost::asio::buffer(aBytes), failure);
  if (failure == http::error::need_more)
    return aBytes.size() > kMaxRequestBytes ? TunnelAnswer::Refused : TunnelAnswer::NeedMore;
  if (failure || used != aBytes.size())
    return TunnelAnswer::Refused;
  if (parser.get().result() == http::status::bad_gateway)
    return TunnelAnswer::EndpointUnreached;
  if (parser.get().result() != http::status::ok)
    return TunnelAnswer::Refused;
  return HasChunks(parser.get()) ? TunnelAnswer::EstablishedInChunks : TunnelAnswer::EstablishedPlain;
}

TunnelDecoder::TunnelDecoder()
  : parser(ResponseTo::OtherMethod, std::numeric_limits<std::uint64_t>::max())
{
  // Chunks follow without the head of a message, which the parser expects.
  this->Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
}

ParseState
TunnelDecoder::Feed(std::string_view aBytes)
{
  this->received += aBytes;
  return this->parser.Feed(this->received);
}

std::string_view
ToString(TunnelEnd aEnd)
{
  switch (aEnd) {
    case TunnelEnd::EndpointClosed:
      return "endpoint-closed";
    case TunnelEnd::EndpointReset:
      return "endpoint-reset";
    case TunnelEnd::FrontEnded:
      return "front-ended";
    case TunnelEnd::Stopped:
      return "stopped";
  }
  VerifyNotReached();
}

/// A connection of another front and the connection to an endpoint for it.
class Tunnel : public std::enable_shared_from_this<Tunnel>
{
public:
  Tunnel(TunnelServer& aServer, std::uint64_t aId, std::shared_ptr<TcpStream> aFront)
    : server(aServer)
    , id(aId)
    , front(std::move(aFront))
  {
  }

  void Begin()
  {
    this->front->SetBufferSizes(kSocketBufferBytes, kSocketBufferBytes);
    this->front->SetEvents(this->EventsOf(&Tunnel::OnFrontData, &Tunnel::OnFrontEnd, &Tunnel::OnFrontDrained));
    this->Arm(kRequestTimeout, [](Tunnel& aTunnel) { aTunnel.Close(); });
  }

  /// Whether a request or its answer is passing.
  bool IsBusy() const
  {
    return !this->connected || this->awaitsAnswer || this->server.clock.Now() - this->lastAnswerBytes < kQuietTime;
  }

  void End(TunnelEnd aEnd)
  {
    if (this->connected)
      this->server.events.onEnd(this->address, aEnd, this->answerBytes);
    this->Close();
  }

private:
  void Close()
  {
    this->server.clock.Cancel(this->timer);
    if (!this->frontClosed)
      this->front->Reset();
    if (this->endpoint)
      this->endpoint->Reset();
    this->server.tunnels.erase(this->id);
  }

  template<typename... Arguments>
  auto Callback(void (Tunnel::*aAction)(Arguments...))
  {
    return [weak = this->weak_from_this(), aAction](Arguments... aArguments) {
      if (auto const tunnel = weak.lock())
        ((*tunnel).*aAction)(aArguments...);
    };
  }

  StreamEvents EventsOf(void (Tunnel::*aOnData)(std::string_view),
                        void (Tunnel::*aOnEnd)(StreamEnd),
                        void (Tunnel::*aOnDrained)())
  {
    return { this->Callback(aOnData), this->Callback(aOnEnd), this->Callback(aOnDrained) };
  }

  template<typename Action>
  void Arm(Duration aTime, Action aAction)
  {
    this->server.clock.Cancel(this->timer);
    this->timer = this->server.clock.Schedule(aTime, [weak = this->weak_from_this(), aAction] {
      if (auto const tunnel = weak.lock())
        aAction(*tunnel);
    });
  }

  void OnFrontData(std::string_view aBytes)
  {
    if (this->connected) {
      this->awaitsAnswer = true;
      this->Pass(std::string(aBytes), *this->endpoint, *this->front);
      return;
    }
    this->request += aBytes;
    http::request_parser<http::empty_body> parser;
    boost::beast::error_code failure;
    auto const used = parser.put(boost::asio::buffer(this->request), failure);
    bool const incomplete = failure == http::error::need_more;
    if (incomplete && this->request.size() <= kMaxRequestBytes)
      return;
    // The front waits for the answer before it sends anything else.
    if (failure || used != this->request.size() || parser.get().method() != http::verb::connect || this->endpoint)
      return this->Answer("400 Bad Request");
    this->chunked = HasChunks(parser.get());
    this->Connect(std::string(parser.get().target()));
  }

  void Connect(std::string const& aAddress)
  {
    auto const permission = this->server.events.permit(aAddress);
    if (permission == TunnelPermission::NotAnEndpoint)
      return this->Answer("403 Forbidden");
    if (permission == TunnelPermission::LinkLost || this->server.stopping || this->server.Count() > kMaxTunnels)
      return this->Answer("503 Service Unavailable");
    this->address = aAddress;
    this->endpoint = this->server.connector(aAddress, {}, this->Callback(&Tunnel::OnConnected));
    if (!this->endpoint)
      return this->OnConnected(false);
    this->endpoint->SetBufferSizes(kSocketBufferBytes, kSocketBufferBytes);
    this->Arm(kConnectTimeout, [](Tunnel& aTunnel) { aTunnel.OnConnected(false); });
  }

  void OnConnected(bool aConnected)
  {
    this->server.clock.Cancel(this->timer);
    this->server.events.onConnection(this->address, aConnected);
    if (!aConnected) {
      bool const lost = this->server.events.permit(this->address) == TunnelPermission::LinkLost;
      return this->Answer(lost ? "503 Service Unavailable" : "502 Bad Gateway");
    }
    this->connected = true;
    ++this->server.established;
    this->endpoint->SetEvents(
      this->EventsOf(&Tunnel::OnEndpointData, &Tunnel::OnEndpointEnd, &Tunnel::OnEndpointDrained));
    std::string answer = "HTTP/1.1 200 OK\r\n";
    if (this->chunked)
      answer.append(kCodingField).append(": ").append(kChunked).append("\r\n");
    this->front->Write(answer + "\r\n");
  }

  /// Ends the tunnel with an answer.
  void Answer(std::string const& aStatus)
  {
    this->front->Write("HTTP/1.1 " + aStatus + "\r\nContent-Length: 0\r\n\r\n");
    this->CloseFront();
    this->Close();
  }

  void CloseFront()
  {
    this->frontClosed = true;
    this->front->Close();
  }

  void Pass(std::string aBytes, TcpStream& aTo, TcpStream& aFrom)
  {
    aTo.Write(std::move(aBytes));
    if (aTo.Unsent() > kMaxUnsentBytes)
      aFrom.PauseReading();
  }

  void OnEndpointData(std::string_view aBytes)
  {
    this->awaitsAnswer = false;
    this->answerBytes += aBytes.size();
    this->lastAnswerBytes = this->server.clock.Now();
    this->Pass(this->chunked ? SerializeChunk(aBytes) : std::string(aBytes), *this->front, *this->endpoint);
  }

  // Whatever ends the front's side, nobody waits for the answer any more.
  void OnFrontEnd(StreamEnd) { this->End(TunnelEnd::FrontEnded); }

  void OnEndpointEnd(StreamEnd aEnd)
  {
    if (aEnd == StreamEnd::Closed && this->chunked)
      this->front->Write(SerializeLastChunk());
    // In chunks, what arrived before a reset need not be lost: the last chunk is missing.
    if (aEnd == StreamEnd::Closed || this->chunked)
      this->CloseFront();
    this->End(aEnd == StreamEnd::Closed ? TunnelEnd::EndpointClosed : TunnelEnd::EndpointReset);
  }

  void OnFrontDrained()
  {
    if (this->endpoint)
      this->endpoint->ResumeReading();
  }

  void OnEndpointDrained() { this->front->ResumeReading(); }

  TunnelServer& server;
  std::uint64_t id;
  std::shared_ptr<TcpStream> front;
  std::shared_ptr<TcpStream> endpoint;
  std::string address;
  std::string request;
  TimerId timer{ 0 };
  bool connected{ false };
  /// Whether the front has asked for chunks.
  bool chunked{ false };
  /// Set once the front's side closes regularly, after what was written to it.
  bool frontClosed{ false };
  bool awaitsAnswer{ false };
  std::uint64_t answerBytes{ 0 };
  MonotonicTime lastAnswerBytes{};
};

TunnelServer::TunnelServer(uv_loop_t& aLoop, Clock& aClock, StreamConnector aConnector, TunnelEvents aEvents)
  : clock(aClock)
  , connector(std::move(aConnector))
  , events(std::move(aEvents))
  , listener(aLoop, StreamTimeouts{}, [this](std::shared_ptr<TcpStream> aStream) { this->Accept(std::move(aStream)); })
{
}

TunnelServer::~TunnelServer()
{
  auto const open = this->tunnels;
  for (auto const& [id, tunnel] : open)
    tunnel->End(TunnelEnd::Stopped);
}

void
TunnelServer::Accept(std::shared_ptr<TcpStream> aStream)
{
  auto const id = ++this->lastTunnel;
  auto const tunnel = std::make_shared<Tunnel>(*this, id, std::move(aStream));
  this->tunnels[id] = tunnel;
  tunnel->Begin();
}

void
TunnelServer::ContinueStop()
{
  if (!std::exchange(this->stopping, true))
    this->listener.Close();
  auto const open = this->tunnels;
  for (auto const& [id, tunnel] : open)
    if (!tunnel->IsBusy())
      tunnel->End(TunnelEnd::Stopped);
}

bool
TunnelServer::IsBusy() const
{
  return std::ranges::any_of(this->tunnels, [](auto const& aEntry) { return aEntry.second->IsBusy(); });
}

}
