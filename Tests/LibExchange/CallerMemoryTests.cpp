#include <LibExchange/LibExchange.h>
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

static constexpr char kAddress[] = "127.0.0.1:20974";
static constexpr std::size_t kLimitBytes = 400000;
static constexpr std::size_t kBodyBytes = 100000;
/// More than the socket buffers of both sides hold.
static constexpr std::size_t kUnreadBytes = 8 << 20;

namespace {

struct TestCaller
{
  std::shared_ptr<TcpStream> stream;
  std::string answer;
  bool connected{ false };
  bool ended{ false };
};

/// A listener with a limit, whose requests the test answers.
struct LimitedWorld
{
  LimitedWorld()
    : listener(this->loop.UvLoop(), this->clock, [this](std::shared_ptr<Exchange> aExchange) {
      this->exchanges.push_back(std::move(aExchange));
    })
  {
    this->listener.Context().memory = &this->memory;
    EXPECT_TRUE(this->listener.Open(kAddress));
  }

  ~LimitedWorld()
  {
    for (auto const& caller : this->callers)
      caller->stream->Reset();
    this->listener.BeginClosing();
    this->listener.ResetConnections();
    this->RunUntil([] { return false; }, 5ms);
    EXPECT_EQ(this->memory.Budget().bytes, 0U);
  }

  bool RunUntil(std::function<bool()> const& aCondition, Duration aTime = 5s)
  {
    bool due = false;
    auto const timer = this->clock.Schedule(aTime, [&] { due = true; });
    this->loop.RunUntil([&] { return due || aCondition(); });
    this->clock.Cancel(timer);
    return aCondition();
  }

  /// Connects a caller and sends what it sends first.
  TestCaller& Connect(std::string const& aBytes)
  {
    auto& caller = *this->callers.emplace_back(std::make_unique<TestCaller>());
    caller.stream = TcpStream::Connect(
      this->loop.UvLoop(), kAddress, {}, [&caller](bool aConnected) { caller.connected = aConnected; });
    StreamEvents events;
    events.onData = [&caller](std::string_view aBytes) { caller.answer += aBytes; };
    events.onEnd = [&caller](StreamEnd) { caller.ended = true; };
    caller.stream->SetEvents(std::move(events));
    EXPECT_TRUE(this->RunUntil([&] { return caller.connected; }));
    caller.stream->Write(aBytes);
    return caller;
  }

  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  CallerMemory memory{ this->clock, { kLimitBytes, 4, 4 } };
  std::vector<std::shared_ptr<Exchange>> exchanges;
  HttpListener listener;
  std::vector<std::unique_ptr<TestCaller>> callers;
};

}

static std::string
Post(std::size_t aDeclared, std::size_t aSent)
{
  return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(aDeclared) + "\r\n\r\n" +
         std::string(aSent, 'x');
}

static constexpr char kGet[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

// Requests that stopped short of their end held their memory, and a whole request found none.
TEST(CallerMemory, RefusesStalledRequestsBeforeTheyRun)
{
  LimitedWorld world;
  for (unsigned index = 0; index < 3; ++index)
    world.Connect(Post(kBodyBytes, kBodyBytes - 1));
  ASSERT_TRUE(world.RunUntil([&] { return world.memory.Budget().bytes > 3 * kBodyBytes; }));
  world.Connect(Post(kBodyBytes, kBodyBytes));
  ASSERT_TRUE(world.RunUntil([&] { return !world.exchanges.empty(); }));
  EXPECT_LE(world.memory.Budget().bytes, kLimitBytes);
  EXPECT_EQ(world.exchanges.size(), 1U);
  auto const& refused = *world.callers[0];
  ASSERT_TRUE(world.RunUntil([&] { return refused.ended; }));
  EXPECT_TRUE(refused.answer.starts_with("HTTP/1.1 503"));
  EXPECT_NE(refused.answer.find("Retry-After: "), std::string::npos);
  EXPECT_TRUE(world.callers[3]->answer.empty());
}

// A request that does not fit beside those in progress was handed on all the same.
TEST(CallerMemory, RefusesAWholeRequestRatherThanOneInProgress)
{
  LimitedWorld world;
  world.Connect(Post(kBodyBytes, kBodyBytes));
  ASSERT_TRUE(world.RunUntil([&] { return world.exchanges.size() == 1; }));
  auto const& second = world.Connect(Post(kBodyBytes, kBodyBytes));
  ASSERT_TRUE(world.RunUntil([&] { return second.ended; }));
  EXPECT_TRUE(second.answer.starts_with("HTTP/1.1 503"));
  EXPECT_EQ(world.exchanges.size(), 1U);
  world.exchanges[0]->Respond({ 200, {} }, "");
  EXPECT_TRUE(world.RunUntil([&] { return world.callers[0]->answer.starts_with("HTTP/1.1 200"); }));
}

// A response that nobody read was held without bound, and its request went on.
TEST(CallerMemory, ClosesCallersThatDoNotRead)
{
  LimitedWorld world;
  auto& caller = world.Connect(kGet);
  ASSERT_TRUE(world.RunUntil([&] { return !world.exchanges.empty(); }));
  caller.stream->PauseReading();
  bool disconnected = false;
  world.exchanges[0]->onCallerDisconnected = [&] { disconnected = true; };
  world.exchanges[0]->BeginStream({ 200, {} });
  world.exchanges[0]->SendChunk(std::string(kUnreadBytes, 'x'));
  // Closing it at once would end the request inside its own handling.
  EXPECT_FALSE(disconnected);
  ASSERT_TRUE(world.RunUntil([&] { return disconnected; }));
  EXPECT_EQ(world.memory.Budget().accounts.size(), 0U);
}

// Requests sent ahead of a response were held, or the response before them was lost when they were dropped.
TEST(CallerMemory, DropsPipelinedInputAndKeepsTheResponse)
{
  LimitedWorld world;
  world.memory.SetLimits({ 60000, 4, 4 });
  auto const& caller = world.Connect(kGet);
  ASSERT_TRUE(world.RunUntil([&] { return world.exchanges.size() == 1; }));
  caller.stream->Write(Post(kBodyBytes, kBodyBytes));
  ASSERT_TRUE(world.RunUntil([&] { return world.memory.Refusals().inputsDropped == 1; }));
  EXPECT_LE(world.memory.Budget().bytes, 60000U);
  world.exchanges[0]->Respond({ 200, {} }, "whole");
  ASSERT_TRUE(world.RunUntil([&] { return caller.ended; }));
  EXPECT_TRUE(caller.answer.ends_with("whole"));
  EXPECT_EQ(world.exchanges.size(), 1U);
}

// Responses that were held back for a retry counted for nobody.
TEST(CallerMemory, ChargesResponsesThatAreHeldBack)
{
  LimitedWorld world;
  world.Connect(kGet);
  ASSERT_TRUE(world.RunUntil([&] { return world.exchanges.size() == 1; }));
  world.exchanges[0]->HoldBack(kLimitBytes);
  auto const& second = world.Connect(kGet);
  ASSERT_TRUE(world.RunUntil([&] { return second.ended; }));
  EXPECT_TRUE(second.answer.starts_with("HTTP/1.1 503"));
  world.exchanges[0]->Respond({ 200, {} }, "");
  EXPECT_LT(world.memory.Budget().bytes, kBodyBytes);
}

// Open connections kept others out.
TEST(CallerMemory, ClosesTheOldestUnusedConnection)
{
  LimitedWorld world;
  for (unsigned index = 0; index < 4; ++index)
    world.Connect("");
  world.Connect(kGet);
  ASSERT_TRUE(world.RunUntil([&] { return world.exchanges.size() == 1 && world.callers[0]->ended; }));
  EXPECT_FALSE(world.callers[1]->ended);
}

}
