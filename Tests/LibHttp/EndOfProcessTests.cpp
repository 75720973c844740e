#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <hornbeamfront/EndOfProcess.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Hornbeam;

namespace {

/// A blocking connection of a caller, outside the event loop.
class CallerConnection
{
public:
  explicit CallerConnection(int aPort)
    : descriptor(socket(AF_INET, SOCK_STREAM, 0))
  {
    // A small buffer keeps a long response in the server until it is read.
    int const size = 4096;
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    timeval const timeout{ 2, 0 };
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(connect(this->descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof(address)), 0);
  }
  CallerConnection(CallerConnection const&) = delete;
  CallerConnection& operator=(CallerConnection const&) = delete;
  ~CallerConnection() { close(this->descriptor); }

  void Write(std::string const& aText) const
  {
    EXPECT_EQ(send(this->descriptor, aText.data(), aText.size(), MSG_NOSIGNAL), ssize_t(aText.size()));
  }

  /// Reads until aEnd arrives, or the connection is closed or silent for 2 s.
  std::string ReadUntil(std::string const& aEnd) const
  {
    std::string text;
    while (aEnd.empty() || text.find(aEnd) == std::string::npos) {
      char buffer[4096];
      auto const received = recv(this->descriptor, buffer, sizeof(buffer), 0);
      if (received <= 0)
        break;
      text.append(buffer, static_cast<std::size_t>(received));
    }
    return text;
  }

private:
  int descriptor;
};

std::string const kHead = "POST /echo HTTP/1.1\r\nHost: front\r\nContent-Length: 5\r\n\r\n";
constexpr std::size_t kLongBody = 8'000'000;

/// A server whose front has ended when hasEnded is set. It responds 20 ms after it has read a request.
struct EndOfProcess : public testing::Test
{
  static int NextPort()
  {
    static int port = 18940;
    return port++;
  }

  void Handle(HttpRequest const& aRequest, HttpResponder const& aResponder)
  {
    std::string const body = aRequest.body == "large" ? std::string(kLongBody, 'x') + "END" : "got " + aRequest.body;
    this->clock.Schedule(20ms, [aResponder, body] { aResponder.Respond({ 200, "text/plain", body, "" }); });
  }

  void RunToTheEnd()
  {
    RunUntilQuiet(this->loop, [this] { return this->hasEnded; }, { &this->server });
  }

  int const port{ NextPort() };
  bool hasEnded{ true };
  Clock clock{ ClockMode::Running };
  EventLoop loop{ this->clock };
  HttpContext context{ this->loop };
  HttpServer server{ this->context,
                     "127.0.0.1:" + std::to_string(this->port),
                     [this](HttpRequest const& aRequest, HttpResponder const& aResponder) {
                       this->Handle(aRequest, aResponder);
                     },
                     1000 };
};

// The loop finished its turn after the front had ended: it read requests that the process never answered.
TEST_F(EndOfProcess, AnswersARequestThatIsReadInTheLastTurn)
{
  CallerConnection const caller(this->port);
  caller.Write(kHead + "hello");
  this->RunToTheEnd();
  EXPECT_NE(caller.ReadUntil("got hello").find("got hello"), std::string::npos);
}

// A request whose body was still arriving was cut.
TEST_F(EndOfProcess, AnswersARequestThatIsHalfRead)
{
  CallerConnection const caller(this->port);
  caller.Write(kHead + "he");
  this->clock.Schedule(50ms, [&] { caller.Write("llo"); });
  this->RunToTheEnd();
  EXPECT_NE(caller.ReadUntil("got hello").find("got hello"), std::string::npos);
}

// Callers that had just connected were cut before they had sent their request.
TEST_F(EndOfProcess, AnswersACallerThatHasJustConnected)
{
  CallerConnection const caller(this->port);
  this->clock.Schedule(30ms, [&] { caller.Write(kHead + "hello"); });
  this->RunToTheEnd();
  EXPECT_NE(caller.ReadUntil("got hello").find("got hello"), std::string::npos);
}

// The process ended with a part of a response in its buffers.
TEST_F(EndOfProcess, WritesResponsesToTheirEnd)
{
  CallerConnection const caller(this->port);
  caller.Write(kHead + "large");
  this->hasEnded = false;
  this->clock.Schedule(60ms, [this] { this->hasEnded = true; });
  std::string read;
  std::thread reader([&] {
    std::this_thread::sleep_for(150ms);
    read = caller.ReadUntil("END");
  });
  this->RunToTheEnd();
  reader.join();
  EXPECT_GT(read.size(), kLongBody);
}

// A caller that never completes its request must not keep the process alive.
TEST_F(EndOfProcess, DoesNotWaitLongForACallerThatStaysSilent)
{
  CallerConnection const silent(this->port);
  silent.Write(kHead + "he");
  auto const begunAt = this->clock.Now();
  this->RunToTheEnd();
  EXPECT_LT(this->clock.Now() - begunAt, 1500ms);
}

// Callers kept their connections to a stopping front, and sent requests on them until it ended.
TEST_F(EndOfProcess, ClosesConnectionsAfterResponsesWhenAsked)
{
  CallerConnection const caller(this->port);
  this->server.CloseAfterResponses();
  caller.Write(kHead + "hello");
  this->RunToTheEnd();
  // Reads to the end of the stream.
  auto const response = caller.ReadUntil("");
  EXPECT_NE(response.find("connection: close\r\n"), std::string::npos) << response;
  EXPECT_TRUE(response.ends_with("got hello")) << response;
}

}
