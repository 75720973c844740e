#include "SoakWorld.h"
#include <Platform/StandInTable.h>
#include <csignal>
#include <iostream>
#include <sys/wait.h>

namespace Hornbeam::Testing {

/// From the start of a process until it must serve.
static constexpr Duration kStartTime = 1500ms;
/// The grace time of the fronts' settings, and what an end may take beyond it.
static constexpr Duration kEndTime = 3s + 1500ms;
/// How long a process may need to catch up after it was stopped.
static constexpr Duration kTroubleAfterContinue = 300ms;

SoakWorld::SoakWorld(SoakSettings aSettings)
  : settings(std::move(aSettings))
  , nextPort(this->settings.firstPort)
  , states(this->settings.fronts)
{
  auto& uvLoop = this->loop.Embedded();
  this->store = std::make_unique<StandInStore>(uvLoop, this->clock, this->NextAddress());
  this->store->Put("config", "main", StandInTable(this->tableVersion));
  for (unsigned index = 0; index < 3; ++index) {
    this->AddEndpoint(EndpointKind::Plain, "ledger", index == 2 ? "b" : "a");
    this->AddEndpoint(EndpointKind::Model, "model", index == 2 ? "b" : "a");
    this->AddEndpoint(EndpointKind::Stage, "encode", index == 2 ? "b" : "a");
    this->AddEndpoint(EndpointKind::Stage, "rank", index == 2 ? "b" : "a");
  }
  std::vector<SoakFrontAddresses> all;
  for (unsigned index = 0; index < this->settings.fronts; ++index) {
    SoakFrontAddresses addresses;
    for (auto* address : { &addresses.callers,
                           &addresses.readiness,
                           &addresses.directory,
                           &addresses.peers,
                           &addresses.metrics,
                           &addresses.store })
      *address = this->NextAddress();
    this->storeLinks.push_back(
      std::make_unique<SoakProxy>(uvLoop, this->clock, addresses.store, this->store->Address()));
    all.push_back(std::move(addresses));
  }
  for (unsigned index = 0; index < this->settings.fronts; ++index) {
    all[index].seeds = { all[0].peers, all[this->settings.fronts / 2].peers };
    this->fronts.push_back(std::make_unique<SoakFront>(
      this->settings.program, this->settings.directory, "front-" + std::to_string(index), all[index]));
  }
}

std::string
SoakWorld::NextAddress()
{
  return "127.0.0.1:" + std::to_string(this->nextPort++);
}

void
SoakWorld::AddEndpoint(EndpointKind aKind, std::string const& aService, std::string const& aDataCenter)
{
  SoakEndpoint endpoint;
  endpoint.service = aService;
  endpoint.dataCenter = aDataCenter;
  auto const id = "i-" + aService + "-" + std::to_string(this->endpoints.size());
  auto const address = this->NextAddress();
  auto const publicAddress = this->NextAddress();
  endpoint.standIn = std::make_unique<StandInEndpoint>(this->loop.Embedded(), this->clock, aKind, id, address);
  endpoint.standIn->SetPublicAddress(publicAddress);
  endpoint.standIn->includesRequestIds = true;
  endpoint.proxy = std::make_unique<SoakProxy>(this->loop.Embedded(), this->clock, publicAddress, address);
  this->Enter(endpoint, "ready");
  this->endpoints.push_back(std::move(endpoint));
}

void
SoakWorld::Enter(SoakEndpoint const& aEndpoint, std::string const& aState)
{
  this->store->Put(
    "servers",
    aEndpoint.standIn->Id(),
    StandInEntry(
      aEndpoint.service, aEndpoint.standIn->PublicAddress(), aState, aEndpoint.dataCenter, aEndpoint.incarnation));
}

void
SoakWorld::Start()
{
  for (auto const& front : this->fronts)
    front->Start();
}

void
SoakWorld::After(Duration aTime, std::function<void()> aAction)
{
  this->clock.Schedule(aTime, std::move(aAction));
}

void
SoakWorld::Schedule(std::vector<SoakFault> const& aFaults)
{
  for (auto const& fault : aFaults)
    this->After(fault.at, [this, fault] { this->Begin(fault); });
}

void
SoakWorld::Begin(SoakFault const& aFault)
{
  std::cout << "fault=" << ToString(aFault.kind) << " at_ms=" << Milliseconds(aFault.at)
            << " length_ms=" << Milliseconds(aFault.length) << " target=" << aFault.target << "\n";
  if (aFault.kind <= SoakFaultKind::FrontSettingsSignal)
    this->BeginAtFront(aFault);
  else if (aFault.kind <= SoakFaultKind::TableChanges || aFault.kind == SoakFaultKind::DataCenterOut)
    this->BeginAtStore(aFault);
  else if (aFault.kind <= SoakFaultKind::StoreLinkCutFrom)
    this->BeginAtLink(aFault, *this->storeLinks[aFault.target], SoakFaultKind::StoreLinkSlow);
  else if (aFault.kind <= SoakFaultKind::EndpointLinkSilent)
    this->BeginAtLink(aFault, *this->endpoints[aFault.target].proxy, SoakFaultKind::EndpointLinkSlow);
  else
    this->BeginAtEndpoint(aFault);
}

void
SoakWorld::BeginTrouble(unsigned aFront)
{
  this->states[aFront].troubles.push_back({ this->clock.Now() });
}

void
SoakWorld::EndTrouble(unsigned aFront)
{
  for (auto& trouble : this->states[aFront].troubles)
    if (trouble.end == MonotonicTime::max()) {
      trouble.end = this->clock.Now();
      return;
    }
}

bool
SoakWorld::WasInTrouble(unsigned aFront, MonotonicTime aBegin, MonotonicTime aEnd) const
{
  return std::ranges::any_of(this->states[aFront].troubles, [&](FrontTrouble const& aTrouble) {
    return aTrouble.begin <= aEnd && aBegin <= aTrouble.end;
  });
}

void
SoakWorld::EndFront(unsigned aFront, int aSignal)
{
  auto& state = this->states[aFront];
  if (!state.endWanted) {
    state.endWanted = true;
    state.endWantedAt = this->clock.Now();
    this->BeginTrouble(aFront);
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
      return this->EndFront(aFault.target, SIGKILL);
    case SoakFaultKind::FrontTerminated:
      return this->EndFront(aFault.target, SIGTERM);
    case SoakFaultKind::FrontSettingsSignal:
      return front.Signal(SIGHUP);
    default:
      break;
  }
  ++state.stops;
  this->BeginTrouble(aFault.target);
  front.Signal(SIGSTOP);
  this->After(aFault.length, [this, target = aFault.target] {
    auto& stopped = this->states[target];
    if (stopped.stops > 0 && --stopped.stops == 0) {
      this->fronts[target]->Signal(SIGCONT);
      stopped.endWantedAt = this->clock.Now();
    }
    this->After(kTroubleAfterContinue, [this, target] { this->EndTrouble(target); });
  });
}

void
SoakWorld::BeginAtStore(SoakFault const& aFault)
{
  auto const behaves = [&](StoreBehavior aBehavior) {
    this->store->behavior = aBehavior;
    this->After(aFault.length, [this] {
      this->store->behavior = StoreBehavior::Healthy;
      this->store->CutWatches();
    });
  };
  switch (aFault.kind) {
    case SoakFaultKind::StoreRefuses:
      behaves(StoreBehavior::Refusing);
      return this->store->CutWatches();
    case SoakFaultKind::StoreResets:
      behaves(StoreBehavior::Resetting);
      return this->store->CutWatches();
    case SoakFaultKind::StoreSilent:
      return behaves(StoreBehavior::Silent);
    case SoakFaultKind::StoreForgets:
      return this->store->DropHistory();
    case SoakFaultKind::StoreLosesAnswers:
      this->store->responsesToLose += 1 + aFault.draw % 3;
      return;
    case SoakFaultKind::TableChanges:
      return this->store->Put("config", "main", StandInTable(++this->tableVersion));
    default:
      this->store->Put("evacuations", "b", nlohmann::json::object());
      this->After(aFault.length, [this] { this->store->Remove("evacuations", "b"); });
  }
}

void
SoakWorld::BeginAtLink(SoakFault const& aFault, SoakProxy& aProxy, SoakFaultKind aSlow)
{
  // The kinds of both sorts of links stand in the same order.
  switch (static_cast<unsigned>(aFault.kind) - static_cast<unsigned>(aSlow)) {
    case 0:
      aProxy.Delay(std::chrono::milliseconds(5 + aFault.draw % 300));
      break;
    case 1:
      return aProxy.ResetAll();
    case 2:
      aProxy.Cut(SoakProxy::Way::ToTarget);
      break;
    case 3:
      aProxy.Cut(SoakProxy::Way::FromTarget);
      break;
    default:
      return aProxy.SilenceAll();
  }
  this->After(aFault.length, [&aProxy] { aProxy.Heal(); });
}

void
SoakWorld::BeginAtEndpoint(SoakFault const& aFault)
{
  auto& endpoint = this->endpoints[aFault.target];
  switch (aFault.kind) {
    case SoakFaultKind::EndpointFaulty: {
      static constexpr EndpointFault kFaults[] = {
        EndpointFault::Full,   EndpointFault::LostResponse, EndpointFault::MismatchedResponse, EndpointFault::BreakOff,
        EndpointFault::Silent, EndpointFault::Error,        EndpointFault::InputsGone,         EndpointFault::Pause
      };
      auto const fault = kFaults[aFault.draw % std::size(kFaults)];
      endpoint.standIn->faultOf = [fault](std::size_t aNumber) { return aNumber % 2 ? fault : EndpointFault::None; };
      this->After(aFault.length, [&endpoint] { endpoint.standIn->faultOf = nullptr; });
      return;
    }
    case SoakFaultKind::EndpointLeaves:
      this->Enter(endpoint, "draining");
      break;
    default:
      ++endpoint.incarnation;
      this->store->Remove("servers", endpoint.standIn->Id());
      endpoint.proxy->ResetAll();
  }
  this->After(aFault.length, [this, &endpoint] { this->Enter(endpoint, "ready"); });
}

void
SoakWorld::Review()
{
  auto const now = this->clock.Now();
  for (unsigned index = 0; index < this->fronts.size(); ++index) {
    auto& front = *this->fronts[index];
    auto& state = this->states[index];
    if (auto const status = front.TakeEnd()) {
      if (!state.endWanted) {
        this->BeginTrouble(index);
        this->faults.push_back(front.Name() + " ended by itself, wait status " + std::to_string(*status));
      }
      state.endWanted = false;
      state.stops = 0;
      front.Start();
      this->After(kStartTime, [this, index] { this->EndTrouble(index); });
      continue;
    }
    if (state.endWanted && state.stops == 0 && now - state.endWantedAt > kEndTime) {
      this->faults.push_back(front.Name() + " did not end within its grace time");
      state.endWantedAt = now;
      front.Signal(SIGKILL);
    }
  }
}

void
SoakWorld::Calm()
{
  for (unsigned index = 0; index < this->fronts.size(); ++index) {
    this->states[index].stops = 0;
    this->fronts[index]->Signal(SIGCONT);
    this->storeLinks[index]->Heal();
  }
  for (auto& endpoint : this->endpoints) {
    endpoint.proxy->Heal();
    endpoint.standIn->faultOf = nullptr;
    this->Enter(endpoint, "ready");
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
  this->After(aTime, [&due] { due = true; });
  this->loop.RunUntil([&due] { return due; });
}

}
