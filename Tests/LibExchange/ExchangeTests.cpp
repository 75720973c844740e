#include <LibExchange/LibExchange.h>
#include <array>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace Hornbeam::Gateway {

static constexpr char kAddress[] = "127.0.0.1:20971";

/// A server that sends fixed bytes to each caller and then closes, resets or keeps the connection. Includes a client
/// pool.
struct RawServer
{
  enum class Ending
  {
    Close,
    Reset,
    Keep,
  };

  RawServer(std::string aBytes, Ending aEnding)
    : bytes(std::move(aBytes))
    , ending(aEnding)
    , listener(this->loop.UvLoop(), StreamTimeouts{}, [this](std::shared_ptr<TcpStream> aStream) {
      this->Serve(std::move(aStream));
    })
  {
    EXPECT_TRUE(this->listener.Open(kAddress));
  }

  ~RawServer()
  {
    for (auto const& stream : this->streams)
      stream->Reset();
    this->listener.Close();
    this->RunFor(5ms);
  }

  void Serve(std::shared_ptr<TcpStream> aStream)
  {
    auto* const raw = aStream.get();
    this->streams.push_back(std::move(aStream));
    StreamEvents events;
    events.onData = [this, raw](std::string_view) {
      if (this->stopsReading)
        raw->PauseReading();
      raw->Write(this->bytes);
      if (this->ending == Ending::Close)
        raw->Close();
      else if (this->ending == Ending::Reset)
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

  struct Result
  {
    std::optional<CallEnd> end;
    unsigned status{ 0 };
    std::string body;
  };

  Result Call(std::string aMethod = "GET",
              Duration aTimeout = 500ms,
              std::uint64_t aMaxBodyBytes = kMaxResponseBodyBytes)
  {
    Result result;
    OutgoingCall call;
    call.address = kAddress;
    call.timeout = aTimeout;
    call.maxBodyBytes = aMaxBodyBytes;
    call.request = { std::move(aMethod), "/", { { "Host", "x" } }, "" };
    CallEvents events;
    events.onHead = [&](ResponseHead const& aHead) { result.status = aHead.status; };
    events.onBody = [&](std::string aChunk) { result.body += aChunk; };
    events.onEnd = [&](CallEnd aEnd) { result.end = aEnd; };
    this->pool.Send(std::move(call), std::move(events));
    this->loop.RunUntil([&] { return result.end.has_value(); });
    return result;
  }

  std::string bytes;
  Ending ending;
  /// Responds to the first bytes of a request and reads no more of it.
  bool stopsReading{ false };
  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  ConnectionPool pool{ this->loop.UvLoop(), this->clock };
  std::vector<std::shared_ptr<TcpStream>> streams;
  TcpListener listener;
};

using Ending = RawServer::Ending;

TEST(ConnectionPool, AcceptsAResponseWithoutLengthOnlyIfItsConnectionIsClosedRegularly)
{
  std::string const response = "HTTP/1.1 200 OK\r\n\r\nhalf";
  EXPECT_EQ(RawServer(response, Ending::Close).Call().end, CallEnd::Complete);
  // The failure needs the bytes and the reset to arrive together, which happens only sometimes. Repeating makes it
  // likely.
  for (int index = 0; index < 30; ++index)
    EXPECT_EQ(RawServer(response, Ending::Reset).Call().end, CallEnd::Broken);
}

TEST(ConnectionPool, ReportsBrokenResponses)
{
  EXPECT_EQ(RawServer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", Ending::Close).Call().end, CallEnd::Broken);
  EXPECT_EQ(RawServer("no http at all\r\n\r\n", Ending::Keep).Call().end, CallEnd::Broken);
  EXPECT_EQ(RawServer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", Ending::Close).Call().end,
            CallEnd::Broken);
  EXPECT_EQ(
    RawServer("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", Ending::Keep)
      .Call()
      .end,
    CallEnd::Broken);
  EXPECT_EQ(RawServer("", Ending::Keep).Call("GET", 100ms).end, CallEnd::TimedOut);
}

// An endpoint that sent a body without end filled the memory of the process that had called it.
TEST(ConnectionPool, EndsAResponseWhoseBodyIsLongerThanTheCallAllows)
{
  std::string const body(2000, 'x');
  std::string const chunk = "1f4\r\n" + std::string(500, 'x') + "\r\n";
  for (auto const& response : { "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n" + body,
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + chunk + chunk,
                                "HTTP/1.1 200 OK\r\n\r\n" + body }) {
    auto const result = RawServer(response, Ending::Keep).Call("GET", 5s, 1000);
    EXPECT_EQ(result.end, CallEnd::Broken) << response.substr(0, 40);
    EXPECT_LE(result.body.size(), 1000U);
  }
  auto const allowed = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n";
  EXPECT_EQ(RawServer(allowed, Ending::Keep).Call("GET", 5s, 1000).end, CallEnd::Complete);
}

// Bytes with a status that HTTP does not have were passed on as an answer.
TEST(ConnectionPool, TakesAnInvalidStatusForABrokenResponse)
{
  for (std::string const status : { "000", "099", "600", "999" }) {
    RawServer server("HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nhi", Ending::Keep);
    auto const result = server.Call();
    EXPECT_EQ(result.end, CallEnd::Broken) << status;
    EXPECT_EQ(result.status, 0U) << status;
  }
}

TEST(ConnectionPool, DoesNotReuseAConnectionWithTrailingBytes)
{
  std::string const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  {
    RawServer server(response, Ending::Keep);
    EXPECT_EQ(server.Call().end, CallEnd::Complete);
    EXPECT_TRUE(server.pool.HasIdle(kAddress));
    EXPECT_EQ(server.Call().end, CallEnd::Complete);
    EXPECT_EQ(server.streams.size(), 1U);
  }
  RawServer server(response + response, Ending::Keep);
  EXPECT_EQ(server.Call().end, CallEnd::Complete);
  EXPECT_FALSE(server.pool.HasIdle(kAddress));
}

TEST(ConnectionPool, SkipsInformationalResponsesAndBodiesOfHead)
{
  {
    RawServer server("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Ending::Keep);
    auto const result = server.Call();
    EXPECT_EQ(result.status, 200U);
    EXPECT_EQ(result.body, "ok");
  }
  RawServer head("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", Ending::Keep);
  EXPECT_EQ(head.Call("HEAD").end, CallEnd::Complete);
}

// A reset that a failed write had reported first was taken for a regular close, so half an answer looked complete.
TEST(ConnectionPool, DoesNotTakeAResetForACloseWhileTheRequestIsStillBeingSent)
{
  RawServer server("HTTP/1.1 200 OK\r\n\r\nhalf", Ending::Keep);
  server.stopsReading = true;
  OutgoingCall call;
  call.address = kAddress;
  call.request = { "POST", "/", { { "Host", "x" } }, std::string(32 << 20, 'b') };
  std::optional<CallEnd> end;
  CallHandle handle;
  CallEvents events;
  events.onBody = [&](std::string) { handle.PauseReading(); };
  events.onEnd = [&](CallEnd aEnd) { end = aEnd; };
  handle = server.pool.Send(std::move(call), std::move(events));
  server.RunFor(50ms);
  ASSERT_EQ(server.streams.size(), 1U);
  server.streams[0]->Reset();
  server.RunFor(20ms);
  handle.ResumeReading();
  server.loop.RunUntil([&] { return end.has_value(); });
  EXPECT_EQ(end, CallEnd::Broken);
}

/// A server on a thread of its own that answers a request before it has read all of it, ends its side of the connection
/// regularly, and resets it later.
class EarlyServer
{
public:
  EarlyServer()
    : listener(socket(AF_INET, SOCK_STREAM, 0))
  {
    int const enabled = 1;
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    auto const address = *ParseAddress(kAddress);
    EXPECT_EQ(bind(this->listener, reinterpret_cast<sockaddr const*>(&address), sizeof(address)), 0);
    EXPECT_EQ(listen(this->listener, 1), 0);
    this->thread = std::thread([this] { this->ServeOne(); });
  }
  EarlyServer(EarlyServer const&) = delete;
  EarlyServer& operator=(EarlyServer const&) = delete;
  ~EarlyServer()
  {
    this->thread.join();
    close(this->listener);
  }

private:
  void ServeOne() const
  {
    static constexpr std::string_view kPart = "HTTP/1.1 200 OK\r\n\r\nhalf";
    int const connection = accept(this->listener, nullptr, nullptr);
    std::array<char, 4096> bytes{};
    EXPECT_GT(read(connection, bytes.data(), bytes.size()), 0);
    EXPECT_EQ(write(connection, kPart.data(), kPart.size()), ssize_t(kPart.size()));
    shutdown(connection, SHUT_WR);
    std::this_thread::sleep_for(20ms);
    linger const reset{ 1, 0 };
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(connection);
  }

  int listener;
  std::thread thread;
};

// An endpoint that ended its side of the connection during a long upload left a part of an answer that looked complete.
TEST(ConnectionPool, DoesNotTakeAnEndDuringAnUploadForTheEndOfTheAnswer)
{
  EarlyServer const server;
  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  ConnectionPool pool(loop.UvLoop(), clock);
  OutgoingCall call;
  call.address = kAddress;
  call.request = { "POST", "/", { { "Host", "x" } }, std::string(32 << 20, 'b') };
  std::optional<CallEnd> end;
  CallEvents events;
  events.onEnd = [&](CallEnd aEnd) { end = aEnd; };
  pool.Send(std::move(call), std::move(events));
  loop.RunUntil([&] { return end.has_value(); });
  EXPECT_EQ(end, CallEnd::Broken);
}

TEST(ConnectionPool, DoesNotReuseAConnectionThatEndsItsResponse)
{
  RawServer server("HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nwhole", Ending::Close);
  EXPECT_EQ(server.Call().end, CallEnd::Complete);
  EXPECT_FALSE(server.pool.HasIdle(kAddress));
}

// Such a response may end with its connection, so a request sent right after it was lost.
TEST(ConnectionPool, DoesNotReuseAConnectionAfterAResponseToHeadWithoutFraming)
{
  RawServer server("HTTP/1.1 200 OK\r\n\r\n", Ending::Close);
  OutgoingCall head;
  head.address = kAddress;
  head.request = { "HEAD", "/", { { "Host", "x" } }, "" };
  CallEvents events;
  std::optional<CallEnd> second;
  events.onEnd = [&](CallEnd aEnd) {
    EXPECT_EQ(aEnd, CallEnd::Complete);
    EXPECT_FALSE(server.pool.HasIdle(kAddress));
    CallEvents secondEvents;
    secondEvents.onEnd = [&](CallEnd aSecondEnd) { second = aSecondEnd; };
    server.pool.Send(head, std::move(secondEvents));
  };
  server.pool.Send(head, std::move(events));
  server.loop.RunUntil([&] { return second.has_value(); });
  EXPECT_EQ(second, CallEnd::Complete);
}

TEST(ConnectionPool, ReusesAConnectionAfterAResponseThatNeverHasABody)
{
  for (auto const* const status : { "204 No Content", "304 Not Modified" }) {
    RawServer server(std::string("HTTP/1.1 ") + status + "\r\n\r\n", Ending::Keep);
    EXPECT_EQ(server.Call().end, CallEnd::Complete);
    EXPECT_TRUE(server.pool.HasIdle(kAddress));
  }
}

/// Feeds aRepeated until the parser fails; returns the largest number of bytes that it kept unparsed.
static std::size_t
FeedWithoutEnd(std::string aStart, std::string const& aRepeated)
{
  static constexpr std::size_t kEnough = 4 << 20;
  ResponseParser parser(ResponseTo::OtherMethod);
  std::size_t kept = 0;
  std::size_t fed = aStart.size();
  while (parser.Feed(aStart) == ParseState::NeedMore && fed < kEnough) {
    kept = std::max(kept, aStart.size());
    aStart += aRepeated;
    fed += aRepeated.size();
  }
  EXPECT_LT(fed, kEnough) << "no end after " << aRepeated.substr(0, 20);
  return kept;
}

// Beast limits heads and bodies, but neither chunk extensions, trailers nor the number of informational responses.
TEST(ResponseParser, FailsOnBytesWithoutEnd)
{
  static constexpr std::size_t kMaxKept = 131072;
  std::string const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  std::string const filler(1000, 'x');
  EXPECT_LT(FeedWithoutEnd("", filler), kMaxKept);
  EXPECT_LT(FeedWithoutEnd("HTTP/1.1 200 OK\r\nX-Long: ", filler), kMaxKept);
  EXPECT_LT(FeedWithoutEnd(chunked + "4;a=", filler), kMaxKept);
  EXPECT_LT(FeedWithoutEnd(chunked + "4\r\nhalf\r\n0\r\nX-Long: ", filler), kMaxKept);
  EXPECT_LT(FeedWithoutEnd("", "HTTP/1.1 100 Continue\r\n\r\n"), kMaxKept);
}

}
