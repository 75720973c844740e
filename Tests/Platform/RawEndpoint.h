#pragma once

#include "PlatformWorld.h"

namespace Hornbeam::Testing {

/// What a raw endpoint does on its connection after receiving a request.
struct RawAnswer
{
  enum class Ending
  {
    Close,
    Reset,
    Keep,
  };

  /// Bytes that are sent some time after the others.
  struct LateBytes
  {
    Duration after{ 0 };
    std::string bytes;
  };

  std::string bytes;
  Ending ending{ Ending::Keep };
  /// The time from the bytes to the end of the connection.
  Duration endAfter{ 0 };
  /// Sent again and again until the front closes the connection, if not empty.
  std::string repeated{};
  Duration repeatEvery{ 1ms };
  std::vector<LateBytes> late{};
};

/// An endpoint that answers with arbitrary bytes and ends its connections in any way.
class RawEndpoint
{
public:
  /// Registers the endpoint in the store of the world, as ready. aPort must be free.
  RawEndpoint(PlatformWorld& aWorld, std::string const& aService, unsigned aPort);
  RawEndpoint(RawEndpoint const&) = delete;
  RawEndpoint& operator=(RawEndpoint const&) = delete;
  ~RawEndpoint();

  /// Refuses new connections, as after the end of the process.
  void StopListening() { this->listener.Close(); }

  /// Sends bytes on all connections that are open.
  void Send(std::string const& aBytes);
  void EndConnections(RawAnswer::Ending aEnding);

  /// Returns the answer to a request by its number, starting at 0.
  std::function<RawAnswer(Gateway::RequestMessage const&, std::size_t)> answerOf;
  std::vector<Gateway::RequestMessage> seen;
  /// The number of bytes sent in all.
  std::size_t sent{ 0 };

private:
  struct Connection
  {
    std::shared_ptr<Gateway::TcpStream> stream;
    std::string received;
    bool open{ true };
  };

  void Serve(std::shared_ptr<Gateway::TcpStream> aStream);
  void Answer(std::shared_ptr<Connection> const& aConnection);
  void Repeat(std::shared_ptr<Connection> const& aConnection, std::string const& aBytes, Duration aEvery);
  void End(std::shared_ptr<Connection> const& aConnection, RawAnswer::Ending aEnding);

  PlatformWorld& world;
  std::vector<std::shared_ptr<Connection>> connections;
  Gateway::TcpListener listener;
};

/// Serializes a response head with the fields that a front requires of an endpoint, plus aFraming, such as
/// "Content-Length: 2\r\n".
std::string
RawHead(Gateway::RequestMessage const& aRequest, std::string const& aFraming = "");

}
