#include "World.h"
#include <algorithm>

namespace Hornbeam {

static constexpr Duration kStep = 1ms;
static constexpr Duration kPeerDelay = 1ms;
static constexpr Duration kPeerTimeout = 1s;
static constexpr Duration kConnectDelay = 1ms;
/// The time within which an accepted configuration must be in force everywhere, promised as "a few seconds".
static constexpr Duration kInForceWithin = 4s;

/// One front process with its own clock, so that it can be frozen by itself.
struct World::Process
{
  std::string name;
  std::string dataCenter;
  std::string peerAddress;
  Clock clock{ ClockMode::Paused };
  StorePort store;
  PeerPort peers;
  EndpointPort endpoints;
  std::unique_ptr<Front> front;
  PeerHandlers handlers;
  bool alive{ true };
  bool ended{ false };
  Reachability storeReach{ Reachability::Connected };
  Reachability peerReach{ Reachability::Connected };
  MonotonicTime frozenUntil{};
  Duration missedTime{ 0 };
  std::vector<std::function<void()>> inbox;
  std::vector<std::function<void()>> cancels;
  Revision newestTable{ 0 };
};

World::World(std::uint64_t aSeed)
  : clock(ClockMode::Paused)
  , store(this->clock)
  , random(aSeed)
{
}

World::~World() = default;

void
World::Report(std::string aViolation)
{
  if (this->violations.size() < 20)
    this->violations.push_back(std::to_string(Milliseconds(this->clock.Now().time_since_epoch())) +
                               " ms: " + aViolation);
}

void
World::AddFront(std::string const& aName, std::string const& aDataCenter)
{
  this->StartProcess(aName, aDataCenter);
}

void
World::StartProcess(std::string const& aName, std::string const& aDataCenter)
{
  auto const process = std::make_shared<Process>();
  process->name = aName;
  process->dataCenter = aDataCenter;
  process->peerAddress = aName + ":1";
  process->clock.Jump(this->clock.Now() - process->clock.Now());
  process->store = this->StorePortFor(process);
  process->peers = this->PeerPortFor(process);
  process->endpoints = this->EndpointPortFor(process);
  FrontSettings settings;
  settings.name = aName;
  settings.deployment = "test";
  settings.dataCenter = aDataCenter;
  settings.peerAddress = process->peerAddress;
  settings.callerAddress = aName + ":2";
  settings.administrationToken = "test-token";
  settings.callers.keepAddress = 2s;
  settings.policy = this->policy;
  settings.shutdownGrace = this->shutdownGrace;
  auto* const raw = process.get();
  process->front =
    std::make_unique<Front>(settings,
                            ++this->lastIncarnation,
                            FrontPorts{ process->clock, process->store, process->peers, process->endpoints },
                            [raw] { raw->ended = true; });
  process->handlers = process->front->Handlers();
  this->processes[aName] = process;
  process->front->Start();
}

FakeEndpoint&
World::AddEndpoint(std::string const& aName, EndpointModelSettings aSettings)
{
  auto& endpoint = this->endpoints[aName];
  endpoint = std::make_unique<FakeEndpoint>(this->clock, aSettings);
  return *endpoint;
}

Front&
World::FrontNamed(std::string const& aName)
{
  return *this->processes.at(aName)->front;
}

bool
World::IsAlive(std::string const& aName) const
{
  return this->processes.at(aName)->alive;
}

bool
World::HasEnded(std::string const& aName) const
{
  return this->processes.at(aName)->ended;
}

void
World::Kill(std::string const& aName)
{
  auto const process = this->processes.at(aName);
  process->alive = false;
  for (auto const& cancel : process->cancels)
    cancel();
  this->killedProcesses.push_back(process);
}

void
World::Restart(std::string const& aName)
{
  auto const before = this->processes.at(aName);
  if (before->alive)
    this->Kill(aName);
  this->StartProcess(aName, before->dataCenter);
}

void
World::Freeze(std::string const& aName, Duration aDuration)
{
  this->processes.at(aName)->frozenUntil = this->clock.Now() + aDuration;
}

void
World::SetStoreReachable(std::string const& aName, Reachability aReachability)
{
  this->processes.at(aName)->storeReach = aReachability;
}

void
World::SetPeersReachable(std::string const& aName, Reachability aReachability)
{
  this->processes.at(aName)->peerReach = aReachability;
}

void
World::Shutdown(std::string const& aName)
{
  this->FrontNamed(aName).Find<ShutdownService>(ServiceName::kShutdown).Begin();
}

void
World::Deliver(std::shared_ptr<Process> const& aProcess, Duration aDelay, std::function<void()> aAction)
{
  this->clock.Schedule(aDelay, [this, aProcess, action = std::move(aAction)] {
    if (!aProcess->alive || aProcess->ended)
      return;
    if (this->clock.Now() < aProcess->frozenUntil)
      aProcess->inbox.push_back(action);
    else
      action();
  });
}

StorePort
World::StorePortFor(std::shared_ptr<Process> const& aProcess)
{
  auto* const raw = aProcess.get();
  std::weak_ptr<Process> const weak = aProcess;
  auto const guard = [this, weak](StoreCallback aDone) -> StoreCallback {
    return [this, weak, aDone](StoreResponse aResponse) {
      if (auto const process = weak.lock())
        this->Deliver(process, 0ms, [aDone, aResponse] { aDone(aResponse); });
    };
  };
  StorePort port;
  port.read = [this, raw, guard](std::string const& aKey, StoreCallback aDone) {
    if (raw->storeReach == Reachability::Cut)
      this->store.TimeOut(guard(std::move(aDone)));
    else
      this->store.Read(aKey, guard(std::move(aDone)));
  };
  port.write =
    [this, raw, guard](std::string const& aKey, std::string aValue, StoreVersion aExpected, StoreCallback aDone) {
      if (raw->storeReach == Reachability::Cut)
        this->store.TimeOut(guard(std::move(aDone)));
      else
        this->store.Write(aKey, std::move(aValue), aExpected, guard(std::move(aDone)));
    };
  port.watch = [this, raw, guard](std::string const& aKey, StoreVersion aKnown, StoreCallback aDone) {
    auto const checked = [raw, done = guard(std::move(aDone))](StoreResponse aResponse) {
      done(raw->storeReach == Reachability::Cut ? StoreResponse() : aResponse);
    };
    if (raw->storeReach == Reachability::Cut)
      this->store.TimeOut(checked);
    else
      this->store.Watch(aKey, aKnown, checked);
  };
  port.listVms = [this, weak](std::function<void(VmListResponse)> aDone) {
    this->store.ListVms([this, weak, aDone](VmListResponse aResponse) {
      auto const process = weak.lock();
      if (!process)
        return;
      bool const cut = process->storeReach == Reachability::Cut;
      this->Deliver(process, 0ms, [aDone, response = cut ? VmListResponse() : aResponse] { aDone(response); });
    });
  };
  return port;
}

std::shared_ptr<World::Process>
World::ProcessAt(std::string const& aPeerAddress) const
{
  for (auto const& [name, process] : this->processes) {
    if (process->peerAddress == aPeerAddress && process->alive && !process->ended)
      return process;
  }
  return nullptr;
}

bool
World::IsConnected(Process const& aFrom, Process const& aTo) const
{
  return aFrom.peerReach == Reachability::Connected && aTo.peerReach == Reachability::Connected;
}

PeerPort
World::PeerPortFor(std::shared_ptr<Process> const& aProcess)
{
  std::weak_ptr<Process> const weak = aProcess;
  // Calls a peer. aDone is called at most once, with std::nullopt when there is no response within the timeout.
  auto const call = [this,
                     weak]<typename Response>(Member const& aPeer,
                                              Duration aTimeout,
                                              std::function<void(std::optional<Response>)> aDone,
                                              std::function<void(Process&, std::function<void(Response)>)> aServe) {
    auto const from = weak.lock();
    auto const responded = std::make_shared<bool>(false);
    auto const done = [responded, aDone](std::optional<Response> aResponse) {
      if (!std::exchange(*responded, true))
        aDone(std::move(aResponse));
    };
    this->Deliver(from, aTimeout, [done] { done(std::nullopt); });
    auto const to = this->ProcessAt(aPeer.peerAddress);
    if (!to || !this->IsConnected(*from, *to))
      return;
    this->Deliver(to, kPeerDelay, [this, from, to, aServe, done] {
      aServe(*to, [this, from, to, done](Response aResponse) {
        if (this->IsConnected(*from, *to))
          this->Deliver(from, kPeerDelay, [done, aResponse] { done(aResponse); });
      });
    });
  };
  PeerPort port;
  port.heartbeat = [call](Member const& aPeer, Heartbeat const& aHeartbeat, auto aDone) {
    call.operator()<Heartbeat>(aPeer, kPeerTimeout, aDone, [aHeartbeat](Process& aTo, auto aResponse) {
      aResponse(aTo.handlers.onHeartbeat(aHeartbeat));
    });
  };
  port.requestGrants = [call](Member const& aPeer, GrantBatch const& aBatch, auto aDone) {
    call.operator()<GrantBatchResponse>(aPeer, kPeerTimeout, aDone, [aBatch](Process& aTo, auto aResponse) {
      aResponse(aTo.handlers.onGrantBatch(aBatch));
    });
  };
  port.fetchTable = [call](Member const& aPeer, auto aDone) {
    call.operator()<std::string>(
      aPeer, kPeerTimeout, aDone, [](Process& aTo, auto aResponse) { aResponse(aTo.handlers.onFetchTable()); });
  };
  port.recallGrant = [this, weak](Member const& aPeer, std::string const& aKey) {
    auto const from = weak.lock();
    auto const to = this->ProcessAt(aPeer.peerAddress);
    if (to && this->IsConnected(*from, *to))
      this->Deliver(to, kPeerDelay, [to, aKey] { to->handlers.onRecallGrant(aKey); });
  };
  port.forward = [call](Member const& aPeer, ForwardedRequest const& aRequest, Duration aTimeout, auto aDone) {
    call.operator()<std::string>(aPeer, aTimeout, aDone, [aRequest](Process& aTo, auto aResponse) {
      aTo.handlers.onForward(aRequest, aResponse);
    });
  };
  return port;
}

EndpointPort
World::EndpointPortFor(std::shared_ptr<Process> const& aProcess)
{
  std::weak_ptr<Process> const weak = aProcess;
  EndpointPort port;
  port.run = [this, weak](EndpointCall aCall, EndpointEvents aEvents) -> std::function<void()> {
    auto const from = weak.lock();
    struct Exchange
    {
      bool ended{ false };
      bool sent{ false };
      std::function<void()> cancel;
    };
    auto const exchange = std::make_shared<Exchange>();
    auto const end = [exchange, onEnd = aEvents.onEnd](EndpointCallEnd aEnd) {
      if (!std::exchange(exchange->ended, true))
        onEnd(aEnd);
    };
    auto const name = aCall.address.substr(0, aCall.address.find(':'));
    this->Deliver(from, kConnectDelay, [this, from, exchange, end, aCall, aEvents, name] {
      if (exchange->ended)
        return;
      auto const endpoint = this->endpoints.find(name);
      if (endpoint == this->endpoints.end() || !endpoint->second->alive) {
        end({ HttpCallEnd::NotSent, "connection refused" });
        return;
      }
      if (!aEvents.mayStillSend()) {
        end({ HttpCallEnd::NotSent, "permission withdrawn" });
        return;
      }
      exchange->sent = true;
      exchange->cancel = endpoint->second->Run(
        aCall,
        [this, from, exchange, aEvents](std::string aChunk) {
          this->Deliver(from, 0ms, [exchange, aEvents, aChunk] {
            if (!exchange->ended)
              aEvents.onChunk(aChunk);
          });
        },
        [this, from, end](EndpointCallEnd aEnd) { this->Deliver(from, 0ms, [end, aEnd] { end(aEnd); }); });
      from->cancels.push_back(exchange->cancel);
    });
    this->Deliver(from, aCall.timeout, [exchange, end] {
      if (exchange->ended)
        return;
      if (exchange->cancel)
        exchange->cancel();
      end({ exchange->sent ? HttpCallEnd::TimedOut : HttpCallEnd::NotSent, "no response in time" });
    });
    return [exchange] {
      exchange->ended = true;
      if (exchange->cancel)
        exchange->cancel();
    };
  };
  port.report = [this, weak](std::string const& aAddress, std::function<void(std::optional<EndpointReport>)> aDone) {
    auto const from = weak.lock();
    auto const endpoint = this->endpoints.find(aAddress.substr(0, aAddress.find(':')));
    std::optional<EndpointReport> report;
    if (endpoint != this->endpoints.end() && endpoint->second->alive)
      report = endpoint->second->Report();
    // Reports are stale: each one arrives a second after it was taken.
    this->Deliver(from, 1s, [aDone, report] { aDone(report); });
  };
  return port;
}

void
World::LoadTable(std::string const& aText)
{
  this->store.Write("test/table", aText, 0, [](StoreResponse) {});
  this->clock.Advance(10ms);
}

std::shared_ptr<TrackedEdit>
World::Edit(std::string const& aFront, TableEdit aEdit)
{
  auto const tracked = std::make_shared<TrackedEdit>();
  this->edits.push_back(tracked);
  auto& configuration = this->FrontNamed(aFront).Find<ConfigurationService>(ServiceName::kConfiguration);
  configuration.Edit(std::move(aEdit), [this, tracked](EditResult aResult) {
    tracked->result = std::move(aResult);
    tracked->resultAt = this->clock.Now();
  });
  return tracked;
}

std::shared_ptr<TrackedEdit>
World::SetDataCenterState(std::string const& aFront, std::string const& aName, std::string aState)
{
  RowEdit edit{ { RowKind::DataCenter, aName }, RowEditKind::Merge, { { "state", std::move(aState) } }, std::nullopt };
  return this->Edit(aFront, { "edit-" + std::to_string(this->Random()), { edit } });
}

std::string
World::KeyPrefix(std::string const& aFront)
{
  auto const& process = *this->processes.at(aFront);
  auto const& self = process.front->Find<MembershipService>(ServiceName::kMembership).Self();
  return EncodeKeyPrefix(self.name, self.incarnation, process.clock.WallNow() + 60s);
}

std::shared_ptr<TrackedRequest>
World::Submit(std::string const& aFront,
              std::string const& aPipeline,
              std::string const& aAccount,
              std::string const& aInput,
              std::string const& aKey)
{
  auto const tracked = std::make_shared<TrackedRequest>();
  auto const process = this->processes.at(aFront);
  auto& request = tracked->request;
  request.pipeline = aPipeline;
  request.account = aAccount;
  request.input = aInput;
  request.key = aKey;
  request.fingerprint = StableHash(aPipeline + aInput);
  request.body = "{\"account\":\"" + aAccount + "\",\"input\":\"" + aInput + "\",\"key\":\"" + aKey + "\"}";
  request.fingerprint = StableHash(aPipeline + "\n" + aAccount + "\n" + aInput);
  tracked->sentAt = this->clock.Now();
  tracked->expectedOutput = aInput;
  auto const& table = process->front->Find<ConfigurationService>(ServiceName::kConfiguration).Current();
  tracked->deadline = this->clock.Now() + 5s;
  if (auto const pipeline = table.pipelines.find(aPipeline); pipeline != table.pipelines.end()) {
    tracked->deadline = this->clock.Now() + pipeline->second.deadline;
    for (auto const& stage : pipeline->second.stages)
      tracked->expectedOutput = StageOutput(stage, tracked->expectedOutput);
  }
  this->requests.push_back(tracked);
  this->Deliver(process, 0ms, [this, process, tracked] {
    ResponseSink sink;
    sink.onToken = [tracked](std::string const& aToken) { tracked->tokens.push_back(aToken); };
    sink.onResponse = [this, tracked](PipelineResponse const& aResponse) {
      ++tracked->responseCount;
      tracked->response = aResponse;
      tracked->respondedAt = this->clock.Now();
    };
    process->front->Find<RequestService>(ServiceName::kRequests).Submit(tracked->request, std::move(sink));
  });
  // Its connection is refused: nothing of the request is sent.
  if (!process->alive || process->ended)
    tracked->connectionLost = true;
  process->cancels.push_back([tracked] { tracked->connectionLost = tracked->responseCount == 0; });
  return tracked;
}

void
World::Step()
{
  this->clock.Advance(kStep);
  for (auto const& [name, process] : this->processes) {
    if (!process->alive || process->ended)
      continue;
    if (this->clock.Now() < process->frozenUntil) {
      process->missedTime += kStep;
      continue;
    }
    if (process->missedTime > 0ms) {
      process->clock.Jump(process->missedTime);
      process->missedTime = 0ms;
      for (auto const& action : std::exchange(process->inbox, {}))
        action();
    }
    process->clock.Advance(kStep);
  }
  this->CheckStep();
}

void
World::Advance(Duration aDuration)
{
  for (Duration done{ 0 }; done < aDuration; done += kStep)
    this->Step();
}

bool
World::AdvanceUntil(Duration aLimit, std::function<bool()> const& aCondition)
{
  for (Duration done{ 0 }; done < aLimit; done += kStep) {
    if (aCondition())
      return true;
    this->Step();
  }
  return aCondition();
}

bool
World::AwaitMembership(Duration aLimit)
{
  return this->AdvanceUntil(aLimit, [this] {
    std::size_t alive = 0;
    for (auto const& [name, process] : this->processes)
      alive += process->alive && !process->ended ? 1 : 0;
    for (auto const& [name, process] : this->processes) {
      if (!process->alive || process->ended)
        continue;
      auto const& membership = process->front->Find<MembershipService>(ServiceName::kMembership);
      auto const* const record = membership.ActiveRecord();
      bool const whole = record != nullptr && record->members.size() == alive;
      if (!whole || record->epoch != membership.State().record->epoch)
        return false;
    }
    return true;
  });
}

/// Checks the invariants: at most one epoch is in force, and tables never revert and are in force in time.
void
World::CheckStep()
{
  std::optional<EpochNumber> inForce;
  for (auto const& [name, process] : this->processes) {
    if (!process->alive || process->ended || this->clock.Now() < process->frozenUntil)
      continue;
    auto const& membership = process->front->Find<MembershipService>(ServiceName::kMembership);
    auto const revision = process->front->Find<ConfigurationService>(ServiceName::kConfiguration).Document().revision;
    if (revision < process->newestTable)
      this->Report(name + " reverted from revision " + std::to_string(process->newestTable));
    process->newestTable = revision;
    auto const* const record = membership.ActiveRecord();
    if (record == nullptr)
      continue;
    if (inForce && *inForce != record->epoch)
      this->Report("epochs " + std::to_string(*inForce) + " and " + std::to_string(record->epoch) +
                   " are both in force");
    inForce = record->epoch;
    for (auto const& edit : this->edits) {
      bool const due = edit->result && edit->result->status == EditStatus::Accepted &&
                       this->clock.Now() - edit->resultAt > kInForceWithin;
      if (due && revision < edit->result->revision)
        this->Report(name + " is still at revision " + std::to_string(revision) + " after " +
                     std::to_string(edit->result->revision) + " was accepted");
    }
  }
}

void
World::CheckResponses()
{
  for (auto const& tracked : this->requests) {
    auto const& input = tracked->request.input;
    int runs = 0;
    for (auto const& [name, endpoint] : this->endpoints) {
      auto const& all = endpoint->History().runs;
      auto const found = all.find(input);
      runs += found == all.end() ? 0 : found->second;
    }
    if (tracked->responseCount > 1)
      this->Report("request " + input + " got " + std::to_string(tracked->responseCount) + " responses");
    if (tracked->responseCount == 0 && !tracked->connectionLost)
      this->Report("request " + input + " got no response");
    bool const keyed = !tracked->request.key.empty();
    if (keyed && runs > 1)
      this->Report("non-repeatable request " + input + " ran " + std::to_string(runs) + " times");
    if (tracked->responseCount == 0)
      continue;
    auto const& response = tracked->response;
    if (response.refusal) {
      // Another submission of the same input may have run; tests use each input once, unless they resend a key.
      bool const notRun = response.refusal->run == RunState::NotRun;
      bool const sentOnce =
        std::ranges::count_if(this->requests, [&](auto const& aOther) { return aOther->request.input == input; }) == 1;
      if (notRun && sentOnce && runs > 0)
        this->Report("request " + input + " was refused as not run but ran");
      continue;
    }
    if (response.output != tracked->expectedOutput)
      this->Report("request " + input + " got '" + response.output + "'");
    if (tracked->respondedAt > tracked->deadline + 200ms)
      this->Report("request " + input + " got its response after its deadline");
    for (std::size_t index = 0; index < tracked->tokens.size(); ++index) {
      auto const stageInput =
        response.output.substr(response.output.find('(') + 1, response.output.size() - response.output.find('(') - 2);
      if (tracked->tokens[index] != StageToken(stageInput, index))
        this->Report("request " + input + " got a wrong token " + std::to_string(index));
    }
    if (!tracked->tokens.empty() && tracked->tokens.size() != response.tokens)
      this->Report("request " + input + " got " + std::to_string(tracked->tokens.size()) + " tokens");
  }
}

}
