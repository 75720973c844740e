#include "StageOwnerService.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

/// The delay for which releases of results are batched. It is short because waiting calls need the memory, and long
/// enough to combine requests that end a few milliseconds apart.
static constexpr Duration kReleaseDelay = 5ms;
/// How often waiting jobs are rescheduled without an event, for use of other data centres, ends of pauses and
/// deadlines.
static constexpr Duration kTickInterval = 50ms;
static constexpr Duration kReleaseTimeout = 1s;
/// The greatest sizes of answers: a fixed part, and for a stage call a handle or a reason for each item.
static constexpr std::uint64_t kMaxAnswerBytes = 4096;
static constexpr std::uint64_t kMaxAnswerBytesPerItem = 1024;
/// By then, a result that was passed on has been written to the peer's connection.
static constexpr Duration kResultSendTime = 20ms;

StageOwnerService::StageOwnerService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , connections(aKernel.Find<ConnectionPool>(GatewayName::kConnections))
  , rollouts(aKernel.Find<RolloutService>(GatewayName::kRollouts))
{
  this->stateCache.AddChangeListener([this] { this->UpdatePools(); });
  this->rollouts.AddShareListener([this] { this->UpdatePools(); });
}

std::vector<EndpointEntry>
StageOwnerService::UsableEntries(std::string const& aService) const
{
  auto const& set = this->stateCache.Endpoints();
  std::vector<EndpointEntry> entries;
  auto const pool = set.idsByService.find(aService);
  if (pool == set.idsByService.end())
    return entries;
  for (auto const& id : pool->second)
    if (auto const& endpoint = set.byId.at(id);
        IsUsable(set, endpoint) && this->rollouts.MayRunStages(aService, endpoint.entry.softwareVersion))
      entries.push_back(endpoint.entry);
  return entries;
}

StagePool*
StageOwnerService::FindOrCreatePool(std::string const& aService)
{
  auto const table = this->stateCache.Table();
  if (!table)
    return nullptr;
  auto const& rule = RuleOf(*table, aService);
  if (!rule.stage)
    return nullptr;
  auto const [position, added] = this->pools.try_emplace(aService);
  if (added) {
    PART_LOG("stages") << "event=pool-created service=" << aService << " table=" << table->version;
    auto const entries = this->UsableEntries(aService);
    this->ApplyDecisions(aService, UpdatePool(position->second, *rule.stage, entries, this->clock.Now()));
  }
  return &position->second;
}

void
StageOwnerService::UpdatePools()
{
  auto const table = this->stateCache.Table();
  if (!table)
    return;
  for (auto& [service, pool] : this->pools) {
    auto const& rule = RuleOf(*table, service);
    auto const limits = rule.stage.value_or(pool.limits);
    this->ApplyDecisions(service, UpdatePool(pool, limits, this->UsableEntries(service), this->clock.Now()));
  }
}

bool
StageOwnerService::LeavesJobsToOthers() const
{
  auto const others = FindOtherFronts(this->stateCache.Fronts(), this->settings.name, this->clock.Now());
  return this->stop && others != OtherFronts::None;
}

CancelAction
StageOwnerService::RunStage(RemoteStageJob aJob, StageCallback aDone)
{
  if (aJob.job.items > kMaxRequestItems) {
    PART_WARNING("stages") << "event=job-refused request=" << aJob.job.requestId << " items=" << aJob.job.items
                           << " allowed=" << kMaxRequestItems;
    this->clock.Schedule(Duration::zero(), [aDone = std::move(aDone)] {
      aDone({ 0, StageEnd::Failed, {}, Duration::zero() });
    });
    return [] {};
  }
  auto* const pool = this->LeavesJobsToOthers() ? nullptr : this->FindOrCreatePool(aJob.service);
  if (pool == nullptr) {
    this->clock.Schedule(Duration::zero(), [aDone = std::move(aDone)] {
      aDone({ 0, StageEnd::HandedOff, {}, Duration::zero() });
    });
    return [] {};
  }
  auto const service = aJob.service;
  auto outcome = SubmitJob(*pool, std::move(aJob.job), this->clock.Now());
  this->callbacks[{ service, outcome.job }] = std::move(aDone);
  this->ApplyDecisions(service, std::move(outcome.decisions));
  this->ScheduleTick();
  return [this, service, jobId = outcome.job] {
    if (this->callbacks.erase({ service, jobId }) != 0)
      this->ApplyDecisions(service, CancelJob(this->pools.at(service), jobId, this->clock.Now()));
  };
}

void
StageOwnerService::Release(std::string const& aService, std::vector<std::string> const& aHandles)
{
  this->ApplyDecisions(aService, ReleaseResults(aHandles));
}

void
StageOwnerService::HandOff(MonotonicTime aStop)
{
  this->stop = aStop;
  this->HandOffJobs();
}

void
StageOwnerService::HandOffJobs()
{
  if (!this->LeavesJobsToOthers())
    return;
  for (auto& [service, pool] : this->pools) {
    auto decisions = Gateway::HandOffJobs(pool, *this->stop, this->clock.Now());
    if (!decisions.results.empty())
      PART_LOG("stages") << "event=handed-off service=" << service << " jobs=" << decisions.results.size()
                         << " left=" << pool.jobs.size();
    this->ApplyDecisions(service, std::move(decisions));
  }
}

bool
StageOwnerService::IsIdle() const
{
  auto const calling = [](auto const& aEntry) { return !aEntry.second.running.empty(); };
  return this->callbacks.empty() && this->releases.empty() && this->releaseCalls == 0 &&
         std::ranges::none_of(this->pools, calling) && this->clock.Now() - this->lastResult >= kResultSendTime;
}

void
StageOwnerService::ApplyDecisions(std::string const& aService, StageDecisions aDecisions)
{
  for (auto const& call : aDecisions.calls)
    this->StartCall(aService, call);
  for (auto& [address, handles] : aDecisions.releases) {
    auto& list = this->releases[{ aService, address }];
    std::ranges::move(handles, std::back_inserter(list));
  }
  if (!this->releases.empty() && !this->releasesScheduled) {
    this->releasesScheduled = true;
    this->clock.Schedule(kReleaseDelay, [this] { this->SendReleases(); });
  }
  for (auto& result : aDecisions.results) {
    auto const found = this->callbacks.find({ aService, result.job });
    if (found == this->callbacks.end())
      continue;
    auto const done = std::move(found->second);
    this->callbacks.erase(found);
    this->lastResult = this->clock.Now();
    done(std::move(result));
  }
}

void
StageOwnerService::StartCall(std::string const& aService, StageCall const& aCall)
{
  ++this->usage.calls;
  this->usage.items += aCall.items.size();
  OutgoingCall call;
  call.address = aCall.address;
  call.timeout = aCall.timeout;
  call.maxBodyBytes = kMaxAnswerBytes + kMaxAnswerBytesPerItem * aCall.items.size();
  call.request = Platform::EncodeStageCall(this->pools.at(aService), aCall, this->clock.Now());
  SendBuffered(this->connections, std::move(call), [this, aService, id = aCall.id](BufferedResponse const& aResponse) {
    this->OnCallDone(aService, id, aResponse);
  });
}

static StageCallEnd
CallEndFromStatus(unsigned aStatus, CallEnd aEnd)
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
StageOwnerService::ApplySignals(std::string const& aService, StageCallId aCall, BufferedResponse const& aResponse)
{
  auto& pool = this->pools.at(aService);
  auto const running = pool.running.find(aCall);
  if (aResponse.end != CallEnd::Complete || aResponse.status == 421 || running == pool.running.end())
    return;
  auto const id = running->second.call.endpoint;
  auto const endpoint = pool.endpoints.find(id);
  if (endpoint == pool.endpoints.end() || endpoint->second.entry.address != running->second.call.address)
    return;
  auto const signals = Platform::DecodeAnswerSignals(aResponse.status, aResponse.fields);
  this->stateCache.ApplySignals(ProcessOf(endpoint->second.entry), signals, aService);
  auto const& known = this->stateCache.Endpoints().byId;
  if (auto const found = known.find(id); found != known.end())
    SetCallTimes(pool, id, found->second.signals, this->clock.Now());
  if (signals.leaving)
    this->UpdatePools();
}

void
StageOwnerService::OnCallDone(std::string const& aService, StageCallId aCall, BufferedResponse const& aResponse)
{
  auto& pool = this->pools.at(aService);
  auto const running = pool.running.find(aCall);
  if (running == pool.running.end())
    return;
  auto const call = running->second.call;
  auto const requestId = pool.jobs.at(call.items.front().job).job.requestId;
  auto end = CallEndFromStatus(aResponse.status, aResponse.end);
  auto const results = end == StageCallEnd::Responded ? Platform::DecodeStageResponse(aResponse.body) : std::nullopt;
  bool const foreign = aResponse.end == CallEnd::Complete &&
                       (Platform::NamesAnotherRequest(aResponse.fields, requestId) ||
                        (end == StageCallEnd::Responded && (!results || HasKnownResult(pool, *results))));
  if (foreign) {
    end = StageCallEnd::Failed;
    // The answer to this call is yet to come, where that of the next one would be expected.
    this->connections.CloseIdleConnections(call.address);
  } else {
    this->ApplySignals(aService, aCall, aResponse);
  }
  if (end != StageCallEnd::Responded) {
    ++this->usage.failedCalls;
    PART_WARNING("stages") << "event=call-failed service=" << aService << " endpoint=" << call.endpoint
                           << " status=" << aResponse.status << " end=" << ToString(aResponse.end)
                           << " foreign=" << foreign << " items=" << call.items.size()
                           << " first_request=" << requestId;
  }
  auto const items = end == StageCallEnd::Responded ? *results : std::vector<ItemResult>();
  this->ApplyDecisions(aService, OnCallEnd(pool, aCall, end, items, this->clock.Now()));
}

void
StageOwnerService::SendReleases()
{
  this->releasesScheduled = false;
  auto const releases = std::move(this->releases);
  this->releases.clear();
  for (auto const& [destination, handles] : releases) {
    ++this->usage.releases;
    ++this->releaseCalls;
    auto const& [service, address] = destination;
    OutgoingCall call;
    call.address = address;
    call.timeout = kReleaseTimeout;
    call.maxBodyBytes = kMaxAnswerBytes;
    call.request = Platform::EncodeStageRelease(address, handles);
    auto const done =
      [this, service = service, address = address, handles = handles](BufferedResponse const& aResponse) {
        --this->releaseCalls;
        if (aResponse.end == CallEnd::Complete && Platform::NamesAnotherRequest(aResponse.fields, "")) {
          PART_WARNING("stages") << "event=release-unconfirmed address=" << address << " results=" << handles.size();
          this->connections.CloseIdleConnections(address);
          return;
        }
        if (aResponse.end == CallEnd::Complete) {
          auto const pool = this->pools.find(service);
          if (pool != this->pools.end())
            this->ApplyDecisions(service, OnResultsReleased(pool->second, handles, this->clock.Now()));
          return;
        }
        // The endpoint releases the results itself when their lifetime expires.
        PART_WARNING("stages") << "event=release-failed address=" << address << " results=" << handles.size()
                               << " end=" << ToString(aResponse.end);
      };
    SendBuffered(this->connections, std::move(call), done);
  }
}

void
StageOwnerService::ScheduleTick()
{
  if (this->tickScheduled || this->callbacks.empty())
    return;
  this->tickScheduled = true;
  this->clock.Schedule(kTickInterval, [this] {
    this->tickScheduled = false;
    this->HandOffJobs();
    auto const now = this->clock.Now();
    for (auto& [service, pool] : this->pools)
      this->ApplyDecisions(service, Schedule(pool, now));
    this->ScheduleTick();
  });
}

}
