#include "RawEndpoint.h"

namespace Hornbeam::Testing {

using namespace Gateway;

/// Repeated bytes are not sent while more than this is unsent, so that they do not fill the memory of the test.
static constexpr std::size_t kMaxUnsentBytes = 1 << 20;

RawEndpoint::RawEndpoint(PlatformWorld& aWorld, std::string const& aService, unsigned aPort)
  : world(aWorld)
  , listener(aWorld.loop.UvLoop(), StreamTimeouts{}, [this](std::shared_ptr<TcpStream> aStream) {
    this->Serve(std::move(aStream));
  })
{
  auto const address = "127.0.0.1:" + std::to_string(aPort);
  VERIFY(this->listener.Open(address));
  aWorld.otherEndpoints.insert(address);
  aWorld.store->Put("servers", "i-raw-" + std::to_string(aPort), StandInEntry(aService, address, "ready", "a"));
}

void
RawEndpoint::Send(std::string const& aBytes)
{
  for (auto const& connection : this->connections)
    if (connection->open)
      connection->stream->Write(aBytes);
}

void
RawEndpoint::EndConnections(RawAnswer::Ending aEnding)
{
  for (auto const& connection : this->connections)
    this->End(connection, aEnding);
}

RawEndpoint::~RawEndpoint()
{
  this->EndConnections(RawAnswer::Ending::Reset);
  this->listener.Close();
  this->world.RunFor(5ms);
}

void
RawEndpoint::Serve(std::shared_ptr<TcpStream> aStream)
{
  auto const connection = std::make_shared<Connection>();
  connection->stream = std::move(aStream);
  this->connections.push_back(connection);
  std::weak_ptr<Connection> const weak = connection;
  StreamEvents events;
  events.onData = [this, weak](std::string_view aBytes) {
    auto const connection = weak.lock();
    connection->received += aBytes;
    this->Answer(connection);
  };
  events.onEnd = [this, weak](StreamEnd) { this->End(weak.lock(), RawAnswer::Ending::Reset); };
  connection->stream->SetEvents(std::move(events));
}

void
RawEndpoint::Answer(std::shared_ptr<Connection> const& aConnection)
{
  RequestParser parser(MessageLimits{});
  auto bytes = aConnection->received;
  if (parser.Feed(bytes) != ParseState::Done)
    return;
  aConnection->received.clear();
  auto const number = this->seen.size();
  this->seen.push_back(parser.Take());
  auto const answer = this->answerOf(this->seen.back(), number);
  this->sent += answer.bytes.size();
  aConnection->stream->Write(answer.bytes);
  for (auto const& late : answer.late)
    this->world.clock.Schedule(late.after, [aConnection, bytes = late.bytes] {
      if (aConnection->open)
        aConnection->stream->Write(bytes);
    });
  if (!answer.repeated.empty())
    this->Repeat(aConnection, answer.repeated, answer.repeatEvery);
  if (answer.ending == RawAnswer::Ending::Keep)
    return;
  if (answer.endAfter == Duration::zero())
    return this->End(aConnection, answer.ending);
  this->world.clock.Schedule(answer.endAfter,
                             [this, aConnection, ending = answer.ending] { this->End(aConnection, ending); });
}

void
RawEndpoint::Repeat(std::shared_ptr<Connection> const& aConnection, std::string const& aBytes, Duration aEvery)
{
  this->world.clock.Schedule(aEvery, [this, aConnection, aBytes, aEvery] {
    if (!aConnection->open)
      return;
    if (aConnection->stream->Unsent() < kMaxUnsentBytes) {
      this->sent += aBytes.size();
      aConnection->stream->Write(aBytes);
    }
    this->Repeat(aConnection, aBytes, aEvery);
  });
}

void
RawEndpoint::End(std::shared_ptr<Connection> const& aConnection, RawAnswer::Ending aEnding)
{
  if (!std::exchange(aConnection->open, false))
    return;
  if (aEnding == RawAnswer::Ending::Close)
    aConnection->stream->Close();
  else
    aConnection->stream->Reset();
}

std::string
RawHead(RequestMessage const& aRequest, std::string const& aFraming)
{
  return "HTTP/1.1 200 OK\r\nHornbeamfront-Request-Id: " + FieldValue(aRequest.fields, "Hornbeamfront-Request-Id") +
         "\r\nHornbeamfront-Response-Signature: signed\r\n" + aFraming + "\r\n";
}

}
