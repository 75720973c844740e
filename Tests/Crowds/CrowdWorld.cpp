#include "CrowdWorld.h"
#include <Platform/CallerRequest.h>
#include <Platform/StandInTable.h>
#include <filesystem>
#include <fstream>

namespace Hornbeam::Testing {

using namespace Gateway;

static constexpr char kDirectory[] = "crowds";
static constexpr unsigned kFirstPort = 30100;
static constexpr unsigned kPortsPerWorld = 10;
static constexpr std::size_t kMaxBodyBytes = 2 << 20;
static constexpr std::size_t kLargeResponseBytes = 2 << 20;
static constexpr std::size_t kLargeChunkBytes = 65536;
static constexpr Duration kTurn = 5ms;
/// Pieces that are sent to one connection in a turn at most, so that all connections advance together.
static constexpr unsigned kPiecesPerTurn = 4;

static unsigned portsAllocated = 0;

CrowdWorld::CrowdWorld()
  : nextPort(kFirstPort + portsAllocated)
{
  portsAllocated += kPortsPerWorld;
  auto& uvLoop = this->loop.UvLoop();
  this->store = std::make_unique<StandInStore>(uvLoop, this->clock, this->NextAddress());
  this->plain =
    std::make_unique<StandInEndpoint>(uvLoop, this->clock, EndpointKind::Plain, "i-plain", this->NextAddress());
  this->large = std::make_unique<HttpListener>(
    uvLoop, this->clock, [this](std::shared_ptr<Exchange> aExchange) { this->StreamLargeResponse(aExchange); });
  auto const largeAddress = this->NextAddress();
  VERIFY(this->large->Open(largeAddress));
  auto table = StandInTable(1);
  table["limits"]["max_body_bytes"] = kMaxBodyBytes;
  table["limits"]["header_timeout_ms"] = 3000;
  this->store->Put("config", "main", table);
  this->store->Put("servers", "i-plain", StandInEntry("ledger", this->plain->Address(), "ready", "a"));
  this->store->Put("servers", "i-large", StandInEntry("model", largeAddress, "ready", "a"));
  SoakFrontAddresses addresses;
  for (auto* address :
       { &addresses.callers, &addresses.readiness, &addresses.directory, &addresses.peers, &addresses.metrics })
    *address = this->NextAddress();
  addresses.store = this->store->Address();
  std::filesystem::create_directories(kDirectory);
  this->front = std::make_unique<SoakFront>(HORNBEAM_FRONT,
                                            kDirectory,
                                            "front-" + std::to_string(this->nextPort),
                                            addresses,
                                            2s,
                                            "  memory_mb: 120\n  max_descriptors: 512\n"
                                            "callers:\n  memory_mb: 16\n  max_connections: 60\n");
  this->front->Start();
  VERIFY(this->RunUntil([this] { return this->store->Count("fronts") == 1; }, 10s));
  this->RunUntil([] { return false; }, 100ms);
}

CrowdWorld::~CrowdWorld()
{
  this->EndCrowd();
}

std::string
CrowdWorld::NextAddress()
{
  return "127.0.0.1:" + std::to_string(this->nextPort++);
}

bool
CrowdWorld::RunUntil(std::function<bool()> const& aCondition, Duration aTime)
{
  bool due = false;
  auto const timer = this->clock.Schedule(aTime, [&] { due = true; });
  this->loop.RunUntil([&] { return due || aCondition(); });
  this->clock.Cancel(timer);
  return aCondition();
}

void
CrowdWorld::StreamLargeResponse(std::shared_ptr<Exchange> const& aExchange)
{
  auto const id = FieldValue(aExchange->Request().fields, "Hornbeamfront-Request-Id");
  aExchange->BeginStream({ 200,
                           { { "Content-Type", "text/plain" },
                             { "Hornbeamfront-Request-Id", id },
                             { "Hornbeamfront-Response-Signature", "signed" } } });
  this->SendMore(aExchange, kLargeResponseBytes);
}

void
CrowdWorld::SendMore(std::shared_ptr<Exchange> const& aExchange, std::size_t aLeft)
{
  for (; aLeft > 0 && aExchange->Unsent() == 0; aLeft -= kLargeChunkBytes)
    aExchange->SendChunk(std::string(kLargeChunkBytes, 'x'));
  if (aLeft == 0)
    return aExchange->EndStream();
  this->clock.Schedule(kTurn, [this, aExchange, aLeft] { this->SendMore(aExchange, aLeft); });
}

void
CrowdWorld::Feed(Caller& aCaller, CrowdInput const& aInput) const
{
  for (unsigned piece = 0; piece < kPiecesPerTurn; ++piece) {
    if (!aCaller.connected || aCaller.ended || aCaller.next > aInput.repeats + 1 || aCaller.stream->Unsent() > 0)
      return;
    bool const isLast = aCaller.next == aInput.repeats + 1;
    aCaller.stream->Write(aCaller.next == 0 ? aInput.first : isLast ? aInput.last : aInput.repeated);
    ++aCaller.next;
  }
}

void
CrowdWorld::RunCrowd(std::vector<std::string> const& aAddresses,
                     unsigned aCallers,
                     CrowdInput const& aInput,
                     Duration aTime)
{
  for (unsigned index = 0; index < aCallers; ++index) {
    auto caller = std::make_unique<Caller>();
    auto* const raw = caller.get();
    caller->stream =
      TcpStream::Connect(this->loop.UvLoop(), aAddresses[index % aAddresses.size()], {}, [raw](bool aConnected) {
        raw->connected = aConnected;
        raw->ended = !aConnected;
      });
    VERIFY(caller->stream != nullptr);
    StreamEvents events;
    events.onData = [](std::string_view) {};
    events.onEnd = [raw](StreamEnd) { raw->ended = true; };
    caller->stream->SetEvents(std::move(events));
    if (aInput.reads == ReadsResponses::No)
      caller->stream->PauseReading();
    this->crowd.push_back(std::move(caller));
  }
  auto const end = this->clock.Now() + aTime;
  while (this->clock.Now() < end) {
    for (auto const& caller : this->crowd)
      this->Feed(*caller, aInput);
    this->Measure();
    this->RunUntil([] { return false; }, kTurn);
  }
}

void
CrowdWorld::EndCrowd()
{
  for (auto const& caller : this->crowd)
    caller->stream->Reset();
  this->RunUntil([] { return false; }, 200ms);
  this->crowd.clear();
}

bool
CrowdWorld::FrontLives()
{
  return !this->front->TakeExitStatus() && this->front->IsRunning();
}

void
CrowdWorld::Measure()
{
  auto const directory = "/proc/" + std::to_string(this->front->Process());
  std::ifstream status(directory + "/status");
  for (std::string line; std::getline(status, line);)
    if (line.starts_with("VmHWM:"))
      this->highest.peakBytes = std::max(this->highest.peakBytes, std::stoul(line.substr(6)) * 1024);
  std::error_code failure;
  auto const files = std::filesystem::directory_iterator(directory + "/fd", failure);
  auto const count = failure ? 0 : std::size_t(std::distance(begin(files), end(files)));
  this->highest.descriptors = std::max(this->highest.descriptors, count);
}

unsigned
CrowdWorld::SendOrdinaryRequest()
{
  unsigned status = 0;
  bool ended = false;
  auto const done = [&](BufferedResponse aResponse) {
    ended = true;
    status = aResponse.status;
  };
  CallerRequest request;
  request.id = "ordinary";
  SendBuffered(this->ordinary, CallOf(request, this->Addresses().callers, 2s), done, Reuse::Fresh);
  this->RunUntil([&] { return ended; }, 10s);
  this->Measure();
  return status;
}

}
