#include "PlatformWorld.h"

namespace Hornbeam::Testing {

using namespace Gateway;
using nlohmann::json;

/// Worlds of one process take ports one after the other; the tests run one process at a time on these.
static unsigned portsTaken = 0;
static constexpr unsigned kFirstPort = 21000;
static constexpr unsigned kPortsPerFront = 5;

PlatformWorld::PlatformWorld(unsigned aFronts)
  : ended(aFronts, false)
{
  this->base = kFirstPort + portsTaken;
  portsTaken += 60;
  this->nextPort = this->base + aFronts * kPortsPerFront;
  this->store = std::make_unique<StandInStore>(this->loop.UvLoop(), this->clock, this->NextAddress());
}

std::string
PlatformWorld::AddressOf(unsigned aFront, unsigned aPort) const
{
  return "127.0.0.1:" + std::to_string(this->base + aFront * kPortsPerFront + aPort);
}

std::string
PlatformWorld::NextAddress()
{
  return "127.0.0.1:" + std::to_string(this->nextPort++);
}

StandInEndpoint&
PlatformWorld::AddEndpoint(EndpointKind aKind, std::string const& aService, std::string const& aDataCenter)
{
  auto const id = "i-" + aService + "-" + std::to_string(this->endpoints.size());
  this->endpoints.push_back(
    std::make_unique<StandInEndpoint>(this->loop.UvLoop(), this->clock, aKind, id, this->NextAddress()));
  this->Enter(*this->endpoints.back(), aService, "ready", aDataCenter);
  return *this->endpoints.back();
}

void
PlatformWorld::Enter(StandInEndpoint const& aEndpoint,
                     std::string const& aService,
                     std::string const& aState,
                     std::string const& aDataCenter)
{
  this->store->Put("servers", aEndpoint.Id(), StandInEntry(aService, aEndpoint.PublicAddress(), aState, aDataCenter));
}

void
PlatformWorld::PutTable(std::uint64_t aVersion, Duration aTimeout)
{
  this->store->Put("config", "main", StandInTable(aVersion, aTimeout));
}

void
PlatformWorld::Start()
{
  if (!this->store->Has("config", "main"))
    this->PutTable(1);
  for (unsigned index = 0; index < this->ended.size(); ++index)
    this->StartFront(index);
}

void
PlatformWorld::StartFront(unsigned aFront)
{
  GatewaySettings settings;
  settings.name = "front-" + std::to_string(aFront);
  settings.dataCenter = "a";
  settings.region = "r";
  settings.callerAddress = this->AddressOf(aFront, 0);
  settings.readinessAddress = this->AddressOf(aFront, 1);
  settings.directoryAddress = this->AddressOf(aFront, 2);
  settings.peerAddress = this->AddressOf(aFront, 3);
  settings.metricsAddress = this->AddressOf(aFront, 4);
  settings.storeAddress = this->store->Address();
  settings.seeds = { this->AddressOf(0, 3) };
  settings.retries.slack = 50;
  settings.cold = { 1.5, 5 };
  this->fronts.push_back(
    std::make_unique<GatewayFront>(settings, this->loop, [this, aFront] { this->ended[aFront] = true; }));
  VERIFY(this->fronts.back()->Open());
  this->fronts.back()->Start();
}

bool
PlatformWorld::RunUntil(std::function<bool()> const& aCondition, Duration aTime)
{
  auto const limit = this->clock.Now() + aTime;
  // The loop sleeps until something happens; a timer bounds each sleep.
  while (!aCondition() && this->clock.Now() < limit) {
    bool turned = false;
    auto const timer = this->clock.Schedule(2ms, [&turned] { turned = true; });
    this->loop.RunUntil([&] { return turned || aCondition(); });
    this->clock.Cancel(timer);
  }
  return aCondition();
}

void
PlatformWorld::RunFor(Duration aTime)
{
  this->RunUntil([] { return false; }, aTime);
}

std::shared_ptr<CallerAnswer>
PlatformWorld::Send(unsigned aFront, CallerRequest const& aRequest, CallHandle* aHandle, Reuse aReuse)
{
  auto const answer = std::make_shared<CallerAnswer>();
  auto const began = this->clock.Now();
  CallEvents events;
  events.onHead = [answer](ResponseHead const& aHead) {
    answer->status = aHead.status;
    answer->fields = aHead.fields;
  };
  events.onBody = [answer](std::string aPiece) { answer->body += aPiece; };
  events.onEnd = [this, answer, began](CallEnd aEnd) {
    answer->ended = true;
    answer->end = aEnd;
    answer->took = this->clock.Now() - began;
  };
  auto const handle = this->callers.Send(CallOf(aRequest, this->AddressOf(aFront, 0), 2s), std::move(events), aReuse);
  if (aHandle != nullptr)
    *aHandle = handle;
  return answer;
}

CallerAnswer
PlatformWorld::Call(unsigned aFront, CallerRequest const& aRequest)
{
  auto const answer = this->Send(aFront, aRequest);
  this->RunUntil([&] { return answer->ended; }, aRequest.clientTimeout + 3s);
  return *answer;
}

CallerAnswer
PlatformWorld::Ask(unsigned aFront, unsigned aPort, std::string const& aTarget)
{
  CallerAnswer answer;
  auto const done = [&answer](BufferedResponse aResponse) {
    answer.ended = true;
    answer.end = aResponse.end;
    answer.status = aResponse.status;
    answer.body = std::move(aResponse.body);
  };
  SendBuffered(this->callers, GetRequestTo(this->AddressOf(aFront, aPort), aTarget), done, Reuse::Fresh);
  this->RunUntil([&] { return answer.ended; });
  return answer;
}

std::string
PlatformWorld::SendRaw(unsigned aFront, std::string const& aBytes, Duration aTime)
{
  std::string received;
  bool done = false;
  std::shared_ptr<TcpStream> stream;
  stream = TcpStream::Connect(this->loop.UvLoop(), this->AddressOf(aFront, 0), {}, [&](bool aConnected) {
    if (aConnected)
      stream->Write(aBytes);
  });
  StreamEvents events;
  events.onData = [&](std::string_view aData) { received += aData; };
  events.onEnd = [&](StreamEnd) { done = true; };
  stream->SetEvents(std::move(events));
  this->RunUntil([&] { return done; }, aTime);
  stream->Reset();
  this->RunFor(2ms);
  return received;
}

}
