#include <LibHttp/LibHttp.h>
#include <gtest/gtest.h>

using namespace Hornbeam;

namespace {

/// A listening socket may stay open for a while after its test, so each test uses a different port.
std::string
NextAddress()
{
  static int port = 18960;
  return "127.0.0.1:" + std::to_string(port++);
}

constexpr std::size_t kBodyLimit = 1000;

/// A server and a client on one loop.
struct HttpFixture : public testing::Test
{
  void Handle(HttpRequest const& aRequest, HttpResponder aResponder)
  {
    if (aRequest.path == "/never") {
      aResponder.OnCallerDisconnected([this] { this->callerGone = true; });
      return;
    }
    if (aRequest.path == "/stream") {
      aResponder.BeginStream("text/event-stream");
      aResponder.SendChunk("one");
      this->clock.Schedule(20ms, [aResponder] {
        aResponder.SendChunk("two");
        aResponder.EndStream();
      });
      return;
    }
    HttpResponse const response{ 200, "text/plain", aRequest.body + aRequest.headers.ifMatch, "\"7\"" };
    this->clock.Schedule(10ms, [aResponder, response] { aResponder.Respond(response); });
  }

  HttpCallResult Run(HttpCall aCall, std::function<bool()> aMayStillSend = nullptr)
  {
    std::optional<HttpCallResult> result;
    this->client.Send(std::move(aCall),
                      { std::move(aMayStillSend), nullptr, [&](HttpCallResult aResult) { result = aResult; } });
    this->loop.RunUntil([&] { return result.has_value(); });
    return *result;
  }

  std::string const address{ NextAddress() };
  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  HttpContext context{ loop };
  HttpClient client{ context };
  bool callerGone{ false };
  HttpServer server{ context,
                     this->address,
                     [this](HttpRequest const& aRequest, HttpResponder aResponder) {
                       this->Handle(aRequest, std::move(aResponder));
                     },
                     kBodyLimit };
};

TEST_F(HttpFixture, TransfersBodiesAndHeadersInBothDirections)
{
  HttpCall call{ this->address, HttpMethod::Put, "/echo", "hello" };
  call.ifMatch = "\"3\"";
  auto const result = this->Run(call);
  EXPECT_EQ(result.end, HttpCallEnd::Complete);
  EXPECT_EQ(result.body, "hello\"3\"");
  EXPECT_EQ(result.entityTag, "\"7\"");
}

TEST_F(HttpFixture, RejectsAnOversizedBodyAsNotRun)
{
  auto const result = this->Run({ this->address, HttpMethod::Post, "/echo", std::string(kBodyLimit + 1, 'x') });
  EXPECT_EQ(result.status, 413);
  EXPECT_NE(result.body.find("not-run"), std::string::npos);
}

// Bodies were bounded one by one only, so any number of connections filled the memory.
TEST_F(HttpFixture, BoundsTheBodiesOfAllRequestsTogether)
{
  ASSERT_TRUE(this->server.IsListening());
  unsigned ended = 0;
  for (std::size_t index = 0; index < kMaxBodiesHeld; ++index) {
    HttpCall call{ this->address, HttpMethod::Post, "/never", std::string(kBodyLimit, 'x') };
    call.timeout = 2s;
    this->client.Send(std::move(call), { nullptr, nullptr, [&](HttpCallResult) { ++ended; } });
  }
  this->loop.RunUntil([&] { return this->server.OpenExchanges() == kMaxBodiesHeld; });
  HttpCall const call{ this->address, HttpMethod::Post, "/echo", std::string(kBodyLimit, 'x') };
  HttpCallResult refused;
  // The bodies of the others may still be on their way.
  for (unsigned attempt = 0; attempt < 20 && refused.status != 503; ++attempt)
    refused = this->Run(call);
  EXPECT_EQ(refused.status, 503);
  EXPECT_NE(refused.body.find("not-run"), std::string::npos);
  this->loop.RunUntil([&] { return ended == kMaxBodiesHeld && this->server.OpenExchanges() == 0; });
  EXPECT_EQ(this->Run(call).status, 200);
}

TEST_F(HttpFixture, ReportsWhetherBytesWereSent)
{
  EXPECT_EQ(this->Run({ "127.0.0.1:18991", HttpMethod::Get, "/" }).end, HttpCallEnd::NotSent);
  EXPECT_EQ(this->Run({ this->address, HttpMethod::Get, "/" }, [] { return false; }).end, HttpCallEnd::NotSent);
  HttpCall call{ this->address, HttpMethod::Get, "/never" };
  call.timeout = 50ms;
  EXPECT_EQ(this->Run(call).end, HttpCallEnd::TimedOut);
}

TEST_F(HttpFixture, StreamsChunks)
{
  auto const result = this->Run({ this->address, HttpMethod::Get, "/stream" });
  EXPECT_EQ(result.end, HttpCallEnd::Complete);
  EXPECT_EQ(result.body, "onetwo");
}

TEST_F(HttpFixture, DetectsACallerThatDisconnectsBeforeTheResponseWithoutSpinning)
{
  // An unread end of stream on a connection without a response made the loop spin at full speed.
  HttpCall call{ this->address, HttpMethod::Get, "/never" };
  call.timeout = 100ms;
  this->Run(call);
  int iterations = 0;
  auto const disconnectedAt = this->clock.Now();
  this->loop.RunUntil([&] {
    ++iterations;
    return this->callerGone;
  });
  EXPECT_LT(iterations, 200);
  // The close must raise an event: without one, libwebsockets closed the connection only after 30 s.
  EXPECT_LT(this->clock.Now() - disconnectedAt, 5s);
}

}
