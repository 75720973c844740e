#include "StreamCallers.h"
#include <Platform/CallerRequest.h>
#include <iostream>

namespace Hornbeam::Testing {

using namespace Gateway;

/// How long a caller tries to get a whole stream.
static constexpr Duration kStreamTime = 9s;
static constexpr Duration kTryTimeout = 4s;
static constexpr Duration kResponseSlack = 2s;

StreamCallers::StreamCallers(SoakWorld& aWorld, unsigned aSeed)
  : world(aWorld)
  , connections(aWorld.loop.UvLoop(), aWorld.clock)
  , random(aSeed)
{
}

void
StreamCallers::Begin()
{
  auto const stream = std::make_shared<SoakStream>();
  stream->name = "s" + std::to_string(this->streams.size());
  stream->begin = this->world.clock.Now();
  this->streams.push_back(stream);
  this->Try(stream);
}

void
StreamCallers::TryLater(StreamPointer const& aStream, Duration aDelay)
{
  if (this->world.clock.Now() + aDelay - aStream->begin > kStreamTime) {
    aStream->ended = true;
    return;
  }
  this->world.clock.Schedule(aDelay, [this, aStream] { this->Try(aStream); });
}

void
StreamCallers::Try(StreamPointer const& aStream)
{
  auto const attempt = std::make_shared<StreamTry>();
  attempt->id = aStream->name + "t" + std::to_string(++this->tries);
  attempt->front = unsigned(this->random() % this->world.settings.fronts);
  CallerRequest request;
  request.target = "/model/x";
  request.id = attempt->id;
  request.body = "body of " + aStream->name;
  request.clientTimeout = kTryTimeout;
  // Prompts that share parts would come under suspicion together when their endpoints break off.
  request.extraFields = { { "Hornbeamfront-Prefix-Hash", aStream->name + "-a:10," + aStream->name + "-b:5" },
                          { "Hornbeamfront-Token-Usage", "35,9" } };
  if (aStream->lastEvent > 0) {
    ++this->takeUps;
    request.extraFields.emplace_back("Last-Event-Id", std::to_string(aStream->lastEvent));
    request.extraFields.emplace_back("Resumes", aStream->begunBy);
  }
  bool const takesUp = aStream->lastEvent > 0;
  CallEvents events;
  events.onHead = [this, attempt, takesUp](ResponseHead const& aHead) {
    attempt->head = aHead;
    this->takeUpsAnswered += takesUp && aHead.status == 200 ? 1 : 0;
  };
  events.onBody = [this, aStream, attempt](std::string const& aBytes) { this->OnBytes(*aStream, *attempt, aBytes); };
  events.onEnd = [this, aStream, attempt](CallEnd aEnd) { this->OnEnd(aStream, *attempt, aEnd); };
  auto const& address = this->world.fronts[attempt->front]->Addresses().callers;
  this->connections.Send(CallOf(request, address, kResponseSlack), std::move(events), Reuse::Kept);
}

void
StreamCallers::OnBytes(SoakStream& aStream, StreamTry& aTry, std::string_view aBytes) const
{
  if (aTry.head.status != 200)
    return;
  aTry.partial += aBytes;
  for (auto end = aTry.partial.find("\n\n"); end != std::string::npos; end = aTry.partial.find("\n\n")) {
    this->OnEvent(aStream, aTry, aTry.partial.substr(0, end));
    aTry.partial.erase(0, end + 2);
  }
}

void
StreamCallers::OnEvent(SoakStream& aStream, StreamTry const& aTry, std::string const& aEvent) const
{
  auto const number = aStream.lastEvent + 1;
  auto const expected = "id: " + std::to_string(number) + "\ndata: t" + std::to_string(number) + "-" + aTry.id + "@";
  if (!aEvent.starts_with(expected)) {
    aStream.violations.push_back("got \"" + aEvent + "\" after event " + std::to_string(aStream.lastEvent));
    return;
  }
  auto const version = aEvent.substr(expected.size());
  if (aStream.begunBy.empty()) {
    aStream.begunBy = aTry.id;
    aStream.version = version;
  } else if (version != aStream.version) {
    aStream.violations.push_back("began at " + aStream.version + " and got event " + std::to_string(number) + " of " +
                                 version + " by " + aTry.id + " at front-" + std::to_string(aTry.front));
  }
  aStream.lastEvent = number;
}

void
StreamCallers::OnEnd(StreamPointer const& aStream, StreamTry const& aTry, CallEnd aEnd)
{
  if (aEnd == CallEnd::Complete && aTry.head.status == 200) {
    aStream->ended = aStream->whole = true;
    if (aStream->lastEvent != kVersionedEvents || !aTry.partial.empty())
      aStream->violations.push_back("ended as complete after event " + std::to_string(aStream->lastEvent) + " with \"" +
                                    aTry.partial + "\"");
    return;
  }
  if (auto const* const retryAfter = FindField(aTry.head.fields, "Retry-After");
      aEnd == CallEnd::Complete && retryAfter != nullptr) {
    this->TryLater(aStream, FromSeconds(std::stod(*retryAfter)));
    return;
  }
  if (aEnd == CallEnd::Complete && aTry.head.status / 100 == 4) {
    aStream->violations.push_back("was rejected with status " + std::to_string(aTry.head.status));
    aStream->ended = true;
    return;
  }
  static constexpr Duration kDelays[] = { 0ms, 100ms, 1s };
  this->TryLater(aStream, kDelays[this->random() % std::size(kDelays)]);
}

void
StreamCallers::Load(Duration aTime, Duration aGap)
{
  auto const until = this->world.clock.Now() + aTime;
  while (this->world.clock.Now() < until) {
    this->Begin();
    this->world.RunFor(aGap);
    this->world.CheckProcesses();
  }
  while (std::ranges::any_of(this->streams, [](auto const& aStream) { return !aStream->ended; })) {
    this->world.CheckProcesses();
    this->world.RunFor(20ms);
  }
}

std::vector<std::string>
StreamCallers::CheckGuarantees() const
{
  std::vector<std::string> violations;
  for (auto const& stream : this->streams)
    for (auto const& violation : stream->violations)
      violations.push_back(stream->name + " " + violation);
  return violations;
}

void
StreamCallers::PrintCounts() const
{
  auto const whole = std::ranges::count_if(this->streams, [](auto const& aStream) { return aStream->whole; });
  std::cout << "  streams=" << this->streams.size() << " whole=" << whole << " tries=" << this->tries
            << " take_ups=" << this->takeUps << " take_ups_answered=" << this->takeUpsAnswered << "\n";
}

}
