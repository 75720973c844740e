#include "SoakWorld.h"
#include <Platform/StandInTable.h>
#include <csignal>
#include <iostream>
#include <sys/wait.h>

namespace Hornbeam::Testing {

/// Time within which a started process must serve requests.
static constexpr Duration kMaxStartTime = 1500ms;
/// Tolerance beyond the grace time, within which a process must exit.
static constexpr Duration kExitSlack = 1500ms;
/// Time that a process may need to catch up after SIGCONT.
static constexpr Duration kRecoveryAfterContinue = 300ms;

/// The service of streams that last 2 to 6 s.
static constexpr char const* kSlowService = "slow";
static constexpr unsigned kSlowSlots = 64;
static constexpr Duration kSlowStageTime = 100ms;

static constexpr Duration kVersionedEventTime = 30ms;
/// How long endpoints of a new version serve at least, and how long they then serve on as leaving ones.
static constexpr Duration kMinReleaseTime = 1500ms;
static constexpr Duration kLeavingTime = 400ms;

/// A copy from which the store is restored is up to this old.
static constexpr Duration kCopyInterval = 4s;
/// Other writers than fronts have written again within two seconds.
static constexpr unsigned kMaxRewriteMs = 1900;

SoakWorld::SoakWorld(SoakSettings aSettings)
  : settings(std::move(aSettings))
  , nextPort(this->settings.firstPort)
  , states(this->settings.fronts)
{
  auto& uvLoop = this->loop.UvLoop();
  this->store = std::make_unique<StandInStore>(uvLoop, this->clock, this->NextAddress());
  this->store->Put("config", "main", this->NextTable());
  for (unsigned index = 0; index < 3; ++index) {
    this->AddEndpoint(EndpointKind::Plain, "ledger", index == 2 ? "b" : "a");
    this->AddEndpoint(EndpointKind::Model, "model", index == 2 ? "b" : "a");
    this->AddEndpoint(EndpointKind::Stage, "encode", index == 2 ? "b" : "a");
    this->AddEndpoint(EndpointKind::Stage, "rank", index == 2 ? "b" : "a");
  }
  if (this->settings.mode == SoakMode::PlannedStops)
    this->AddSlowEndpoints();
  if (this->settings.mode == SoakMode::Streams)
    this->AddVersionedEndpoints();
  std::vector<SoakFrontAddresses> all;
  for (unsigned index = 0; index < this->settings.fronts; ++index) {
    SoakFrontAddresses addresses;
    for (auto* address : { &addresses.callers,
                           &addresses.readiness,
                           &addresses.directory,
                           &addresses.peers,
                           &addresses.metrics,
                           &addresses.store,
                           &addresses.tunnels })
      *address = this->NextAddress();
    this->storeLinks.push_back(
      std::make_unique<SoakProxy>(uvLoop, this->clock, addresses.store, this->store->Address()));
    all.push_back(std::move(addresses));
  }
  for (unsigned index = 0; index < this->settings.fronts; ++index) {
    all[index].seeds = { all[0].peers, all[this->settings.fronts / 2].peers };
    this->fronts.push_back(std::make_unique<SoakFront>(this->settings.program,
                                                       this->settings.directory,
                                                       "front-" + std::to_string(index),
                                                       all[index],
                                                       this->settings.graceTime));
  }
}

std::string
SoakWorld::NextAddress()
{
  return "127.0.0.1:" + std::to_string(this->nextPort++);
}

void
SoakWorld::AddSlowEndpoints()
{
  for (auto& endpoint : this->endpoints)
    if (endpoint.standIn->Kind() == EndpointKind::Stage)
      endpoint.standIn->workTime = kSlowStageTime;
  for (auto const eventTime : { 50ms, 100ms, 150ms }) {
    auto& standIn = *this->AddEndpoint(EndpointKind::Model, kSlowService, "a").standIn;
    standIn.events = kSlowEvents;
    standIn.eventTime = eventTime;
  }
}

void
SoakWorld::AddVersionedEndpoints()
{
  for (std::string const version : { "v2", "v2", "v3" }) {
    auto& endpoint = this->AddEndpoint(EndpointKind::Model, "model", "a");
    endpoint.standIn->softwareVersion = version;
    endpoint.joined = false;
    this->store->Remove("servers", endpoint.standIn->Id());
  }
  for (auto& endpoint : this->endpoints) {
    if (endpoint.service != "model")
      continue;
    endpoint.standIn->includesVersion = true;
    endpoint.standIn->events = kVersionedEvents;
    endpoint.standIn->eventTime = kVersionedEventTime;
  }
}

void
SoakWorld::BeginRelease(SoakFault const& aFault)
{
  auto const version = "v" + std::to_string(2 + aFault.randomValue % 2);
  for (auto& endpoint : this->endpoints) {
    if (endpoint.standIn->softwareVersion != version || endpoint.joined)
      continue;
    ++endpoint.incarnation;
    endpoint.joined = true;
    this->PutEndpoint(endpoint, "ready");
    // It leaves after a while, and breaks off what it has left.
    this->RunAfter(aFault.length + kMinReleaseTime, [this, &endpoint] { this->PutEndpoint(endpoint, "draining"); });
    this->RunAfter(aFault.length + kMinReleaseTime + kLeavingTime, [this, &endpoint] {
      endpoint.joined = false;
      this->store->Remove("servers", endpoint.standIn->Id());
      endpoint.proxy->ResetAll();
    });
  }
}

nlohmann::json
SoakWorld::NextTable()
{
  auto table = StandInTable(++this->tableVersion);
  if (this->settings.mode != SoakMode::PlannedStops)
    return table;
  for (auto& service : table["services"])
    if (service.contains("segments"))
      service["segments"]["call_ms"] = double(Milliseconds(kSlowStageTime));
  table["services"].push_back({ { "name", kSlowService },
                                { "max_connections", 1000 },
                                { "cold_start_s", 2.0 },
                                { "cold_per_s", 10.0 },
                                { "engine", { { "slots", kSlowSlots } } } });
  auto& routes = table["route_table"];
  for (std::string const name : { "model", "staged" }) {
    auto const fast = std::ranges::find(
      routes, "/" + name + "/", [](auto const& aRoute) { return aRoute["path_prefix"].template get<std::string>(); });
    auto slow = *fast;
    slow["name"] = "slow-" + name;
    slow["path_prefix"] = "/slow-" + name + "/";
    slow["service"] = kSlowService;
    slow["timeout_ms"] = Milliseconds(kSlowTimeout);
    routes.push_back(std::move(slow));
  }
  return table;
}

SoakEndpoint&
SoakWorld::AddEndpoint(EndpointKind aKind, std::string const& aService, std::string const& aDataCenter)
{
  SoakEndpoint endpoint;
  endpoint.service = aService;
  endpoint.dataCenter = aDataCenter;
  auto const id = "i-" + aService + "-" + std::to_string(this->endpoints.size());
  auto const address = this->NextAddress();
  auto const publicAddress = this->NextAddress();
  endpoint.standIn = std::make_unique<StandInEndpoint>(this->loop.UvLoop(), this->clock, aKind, id, address);
  endpoint.standIn->SetPublicAddress(publicAddress);
  endpoint.standIn->includesRequestIds = true;
  endpoint.proxy = std::make_unique<SoakProxy>(this->loop.UvLoop(), this->clock, publicAddress, address);
  this->PutEndpoint(endpoint, "ready");
  this->endpoints.push_back(std::move(endpoint));
  return this->endpoints.back();
}

void
SoakWorld::PutEndpoint(SoakEndpoint const& aEndpoint, std::string const& aState)
{
  auto entry = StandInEntry(aEndpoint.service,
                            aEndpoint.standIn->PublicAddress(),
                            aState,
                            aEndpoint.dataCenter,
                            aEndpoint.incarnation,
                            aEndpoint.standIn->softwareVersion);
  if (aEndpoint.service == kSlowService)
    entry["slots"] = kSlowSlots;
  this->store->Put("servers", aEndpoint.standIn->Id(), std::move(entry));
}

void
SoakWorld::Start()
{
  for (auto const& front : this->fronts)
    front->Start();
  this->TakeCopies();
}

void
SoakWorld::RunAfter(Duration aTime, std::function<void()> aAction)
{
  this->clock.Schedule(aTime, std::move(aAction));
}

void
SoakWorld::Schedule(std::vector<SoakFault> const& aFaults)
{
  for (auto const& fault : aFaults)
    this->RunAfter(fault.at, [this, fault] { this->Begin(fault); });
}

void
SoakWorld::Begin(SoakFault const& aFault)
{
  std::cout << "fault=" << ToString(aFault.kind) << " at_ms=" << Milliseconds(aFault.at)
            << " length_ms=" << Milliseconds(aFault.length) << " target=" << aFault.target << "\n";
  if (aFault.kind <= SoakFaultKind::FrontReloadsSettings)
    this->BeginAtFront(aFault);
  else if (aFault.kind <= SoakFaultKind::TableChanges || aFault.kind >= SoakFaultKind::DataCenterOut)
    this->BeginAtStore(aFault);
  else if (aFault.kind <= SoakFaultKind::StoreLinkCutFrom)
    this->BeginAtLink(aFault, *this->storeLinks[aFault.target], SoakFaultKind::StoreLinkSlow);
  else if (aFault.kind <= SoakFaultKind::EndpointLinkSilent)
    this->BeginAtLink(aFault, *this->endpoints[aFault.target].proxy, SoakFaultKind::EndpointLinkSlow);
  else
    this->BeginAtEndpoint(aFault);
}

void
SoakWorld::MarkUnavailable(unsigned aFront)
{
  this->states[aFront].unavailablePeriods.push_back({ this->clock.Now() });
}

void
SoakWorld::MarkAvailable(unsigned aFront)
{
  for (auto& period : this->states[aFront].unavailablePeriods)
    if (period.end == MonotonicTime::max()) {
      period.end = this->clock.Now();
      return;
    }
}

bool
SoakWorld::WasUnavailable(unsigned aFront, MonotonicTime aBegin, MonotonicTime aEnd) const
{
  return std::ranges::any_of(this->states[aFront].unavailablePeriods, [&](UnavailablePeriod const& aPeriod) {
    return aPeriod.begin <= aEnd && aBegin <= aPeriod.end;
  });
}

void
SoakWorld::TerminateFront(unsigned aFront, int aSignal)
{
  auto& state = this->states[aFront];
  if (!state.exitExpected) {
    state.exitExpected = true;
    state.exitExpectedSince = this->clock.Now();
    this->MarkUnavailable(aFront);
  }
  this->fronts[aFront]->Signal(aSignal);
}

void
SoakWorld::BeginAtFront(SoakFault const& aFault)
{
  auto& state = this->states[aFault.target];
  auto& front = *this->fronts[aFault.target];
  switch (aFault.kind) {
    case SoakFaultKind::FrontKilled:
      return this->TerminateFront(aFault.target, SIGKILL);
    case SoakFaultKind::FrontTerminated:
      return this->TerminateFront(aFault.target, SIGTERM);
    case SoakFaultKind::FrontReloadsSettings:
      return front.Signal(SIGHUP);
    default:
      break;
  }
  ++state.stops;
  this->MarkUnavailable(aFault.target);
  front.Signal(SIGSTOP);
  this->RunAfter(aFault.length, [this, target = aFault.target] {
    auto& stopped = this->states[target];
    if (stopped.stops > 0 && --stopped.stops == 0) {
      this->fronts[target]->Signal(SIGCONT);
      stopped.exitExpectedSince = this->clock.Now();
    }
    this->RunAfter(kRecoveryAfterContinue, [this, target] { this->MarkAvailable(target); });
  });
}

void
SoakWorld::BeginAtStore(SoakFault const& aFault)
{
  auto const setBehavior = [&](StoreBehavior aBehavior) {
    this->store->behavior = aBehavior;
    this->RunAfter(aFault.length, [this, aBehavior] {
      this->store->behavior = StoreBehavior::Healthy;
      // Nothing tells fronts of the end of a silence.
      if (aBehavior != StoreBehavior::Silent)
        this->store->CutWatches();
    });
  };
  switch (aFault.kind) {
    case SoakFaultKind::StoreRefuses:
      setBehavior(StoreBehavior::Refusing);
      return this->store->CutWatches();
    case SoakFaultKind::StoreResets:
      setBehavior(StoreBehavior::Resetting);
      return this->store->CutWatches();
    case SoakFaultKind::StoreSilent:
      return setBehavior(StoreBehavior::Silent);
    case SoakFaultKind::StoreForgets:
      return this->store->DropHistory();
    case SoakFaultKind::StoreLosesResponses:
      this->store->responsesToLose += 1 + aFault.randomValue % 3;
      return;
    case SoakFaultKind::TableChanges:
      return this->store->Put("config", "main", this->NextTable());
    case SoakFaultKind::StoreRestored:
      return this->RestoreStore(aFault);
    case SoakFaultKind::Release:
      return this->BeginRelease(aFault);
    default:
      this->store->Put("evacuations", "b", nlohmann::json::object());
      this->RunAfter(aFault.length, [this] { this->store->Remove("evacuations", "b"); });
  }
}

void
SoakWorld::TakeCopies()
{
  this->store->TakeCopy();
  this->RunAfter(kCopyInterval, [this] { this->TakeCopies(); });
}

void
SoakWorld::RestoreStore(SoakFault const& aFault)
{
  bool const keepsWatches = aFault.randomValue % 2 == 0;
  if (!keepsWatches) {
    this->store->behavior = StoreBehavior::Resetting;
    this->store->CutWatches();
  }
  this->RunAfter(aFault.length, [this, keepsWatches] {
    this->store->behavior = StoreBehavior::Healthy;
    this->store->Restore(keepsWatches ? WaitingWatches::Kept : WaitingWatches::Cut);
  });
  auto const rewriteTime = std::chrono::milliseconds(aFault.randomValue / 2 % kMaxRewriteMs);
  this->RunAfter(aFault.length + rewriteTime, [this] { this->store->WriteAgain(); });
}

void
SoakWorld::BeginAtLink(SoakFault const& aFault, SoakProxy& aProxy, SoakFaultKind aSlow)
{
  // SoakFaultKind lists the faults of store links and of endpoint links in the same order.
  switch (static_cast<unsigned>(aFault.kind) - static_cast<unsigned>(aSlow)) {
    case 0:
      aProxy.Delay(std::chrono::milliseconds(5 + aFault.randomValue % 300));
      break;
    case 1:
      return aProxy.ResetAll();
    case 2:
      aProxy.Cut(SoakProxy::Direction::ToTarget);
      break;
    case 3:
      aProxy.Cut(SoakProxy::Direction::FromTarget);
      break;
    default:
      return aProxy.SilenceAll();
  }
  this->RunAfter(aFault.length, [&aProxy] { aProxy.ClearFaults(); });
}

void
SoakWorld::BeginAtEndpoint(SoakFault const& aFault)
{
  auto& endpoint = this->endpoints[aFault.target];
  if (!endpoint.joined)
    return;
  switch (aFault.kind) {
    case SoakFaultKind::EndpointFaulty: {
      static constexpr EndpointFault kFaults[] = {
        EndpointFault::Full,   EndpointFault::LostResponse, EndpointFault::MismatchedResponse, EndpointFault::BreakOff,
        EndpointFault::Silent, EndpointFault::Error,        EndpointFault::InputsGone,         EndpointFault::Pause
      };
      auto const fault = kFaults[aFault.randomValue % std::size(kFaults)];
      endpoint.standIn->faultOf = [fault](std::size_t aNumber) { return aNumber % 2 ? fault : EndpointFault::None; };
      if (aFault.randomValue / std::size(kFaults) % 2 == 0)
        endpoint.proxy->RemoveFraming();
      this->RunAfter(aFault.length, [&endpoint] {
        endpoint.standIn->faultOf = nullptr;
        endpoint.proxy->ClearFaults();
      });
      return;
    }
    case SoakFaultKind::EndpointSignals: {
      static Gateway::HeaderFields const kSignals[] = { { { "Server-Limit", "1" } },
                                                        { { "Server-Limit", "0" } },
                                                        { { "Server-Limit", "20" }, { "Retry-After", "0.5" } },
                                                        { { "Retry-After", "2" } },
                                                        { { "Server-Leaving", "1" } } };
      auto const& signals = kSignals[aFault.randomValue % std::size(kSignals)];
      endpoint.standIn->signals = signals;
      endpoint.standIn->faultOf = [](std::size_t aNumber) {
        return aNumber % 3 == 0 ? EndpointFault::Full : EndpointFault::None;
      };
      bool const leaves = Gateway::FindField(signals, "Server-Leaving") != nullptr;
      this->RunAfter(aFault.length, [this, &endpoint, leaves] {
        endpoint.standIn->signals.clear();
        endpoint.standIn->faultOf = nullptr;
        // Another process comes at the same address.
        endpoint.incarnation += leaves ? 1 : 0;
        this->PutEndpoint(endpoint, "ready");
      });
      return;
    }
    case SoakFaultKind::EndpointDrains:
      this->PutEndpoint(endpoint, "draining");
      // It comes back as another process.
      ++endpoint.incarnation;
      break;
    default:
      ++endpoint.incarnation;
      this->store->Remove("servers", endpoint.standIn->Id());
      endpoint.proxy->ResetAll();
  }
  this->RunAfter(aFault.length, [this, &endpoint] {
    if (endpoint.joined)
      this->PutEndpoint(endpoint, "ready");
  });
}

void
SoakWorld::CheckProcesses()
{
  auto const now = this->clock.Now();
  for (unsigned index = 0; index < this->fronts.size(); ++index) {
    auto& front = *this->fronts[index];
    auto& state = this->states[index];
    if (auto const status = front.TakeExitStatus()) {
      if (!state.exitExpected) {
        this->MarkUnavailable(index);
        this->violations.push_back(front.Name() + " exited unexpectedly, wait status " + std::to_string(*status));
      }
      state.exitExpected = false;
      state.stops = 0;
      front.Start();
      this->RunAfter(kMaxStartTime, [this, index] { this->MarkAvailable(index); });
      continue;
    }
    if (state.exitExpected && state.stops == 0 &&
        now - state.exitExpectedSince > this->settings.graceTime + kExitSlack) {
      this->violations.push_back(front.Name() + " did not exit within its grace period");
      state.exitExpectedSince = now;
      front.Signal(SIGKILL);
    }
  }
}

void
SoakWorld::ClearFaults()
{
  for (unsigned index = 0; index < this->fronts.size(); ++index) {
    this->states[index].stops = 0;
    this->fronts[index]->Signal(SIGCONT);
    this->storeLinks[index]->ClearFaults();
  }
  for (auto& endpoint : this->endpoints) {
    endpoint.proxy->ClearFaults();
    endpoint.standIn->faultOf = nullptr;
    endpoint.incarnation += endpoint.standIn->signals.empty() ? 0 : 1;
    endpoint.standIn->signals.clear();
    if (endpoint.joined)
      this->PutEndpoint(endpoint, "ready");
  }
  this->store->behavior = StoreBehavior::Healthy;
  this->store->responsesToLose = 0;
  this->store->CutWatches();
  if (this->store->Has("evacuations", "b"))
    this->store->Remove("evacuations", "b");
}

void
SoakWorld::RunFor(Duration aTime)
{
  bool due = false;
  this->RunAfter(aTime, [&due] { due = true; });
  this->loop.RunUntil([&due] { return due; });
}

}
