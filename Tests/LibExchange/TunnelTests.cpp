#include "TunnelProcess.h"
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

static constexpr char kTunnelAddress[] = "127.0.0.1:20961";
static constexpr char kEndpointAddress[] = "127.0.0.1:20962";

/// A pool whose connections to the endpoint go through a tunnel server, and an endpoint that sends fixed bytes.
struct TunnelWorld
{
  TunnelWorld()
    : server(this->loop.UvLoop(),
             this->clock,
             TcpConnector(this->loop.UvLoop()),
             { [this](std::string const&) { return this->permission; },
               [](std::string const&, bool) {},
               [this](std::string const&, TunnelEnd aEnd, std::uint64_t) { this->tunnelEnd = aEnd; } })
    , endpoint(this->loop.UvLoop(),
               StreamTimeouts{},
               [this](std::shared_ptr<TcpStream> aStream) { this->Serve(std::move(aStream)); })
    , pool(this->loop.UvLoop(), this->clock)
  {
    EXPECT_TRUE(this->server.Open(kTunnelAddress));
    EXPECT_TRUE(this->endpoint.Open(kEndpointAddress));
    this->pool.SetPaths(
      { [](std::string const&) { return std::string(kTunnelAddress); },
        [this](std::string const&, std::string const&, ConnectionOutcome aOutcome) { this->outcome = aOutcome; },
        {},
        {} });
  }

  ~TunnelWorld()
  {
    for (auto const& stream : this->streams)
      stream->Reset();
    this->endpoint.Close();
    this->server.ContinueStop();
    this->RunFor(20ms);
  }

  void Serve(std::shared_ptr<TcpStream> aStream)
  {
    auto* const raw = aStream.get();
    this->streams.push_back(std::move(aStream));
    StreamEvents events;
    events.onData = [this, raw](std::string_view aBytes) {
      this->seen += aBytes;
      raw->Write(this->answer);
      if (this->closes)
        raw->Close();
      if (this->resets)
        this->clock.Schedule(50ms, [raw] { raw->Reset(); });
    };
    events.onEnd = [this, raw](StreamEnd) {
      ++this->ended;
      raw->Reset();
    };
    raw->SetEvents(std::move(events));
  }

  void RunFor(Duration aTime)
  {
    bool due = false;
    this->clock.Schedule(aTime, [&] { due = true; });
    this->loop.RunUntil([&] { return due; });
  }

  BufferedResponse Call()
  {
    OutgoingCall call;
    call.address = kEndpointAddress;
    call.timeout = 1s;
    call.request.method = "GET";
    call.request.target = "/x";
    call.request.fields = { { "Host", "h" } };
    std::optional<BufferedResponse> result;
    SendBuffered(this->pool, std::move(call), [&](BufferedResponse aResponse) { result = std::move(aResponse); });
    this->loop.RunUntil([&] { return result.has_value(); });
    return *result;
  }

  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  TunnelPermission permission{ TunnelPermission::Granted };
  std::optional<ConnectionOutcome> outcome;
  std::optional<TunnelEnd> tunnelEnd;
  std::string answer{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi" };
  bool closes{ false };
  bool resets{ false };
  std::string seen;
  unsigned ended{ 0 };
  std::vector<std::shared_ptr<TcpStream>> streams;
  TunnelServer server;
  TcpListener endpoint;
  ConnectionPool pool;
};

// A call through another front lost or changed its answer, or opened a tunnel for each call.
TEST(Tunnel, CarriesCallsAndIsKeptBetweenThem)
{
  TunnelWorld world;
  for (unsigned call = 0; call < 3; ++call) {
    auto const response = world.Call();
    EXPECT_EQ(response.end, CallEnd::Complete);
    EXPECT_EQ(response.body, "hi");
  }
  EXPECT_TRUE(world.seen.starts_with("GET /x HTTP/1.1\r\n")) << world.seen;
  EXPECT_EQ(world.server.Established(), 1U);
}

// A long answer was cut, or its bytes were taken for those of the coding between fronts.
TEST(Tunnel, CarriesLongAnswersUnchanged)
{
  TunnelWorld world;
  std::string body;
  for (unsigned line = 0; body.size() < 3000000; ++line)
    body += std::to_string(line) + "\r\n0\r\n\r\n";
  auto const length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  for (bool const framed : { true, false }) {
    world.answer = "HTTP/1.1 200 OK\r\n" + (framed ? length : "") + "\r\n" + body;
    world.closes = !framed;
    auto const response = world.Call();
    EXPECT_EQ(response.end, CallEnd::Complete) << framed;
    EXPECT_TRUE(response.body == body) << framed << ' ' << response.body.size();
  }
}

// An answer of unknown length that was reset on the way looked complete.
TEST(Tunnel, TellsAResetFromAnEnd)
{
  TunnelWorld world;
  world.answer = "HTTP/1.1 200 OK\r\n\r\npart";
  world.resets = true;
  EXPECT_EQ(world.Call().end, CallEnd::Broken);
  EXPECT_EQ(world.tunnelEnd, TunnelEnd::EndpointReset);
  world.resets = false;
  world.closes = true;
  auto const response = world.Call();
  EXPECT_EQ(response.end, CallEnd::Complete);
  EXPECT_EQ(response.body, "part");
  EXPECT_EQ(world.tunnelEnd, TunnelEnd::EndpointClosed);
}

// The end of the helping front was taken for the end of an answer of unknown length, so a part of it looked complete.
TEST(Tunnel, DoesNotTakeTheEndOfAKilledFrontForTheEndOfTheAnswer)
{
  static constexpr char kProcessAddress[] = "127.0.0.1:20963";
  Testing::TunnelProcess helper(kProcessAddress);
  TunnelWorld world;
  world.pool.SetPaths({ [](std::string const&) { return std::string(kProcessAddress); }, {}, {}, {} });
  world.answer = "HTTP/1.1 200 OK\r\n\r\npart";
  world.clock.Schedule(100ms, [&] { helper.Kill(); });
  EXPECT_EQ(world.Call().end, CallEnd::Broken);
  EXPECT_TRUE(world.seen.starts_with("GET /x HTTP/1.1\r\n")) << world.seen;
}

// A front of an older build that ended while it helped left a part of an answer that looked complete.
TEST(Tunnel, TakesNoEndThroughAnOlderFrontForTheEndOfTheAnswer)
{
  static constexpr char kOlderAddress[] = "127.0.0.1:20964";
  TunnelWorld world;
  TcpListener older(world.loop.UvLoop(), StreamTimeouts{}, [&](std::shared_ptr<TcpStream> aStream) {
    auto* const raw = aStream.get();
    StreamEvents events;
    events.onData = [raw](std::string_view aBytes) {
      bool const asks = aBytes.starts_with("CONNECT ");
      raw->Write(asks ? "HTTP/1.1 200 OK\r\n\r\n" : "HTTP/1.1 200 OK\r\n\r\npart");
      if (!asks)
        raw->Close();
    };
    raw->SetEvents(std::move(events));
    world.streams.push_back(std::move(aStream));
  });
  ASSERT_TRUE(older.Open(kOlderAddress));
  world.pool.SetPaths({ [](std::string const&) { return std::string(kOlderAddress); }, {}, {}, {} });
  EXPECT_EQ(world.Call().end, CallEnd::Broken);
  older.Close();
}

// A front of an older build, which does not ask for chunks, would take them for the endpoint's bytes.
TEST(Tunnel, SendsPlainBytesToAnOlderFront)
{
  TunnelWorld world;
  std::string received;
  auto const older = TcpStream::Connect(world.loop.UvLoop(), kTunnelAddress, {}, [](bool) {});
  StreamEvents events;
  events.onData = [&](std::string_view aBytes) { received += aBytes; };
  older->SetEvents(std::move(events));
  older->Write("CONNECT 127.0.0.1:20962 HTTP/1.1\r\nHost: 127.0.0.1:20962\r\n\r\n");
  world.RunFor(50ms);
  EXPECT_EQ(received, "HTTP/1.1 200 OK\r\n\r\n");
  older->Write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  world.RunFor(50ms);
  EXPECT_EQ(received, "HTTP/1.1 200 OK\r\n\r\n" + world.answer);
  older->Reset();
}

// Anyone on the network could reach any address through a front; a request that was not sent counted as sent.
TEST(Tunnel, RefusesAddressesThatAreNoEndpoints)
{
  TunnelWorld world;
  for (auto const permission : { TunnelPermission::NotAnEndpoint, TunnelPermission::LinkLost }) {
    world.permission = permission;
    EXPECT_EQ(world.Call().end, CallEnd::NotSent);
    EXPECT_EQ(world.outcome, ConnectionOutcome::TunnelRefused);
  }
  EXPECT_EQ(world.seen, "");
}

// An odd address in a front's entry was chosen for ever, as its failure was not reported.
TEST(Tunnel, ReportsAnAddressThatCannotBeUsed)
{
  TunnelWorld world;
  world.pool.SetPaths(
    { [](std::string const&) { return std::string("nowhere"); },
      [&](std::string const&, std::string const&, ConnectionOutcome aOutcome) { world.outcome = aOutcome; },
      {},
      {} });
  EXPECT_EQ(world.Call().end, CallEnd::NotSent);
  EXPECT_EQ(world.outcome, ConnectionOutcome::NotConnected);
}

// An endpoint that is down was taken for a front that refuses to help.
TEST(Tunnel, TellsThatTheEndpointIsNotReached)
{
  TunnelWorld world;
  world.endpoint.Close();
  world.RunFor(10ms);
  EXPECT_EQ(world.Call().end, CallEnd::NotSent);
  EXPECT_EQ(world.outcome, ConnectionOutcome::EndpointUnreached);
}

// An endpoint worked on after its caller had given up.
TEST(Tunnel, EndsAtTheEndpointWithTheCall)
{
  TunnelWorld world;
  world.answer = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhi";
  OutgoingCall call;
  call.address = kEndpointAddress;
  call.request.method = "GET";
  call.request.target = "/x";
  call.request.fields = { { "Host", "h" } };
  auto const handle = world.pool.Send(std::move(call), {});
  world.loop.RunUntil([&] { return !world.seen.empty(); });
  handle.Abandon();
  world.RunFor(100ms);
  EXPECT_EQ(world.ended, 1U);
  EXPECT_EQ(world.server.Count(), 0U);
}

// A front that stops cut off an answer that was passing through it, or kept idle tunnels to its end.
TEST(Tunnel, StopsAfterWhatIsPassing)
{
  TunnelWorld world;
  EXPECT_EQ(world.Call().end, CallEnd::Complete);
  world.server.ContinueStop();
  EXPECT_TRUE(world.server.IsBusy());
  world.RunFor(600ms);
  EXPECT_FALSE(world.server.IsBusy());
  world.server.ContinueStop();
  EXPECT_EQ(world.server.Count(), 0U);
}

}
