#include <LibExchange/LibExchange.h>
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

static constexpr char kAddress[] = "127.0.0.1:20972";
/// Longer than a connection lingers after its last response.
static constexpr Duration kBeyondLingering = 700ms;
/// More than the socket buffers of both sides hold.
static constexpr std::size_t kLargeBodyBytes = 32 << 20;

namespace {

/// A listener whose requests the test answers, and one caller.
struct ListenerWorld
{
  ListenerWorld()
    : listener(this->loop.UvLoop(), this->clock, [this](std::shared_ptr<Exchange> aExchange) {
      this->exchanges.push_back(std::move(aExchange));
    })
  {
    EXPECT_TRUE(this->listener.Open(kAddress));
    this->caller =
      TcpStream::Connect(this->loop.UvLoop(), kAddress, {}, [this](bool aConnected) { this->connected = aConnected; });
    StreamEvents events;
    events.onData = [this](std::string_view aBytes) { this->answer += aBytes; };
    events.onEnd = [this](StreamEnd aEnd) { this->end = aEnd; };
    this->caller->SetEvents(std::move(events));
    EXPECT_TRUE(this->RunUntil([&] { return this->connected; }));
  }

  ~ListenerWorld()
  {
    this->caller->Reset();
    this->listener.BeginClosing();
    this->listener.ResetConnections();
    this->RunFor(5ms);
  }

  bool RunUntil(std::function<bool()> const& aCondition, Duration aTime = 5s)
  {
    bool due = false;
    auto const timer = this->clock.Schedule(aTime, [&] { due = true; });
    this->loop.RunUntil([&] { return due || aCondition(); });
    this->clock.Cancel(timer);
    return aCondition();
  }

  void RunFor(Duration aTime)
  {
    this->RunUntil([] { return false; }, aTime);
  }

  /// Sends aCount pipelined requests and waits for the first.
  void Request(unsigned aCount = 1, std::string const& aMethod = "GET")
  {
    std::string bytes;
    for (unsigned index = 0; index < aCount; ++index)
      bytes += aMethod + " /" + std::to_string(index) + " HTTP/1.1\r\nHost: x\r\n\r\n";
    this->caller->Write(bytes);
    ASSERT_TRUE(this->RunUntil([&] { return !this->exchanges.empty(); }));
  }

  std::size_t Connections() { return this->listener.Context().connections.size(); }

  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  std::vector<std::shared_ptr<Exchange>> exchanges;
  HttpListener listener;
  std::shared_ptr<TcpStream> caller;
  bool connected{ false };
  std::string answer;
  std::optional<StreamEnd> end;
};

}

// An unexpected error in the handling of one request ended the process and the connections of others.
TEST(HttpListener, ServesOthersAfterAHandlerThrew)
{
  ListenerWorld world;
  auto const serve = std::exchange(world.listener.Context().handler, [](auto const&) { throw std::bad_alloc(); });
  world.caller->Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(world.RunUntil([&] { return world.end.has_value(); }));
  EXPECT_EQ(world.Connections(), 0U);
  world.listener.Context().handler = serve;
  bool connected = false;
  auto const other =
    TcpStream::Connect(world.loop.UvLoop(), kAddress, {}, [&](bool aConnected) { connected = aConnected; });
  ASSERT_TRUE(world.RunUntil([&] { return connected; }));
  other->Write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(world.RunUntil([&] { return !world.exchanges.empty(); }));
  other->Reset();
}

// A pipelined request that had been read whole got no answer if the listener closed just as the response before it
// ended.
TEST(HttpListener, AnswersPipelinedRequestsWhileItCloses)
{
  ListenerWorld world;
  world.Request(2);
  world.exchanges[0]->BeginStream({ 200, {} });
  world.exchanges[0]->EndStream();
  world.listener.BeginClosing();
  ASSERT_TRUE(world.RunUntil([&] { return world.exchanges.size() == 2 || world.end; }));
  ASSERT_EQ(world.exchanges.size(), 2U);
  world.exchanges[1]->Respond({ 503, {} }, "");
  ASSERT_TRUE(world.RunUntil([&] { return world.end.has_value(); }));
  EXPECT_NE(world.answer.find("HTTP/1.1 503"), std::string::npos);
}

// A stopping process did not wait for the bytes that a slow caller had not taken yet: their connection no longer
// counted as open.
TEST(HttpListener, KeepsConnectionsUntilTheirResponsesAreSent)
{
  for (auto const use : { ConnectionUse::KeepAlive, ConnectionUse::Close }) {
    ListenerWorld world;
    world.listener.Context().use = use;
    world.Request();
    world.caller->PauseReading();
    world.exchanges[0]->BeginStream({ 200, {} });
    world.listener.BeginClosing();
    world.exchanges[0]->SendChunk(std::string(kLargeBodyBytes, 'x'));
    world.exchanges[0]->EndStream();
    world.RunFor(kBeyondLingering);
    EXPECT_EQ(world.Connections(), 1U) << "use " << int(use);
    world.caller->ResumeReading();
    ASSERT_TRUE(world.RunUntil([&] { return world.end && world.Connections() == 0; }));
    EXPECT_EQ(world.end, StreamEnd::Closed);
    EXPECT_GT(world.answer.size(), kLargeBodyBytes);
  }
}

// A refusal that was sent just before the process ended was discarded by the reset of its connection.
TEST(HttpListener, DeliversWhatWasAnsweredBeforeItResetsConnections)
{
  ListenerWorld world;
  world.Request();
  world.listener.BeginClosing();
  world.exchanges[0]->Respond({ 503, {} }, "stopping");
  world.listener.ResetConnections();
  EXPECT_EQ(world.Connections(), 0U);
  ASSERT_TRUE(world.RunUntil([&] { return world.end.has_value(); }));
  EXPECT_EQ(world.end, StreamEnd::Closed);
  EXPECT_TRUE(world.answer.ends_with("stopping"));
}

// A streamed answer to a HEAD request ended with the last chunk of a body that it must not have.
TEST(HttpListener, SendsNoBodyToHead)
{
  ListenerWorld world;
  world.Request(1, "HEAD");
  world.exchanges[0]->BeginStream({ 200, {} });
  world.exchanges[0]->SendChunk("body");
  world.exchanges[0]->EndStream();
  world.RunFor(50ms);
  EXPECT_TRUE(world.answer.starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(world.answer.ends_with("\r\n\r\n"));
  EXPECT_EQ(world.answer.find("\r\n\r\n"), world.answer.size() - 4);
}

}
