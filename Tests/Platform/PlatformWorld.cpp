#include "PlatformWorld.h"
#include <cstdlib>

namespace Hornbeam::Testing {

using namespace Gateway;
using nlohmann::json;

/// Each world of a process uses its own range of ports. Test processes share the ranges and therefore run one at a
/// time, unless HORNBEAM_TEST_FIRST_PORT gives them other ranges.
static unsigned portsAllocated = 0;
static constexpr unsigned kDefaultFirstPort = 21000;
static constexpr unsigned kPortsPerFront = 6;
/// The ports of a world: at least so many, and so many besides those of its fronts, for the store and the endpoints.
static constexpr unsigned kMinPorts = 60;
static constexpr unsigned kPortsOfOthers = 40;

static unsigned
FirstPort()
{
  auto const* const port = std::getenv("HORNBEAM_TEST_FIRST_PORT");
  return port == nullptr ? kDefaultFirstPort : unsigned(std::stoul(port));
}

PlatformWorld::PlatformWorld(unsigned aFronts)
  : stopped(aFronts, false)
{
  this->basePort = FirstPort() + portsAllocated;
  portsAllocated += std::max(kMinPorts, aFronts * kPortsPerFront + kPortsOfOthers);
  this->nextPort = this->basePort + aFronts * kPortsPerFront;
  this->store = std::make_unique<StandInStore>(this->loop.UvLoop(), this->clock, this->NextAddress());
}

std::string
PlatformWorld::AddressOf(unsigned aFront, unsigned aPort) const
{
  return "127.0.0.1:" + std::to_string(this->basePort + aFront * kPortsPerFront + aPort);
}

std::string
PlatformWorld::NextAddress()
{
  return "127.0.0.1:" + std::to_string(this->nextPort++);
}

StandInEndpoint&
PlatformWorld::AddEndpoint(EndpointKind aKind,
                           std::string const& aService,
                           std::string const& aDataCenter,
                           std::string const& aVersion)
{
  auto const id = "i-" + aService + "-" + std::to_string(this->endpoints.size());
  this->endpoints.push_back(
    std::make_unique<StandInEndpoint>(this->loop.UvLoop(), this->clock, aKind, id, this->NextAddress()));
  this->endpoints.back()->softwareVersion = aVersion;
  this->Register(*this->endpoints.back(), aService, "ready", aDataCenter);
  return *this->endpoints.back();
}

void
PlatformWorld::Register(StandInEndpoint const& aEndpoint,
                        std::string const& aService,
                        std::string const& aState,
                        std::string const& aDataCenter)
{
  this->store->Put(
    "servers",
    aEndpoint.Id(),
    StandInEntry(aService, aEndpoint.PublicAddress(), aState, aDataCenter, 1, aEndpoint.softwareVersion));
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
  for (unsigned index = 0; index < this->stopped.size(); ++index)
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
  settings.tunnelAddress = this->AddressOf(aFront, 5);
  settings.storeAddress = this->storeAddress.empty() ? this->store->Address() : this->storeAddress;
  settings.seeds = this->seeds.empty() ? std::vector{ this->AddressOf(0, 3) } : this->seeds;
  settings.retries.slack = 50;
  settings.cold = { 1.5, 5 };
  settings.graceTime = this->graceTime;
  settings.firstStart = this->firstStart;
  settings.rollouts = this->rollouts;
  this->fronts.push_back(std::make_unique<GatewayFront>(
    settings,
    this->loop,
    [this, aFront] {
      this->stopped[aFront] = true;
      if (this->onStopped)
        this->onStopped(aFront);
    },
    this->ConnectorOf(aFront)));
  VERIFY(this->fronts.back()->Open());
  this->fronts.back()->Start();
}

bool
PlatformWorld::IsEndpoint(std::string const& aAddress) const
{
  return this->otherEndpoints.contains(aAddress) || std::ranges::any_of(this->endpoints, [&](auto const& aEndpoint) {
           return aEndpoint->PublicAddress() == aAddress;
         });
}

StreamConnector
PlatformWorld::ConnectorOf(unsigned aFront)
{
  return [this, aFront](std::string const& aAddress, StreamTimeouts aTimeouts, std::function<void(bool)> aDone) {
    auto& link = this->links[aFront];
    if (!this->IsEndpoint(aAddress))
      return TcpStream::Connect(this->loop.UvLoop(), aAddress, aTimeouts, std::move(aDone));
    if (link.state == LostLink::Hanging)
      // The front never hears of the connection.
      return TcpStream::Connect(this->loop.UvLoop(), aAddress, aTimeouts, [](bool) {});
    if (link.state == LostLink::OldKept)
      return TcpStream::Connect(this->loop.UvLoop(), "127.0.0.1:1", aTimeouts, std::move(aDone));
    auto stream = TcpStream::Connect(this->loop.UvLoop(), aAddress, aTimeouts, std::move(aDone));
    link.streams.push_back(stream);
    return stream;
  };
}

void
PlatformWorld::SetLink(unsigned aFront, LostLink aLink)
{
  auto& link = this->links[aFront];
  link.state = aLink;
  for (auto const& weak : link.streams)
    if (auto const stream = weak.lock()) {
      if (aLink == LostLink::Hanging)
        stream->PauseReading();
      else if (aLink == LostLink::None)
        stream->ResumeReading();
    }
}

bool
PlatformWorld::RunUntil(std::function<bool()> const& aCondition, Duration aTime)
{
  auto const limit = this->clock.Now() + aTime;
  // The event loop blocks until an event occurs; the timer limits how long.
  while (!aCondition() && this->clock.Now() < limit) {
    bool elapsed = false;
    auto const timer = this->clock.Schedule(2ms, [&elapsed] { elapsed = true; });
    this->loop.RunUntil([&] { return elapsed || aCondition(); });
    this->clock.Cancel(timer);
  }
  return aCondition();
}

void
PlatformWorld::RunFor(Duration aTime)
{
  this->RunUntil([] { return false; }, aTime);
}

std::shared_ptr<CallerResponse>
PlatformWorld::Send(unsigned aFront, CallerRequest const& aRequest, CallHandle* aHandle, Reuse aReuse)
{
  auto const response = std::make_shared<CallerResponse>();
  auto const start = this->clock.Now();
  CallEvents events;
  events.onHead = [response](ResponseHead const& aHead) {
    response->status = aHead.status;
    response->fields = aHead.fields;
  };
  events.onBody = [response](std::string aData) { response->body += aData; };
  events.onEnd = [this, response, start](CallEnd aEnd) {
    response->ended = true;
    response->end = aEnd;
    response->duration = this->clock.Now() - start;
  };
  auto const handle = this->callers.Send(CallOf(aRequest, this->AddressOf(aFront, 0), 2s), std::move(events), aReuse);
  if (aHandle != nullptr)
    *aHandle = handle;
  return response;
}

CallerResponse
PlatformWorld::Call(unsigned aFront, CallerRequest const& aRequest)
{
  auto const response = this->Send(aFront, aRequest);
  this->RunUntil([&] { return response->ended; }, aRequest.clientTimeout + 3s);
  return *response;
}

CallerResponse
PlatformWorld::Get(unsigned aFront, unsigned aPort, std::string const& aTarget)
{
  CallerResponse response;
  auto const done = [&response](BufferedResponse aResponse) {
    response.ended = true;
    response.end = aResponse.end;
    response.status = aResponse.status;
    response.body = std::move(aResponse.body);
  };
  SendBuffered(this->callers, GetRequestTo(this->AddressOf(aFront, aPort), aTarget), done, Reuse::Fresh);
  this->RunUntil([&] { return response.ended; });
  return response;
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
