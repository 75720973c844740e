#include "StageOwnerService.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

/// Results are freed together after this. Waiting calls need their memory, and requests end some milliseconds apart.
static constexpr Duration kFreeDelay = 5ms;
/// How often waiting orders are looked at without an event: for other data centres, pauses and deadlines.
static constexpr Duration kTickInterval = 50ms;
static constexpr Duration kFreeTimeout = 1s;

StageOwnerService::StageOwnerService(Kernel& aKernel)
  : stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , connections(aKernel.Find<ConnectionPool>(GatewayName::kConnections))
{
  this->stateCache.OnChange([this] { this->Review(); });
}

static std::vector<EndpointEntry>
UsableEntries(EndpointSet const& aSet, std::string const& aService)
{
  std::vector<EndpointEntry> entries;
  auto const pool = aSet.idsByService.find(aService);
  if (pool == aSet.idsByService.end())
    return entries;
  for (auto const& id : pool->second)
    if (auto const& belief = aSet.byId.at(id); IsUsable(aSet, belief))
      entries.push_back(belief.entry);
  return entries;
}

StagePool*
StageOwnerService::PoolOf(std::string const& aService)
{
  auto const table = this->stateCache.Table();
  if (!table)
    return nullptr;
  auto const& rule = RuleOf(*table, aService);
  if (!rule.stage)
    return nullptr;
  auto const [position, added] = this->pools.try_emplace(aService);
  if (added) {
    PART_LOG("stages") << "event=pool-taken service=" << aService << " table=" << table->version;
    auto const entries = UsableEntries(this->stateCache.Endpoints(), aService);
    this->Carry(aService, UpdatePool(position->second, *rule.stage, entries, this->clock.Now()));
  }
  return &position->second;
}

void
StageOwnerService::Review()
{
  auto const table = this->stateCache.Table();
  if (!table)
    return;
  for (auto& [service, pool] : this->pools) {
    auto const& rule = RuleOf(*table, service);
    auto const limits = rule.stage.value_or(pool.limits);
    this->Carry(service,
                UpdatePool(pool, limits, UsableEntries(this->stateCache.Endpoints(), service), this->clock.Now()));
  }
}

CancelAction
StageOwnerService::Make(RemoteOrder aOrder, StageDone aDone)
{
  auto* const pool = this->handedOver ? nullptr : this->PoolOf(aOrder.service);
  if (pool == nullptr) {
    this->clock.Schedule(Duration::zero(), [aDone = std::move(aDone)] {
      aDone({ 0, StageEnd::HandedOff, {}, Duration::zero() });
    });
    return [] {};
  }
  auto const service = aOrder.service;
  auto outcome = SubmitJob(*pool, std::move(aOrder.order), this->clock.Now());
  this->waiting[{ service, outcome.job }] = std::move(aDone);
  this->Carry(service, std::move(outcome.decisions));
  this->Tick();
  return [this, service, order = outcome.job] {
    if (this->waiting.erase({ service, order }) != 0)
      this->Carry(service, CancelJob(this->pools.at(service), order, this->clock.Now()));
  };
}

void
StageOwnerService::Release(std::string const& aService, std::vector<std::string> const& aHandles)
{
  auto* const pool = this->PoolOf(aService);
  if (pool != nullptr)
    this->Carry(aService, ReleaseResults(aHandles));
}

void
StageOwnerService::HandOver()
{
  this->handedOver = true;
  for (auto& [service, pool] : this->pools)
    this->Carry(service, Gateway::HandOffJobs(pool));
}

void
StageOwnerService::Carry(std::string const& aService, StageDecisions aDecisions)
{
  for (auto const& call : aDecisions.calls)
    this->StartCall(aService, call);
  for (auto& [address, handles] : aDecisions.releases) {
    auto& list = this->frees[{ aService, address }];
    std::ranges::move(handles, std::back_inserter(list));
  }
  if (!this->frees.empty() && !this->freesScheduled) {
    this->freesScheduled = true;
    this->clock.Schedule(kFreeDelay, [this] { this->SendFrees(); });
  }
  for (auto& result : aDecisions.results) {
    auto const found = this->waiting.find({ aService, result.job });
    if (found == this->waiting.end())
      continue;
    auto const done = std::move(found->second);
    this->waiting.erase(found);
    done(std::move(result));
  }
}

void
StageOwnerService::StartCall(std::string const& aService, StageCall const& aCall)
{
  ++this->usage.calls;
  this->usage.pieces += aCall.items.size();
  OutgoingCall call;
  call.address = aCall.address;
  call.timeout = aCall.timeout;
  call.request = Platform::EncodeStageCall(this->pools.at(aService), aCall, this->clock.Now());
  SendBuffered(this->connections, std::move(call), [this, aService, id = aCall.id](BufferedResponse const& aResponse) {
    this->OnCallDone(aService, id, aResponse);
  });
}

static StageCallEnd
EndOf(unsigned aStatus, CallEnd aEnd)
{
  if (aEnd != CallEnd::Complete)
    return StageCallEnd::Failed;
  switch (aStatus) {
    case 200:
      return StageCallEnd::Responded;
    case 421:
      return StageCallEnd::Misdirected;
    case 429:
    case 503:
      return StageCallEnd::Refused;
    default:
      return StageCallEnd::Failed;
  }
}

void
StageOwnerService::OnCallDone(std::string const& aService, StageCallId aCall, BufferedResponse const& aResponse)
{
  auto& pool = this->pools.at(aService);
  auto end = EndOf(aResponse.status, aResponse.end);
  std::vector<ItemResult> results;
  if (end == StageCallEnd::Responded) {
    auto decoded = Platform::DecodeStageResponse(aResponse.body);
    if (decoded)
      results = std::move(*decoded);
    else
      end = StageCallEnd::Failed;
  }
  if (end != StageCallEnd::Responded) {
    ++this->usage.failedCalls;
    auto const running = pool.running.find(aCall);
    if (running != pool.running.end())
      PART_WARNING("stages") << "event=call-failed service=" << aService
                             << " endpoint=" << running->second.call.endpoint << " status=" << aResponse.status
                             << " end=" << ToString(aResponse.end) << " pieces=" << running->second.call.items.size()
                             << " first_request=" << pool.jobs.at(running->second.call.items[0].job).job.requestId;
  }
  this->Carry(aService, OnCallEnd(pool, aCall, end, results, this->clock.Now()));
}

void
StageOwnerService::SendFrees()
{
  this->freesScheduled = false;
  auto const frees = std::move(this->frees);
  this->frees.clear();
  for (auto const& [place, handles] : frees) {
    ++this->usage.frees;
    auto const& [service, address] = place;
    OutgoingCall call;
    call.address = address;
    call.timeout = kFreeTimeout;
    call.request = Platform::EncodeStageRelease(address, handles);
    auto const done =
      [this, service = service, address = address, handles = handles](BufferedResponse const& aResponse) {
        if (aResponse.end == CallEnd::Complete) {
          this->Carry(service, OnResultsReleased(this->pools.at(service), handles, this->clock.Now()));
          return;
        }
        // The results' stated lifetime frees them then.
        PART_WARNING("stages") << "event=free-failed address=" << address << " results=" << handles.size()
                               << " end=" << ToString(aResponse.end);
      };
    SendBuffered(this->connections, std::move(call), done);
  }
}

void
StageOwnerService::Tick()
{
  if (this->tickScheduled || this->waiting.empty())
    return;
  this->tickScheduled = true;
  this->clock.Schedule(kTickInterval, [this] {
    this->tickScheduled = false;
    auto const now = this->clock.Now();
    for (auto& [service, pool] : this->pools)
      this->Carry(service, Schedule(pool, now));
    this->Tick();
  });
}

}
