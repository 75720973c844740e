#include "StageLoad.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// From the last stage's results to the first event of the model endpoint.
static constexpr Duration kModelTime = 150ms;
/// From a release to the endpoint's acknowledgement.
static constexpr Duration kReleaseTime = 8ms;
/// One way between fronts and endpoints.
static constexpr Duration kNetworkTime = 2ms;
/// Callers retry once, after at least the first of these times, and only if at least the second one is left.
static constexpr Duration kMinRetryAfter = 100ms;
static constexpr Duration kMinTimeToRetry = 300ms;
/// From the loss of an endpoint until the store no longer lists it.
static constexpr Duration kTimeToNotice = 1s;
/// Refusals after this part of the target cost callers most.
static constexpr int kHoldDivisor = 8;

void
StageLoad::AddService(std::string const& aService, StageLimits const& aLimits, unsigned aEndpoints)
{
  std::vector<EndpointEntry> entries;
  for (unsigned index = 0; index < aEndpoints; ++index) {
    EndpointEntry entry;
    entry.id = aService + "-" + std::to_string(index);
    entry.service = aService;
    entry.address = entry.id;
    entry.dataCenter = "a";
    entries.push_back(entry);
  }
  UpdatePool(this->pools[aService], aLimits, entries, this->now);
  for (auto const& entry : entries)
    this->engines[entry.id] = {};
  this->entries[aService] = std::move(entries);
  this->limitsOf[aService] = aLimits;
  auto& rule = this->table.services[aService];
  rule.name = aService;
  rule.stage = aLimits;
}

void
StageLoad::SlowDown(std::string const& aService, unsigned aEndpoint, double aFactor, Duration aUntil, Duration aBegin)
{
  this->slowness[aService + "-" + std::to_string(aEndpoint)] = { aFactor, this->now + aBegin, this->now + aUntil };
}

void
StageLoad::UpdateEndpoints(std::string const& aService)
{
  std::vector<EndpointEntry> listed;
  for (auto entry : this->entries.at(aService)) {
    entry.incarnation = this->engines.at(entry.id).life;
    if (!this->engines.at(entry.id).unlisted)
      listed.push_back(entry);
  }
  auto const& limits = this->limitsOf.at(aService);
  this->ApplyDecisions(aService, UpdatePool(this->pools.at(aService), limits, listed, this->now));
}

void
StageLoad::Lose(std::string const& aEndpoint)
{
  auto& engine = this->engines.at(aEndpoint);
  engine = { 0, 0, engine.life + 1, true, false, {} };
}

void
StageLoad::TakeAway(std::string const& aService, unsigned aEndpoint, Duration aBegin, Duration aEnd)
{
  auto const id = aService + "-" + std::to_string(aEndpoint);
  this->ScheduleAt(this->now + aBegin, [this, id] { this->Lose(id); });
  this->ScheduleAt(this->now + aBegin + kTimeToNotice, [this, id, aService] {
    this->engines.at(id).unlisted = true;
    this->UpdateEndpoints(aService);
  });
  this->ScheduleAt(this->now + aEnd, [this, id, aService] {
    this->engines.at(id).gone = this->engines.at(id).unlisted = false;
    this->UpdateEndpoints(aService);
  });
}

void
StageLoad::ReplaceOwners(Duration aWhen)
{
  this->ScheduleAt(this->now + aWhen, [this] {
    ++this->generation;
    for (auto& [service, pool] : this->pools) {
      auto const lastJob = pool.lastJob;
      pool = {};
      pool.lastJob = lastJob;
      this->UpdateEndpoints(service);
    }
    auto const jobs = std::move(this->jobsOf);
    this->jobsOf.clear();
    for (auto const& [key, job] : jobs) {
      auto const found = this->waiting.find(key);
      if (found == this->waiting.end())
        continue;
      auto const [request, stage] = found->second;
      this->waiting.erase(found);
      this->Submit(request, stage, job);
    }
  });
}

void
StageLoad::ScheduleAt(MonotonicTime aWhen, std::function<void()> aAction)
{
  this->pendingEvents.push({ aWhen, ++this->lastEvent, std::move(aAction) });
}

std::map<std::string, LoadCounts>
StageLoad::Run(std::vector<LoadKind> const& aKinds, Duration aTime)
{
  auto const begin = this->now;
  for (auto const& kind : aKinds) {
    for (Duration time{ 0 }; time < aTime;) {
      bool const inBurst = time >= kind.burstBegin && time < kind.burstEnd;
      std::exponential_distribution<double> gap(kind.perSecond * (inBurst ? kind.burst : 1));
      time += FromSeconds(gap(this->random));
      this->ScheduleAt(begin + time, [this, &kind] { this->Arrive(kind); });
    }
  }
  for (Duration tick{ 0 }; tick < aTime + 10s; tick += 50ms)
    this->ScheduleAt(begin + tick, [this] {
      for (auto& [service, pool] : this->pools)
        this->ApplyDecisions(service, Schedule(pool, this->now));
    });
  while (!this->pendingEvents.empty()) {
    auto const event = this->pendingEvents.top();
    this->pendingEvents.pop();
    this->now = event.when;
    event.action();
  }
  return this->counts;
}

void
StageLoad::Arrive(LoadKind const& aKind)
{
  auto const request = std::make_shared<Request>();
  request->kind = &aKind;
  request->received = this->now;
  request->drawn = aKind.drawItems ? aKind.drawItems(this->random) : aKind.items;
  ++this->counts[aKind.name].requests;
  this->counts[aKind.name].worthOffered += aKind.onTimeWorth;
  this->StartRequest(request);
}

void
StageLoad::StartRequest(RequestPointer const& aRequest)
{
  aRequest->id = std::to_string(++this->lastRequest);
  aRequest->started = this->now;
  aRequest->stages = *PlanStages(aRequest->kind->stages, aRequest->drawn);
  this->ScheduleAt(aRequest->received + aRequest->kind->deadline, [this, aRequest] { this->GiveUp(aRequest); });
  this->StartStages(aRequest);
}

void
StageLoad::StartStages(RequestPointer const& aRequest)
{
  for (auto const stage : StartableStages(aRequest->stages))
    if (!aRequest->ended)
      this->StartStage(aRequest, stage);
  if (!aRequest->ended && AllComplete(aRequest->stages))
    this->ScheduleAt(this->now + kModelTime, [this, aRequest] { this->CompleteRequest(aRequest); });
}

void
StageLoad::StartStage(RequestPointer const& aRequest, unsigned aStage)
{
  auto& stages = aRequest->stages;
  stages.started[aStage] = true;
  if (stages.items[aStage] == 0) {
    CompleteStage(stages, aStage, {});
    this->StartStages(aRequest);
    return;
  }
  StageJob job;
  job.requestId = aRequest->id;
  job.stage = aStage;
  job.items = stages.items[aStage];
  job.priority = aRequest->kind->priority;
  job.target = aRequest->received + aRequest->kind->target;
  job.deadline = aRequest->received + aRequest->kind->deadline;
  job.timeAfterStage = TimeAfterStage(stages, aStage, this->table, this->backlogs, this->now) + kModelTime;
  job.itemBytes = stages.rules[aStage].resultBytes;
  job.dataCenter = "a";
  job.inputs = InputsOf(stages, aStage).value();
  this->Submit(aRequest, aStage, std::move(job));
}

void
StageLoad::Submit(RequestPointer const& aRequest, unsigned aStage, StageJob aJob)
{
  auto const& service = aRequest->stages.rules[aStage].service;
  auto submitted = SubmitJob(this->pools.at(service), aJob, this->now);
  aRequest->openJobs[aStage] = submitted.job;
  this->waiting[{ service, submitted.job }] = { aRequest, aStage };
  this->jobsOf[{ service, submitted.job }] = std::move(aJob);
  this->ApplyDecisions(service, std::move(submitted.decisions));
}

bool
StageLoad::RestartOnce(RequestPointer const& aRequest)
{
  if (aRequest->restarted)
    return false;
  aRequest->restarted = true;
  this->ReleaseRequest(aRequest);
  aRequest->ended = false;
  aRequest->openJobs.clear();
  this->StartStages(aRequest);
  return true;
}

void
StageLoad::GiveUp(RequestPointer const& aRequest)
{
  if (aRequest->ended)
    return;
  auto& counts = this->counts[aRequest->kind->name];
  ++counts.refused;
  ++counts.refusals;
  ++counts.heldRefusals;
  counts.refusedAfter += this->now - aRequest->started;
  this->ReleaseRequest(aRequest);
}

void
StageLoad::OnResult(RequestPointer const& aRequest, unsigned aStage, StageResult aResult)
{
  aRequest->openJobs.erase(aStage);
  RecordBacklog(this->backlogs, aRequest->stages.rules[aStage].service, aResult.backlog, this->now);
  if (aRequest->ended)
    return;
  if (aResult.end == StageEnd::InputsGone && this->RestartOnce(aRequest))
    return;
  if (aResult.end != StageEnd::Completed) {
    this->Refuse(aRequest, aResult.retryAfter);
    return;
  }
  this->Release(CompleteStage(aRequest->stages, aStage, std::move(aResult.handles)));
  this->StartStages(aRequest);
}

void
StageLoad::ApplyDecisions(std::string const& aService, StageDecisions aDecisions)
{
  for (auto const& call : aDecisions.calls)
    this->StartCall(aService, call);
  for (auto const& [address, handles] : aDecisions.releases)
    this->ScheduleAt(this->now + kReleaseTime, [this, aService, address = address, handles = handles] {
      this->ReleaseAtEngine(address, handles);
      this->ApplyDecisions(aService, OnResultsReleased(this->pools.at(aService), handles, this->now));
    });
  for (auto& result : aDecisions.results) {
    auto const found = this->waiting.find({ aService, result.job });
    if (found == this->waiting.end())
      continue;
    auto const [request, stage] = found->second;
    this->waiting.erase(found);
    this->jobsOf.erase({ aService, result.job });
    this->ScheduleAt(this->now + kNetworkTime,
                     [this, request = request, stage = stage, result] { this->OnResult(request, stage, result); });
  }
}

std::vector<ItemResult>
StageLoad::Occupy(std::string const& aService, StageCall const& aCall)
{
  auto& engine = this->engines.at(aCall.endpoint);
  auto const exists = [this](std::string const& aHandle) {
    return this->engines.at(aHandle.substr(0, aHandle.find('/'))).results.contains(aHandle);
  };
  std::vector<ItemResult> results;
  for (auto const& item : aCall.items) {
    auto const& job = this->pools.at(aService).jobs.at(item.job).job;
    if (!std::ranges::all_of(job.inputs, exists)) {
      results.push_back({ ItemEnd::InputGone, "" });
      continue;
    }
    if (engine.bytes + job.itemBytes > this->limitsOf.at(aService).resultMemory) {
      ++this->items.noMemory;
      results.push_back({ ItemEnd::NoMemory, "" });
      continue;
    }
    auto const handle = aCall.address + "/" + std::to_string(++this->lastResult);
    engine.bytes += job.itemBytes;
    engine.results[handle] = job.itemBytes;
    results.push_back({ ItemEnd::Completed, handle });
  }
  return results;
}

double
StageLoad::ItemsOfWork(std::string const& aService,
                       StageCall const& aCall,
                       std::vector<ItemResult> const& aResults) const
{
  double work = 0;
  for (std::size_t index = 0; index < aResults.size(); ++index) {
    if (aResults[index].end != ItemEnd::Completed)
      continue;
    auto const found = this->waiting.find({ aService, aCall.items[index].job });
    bool const known = found != this->waiting.end() && !found->second.first->kind->itemCosts.empty();
    work += known ? found->second.first->kind->itemCosts[found->second.second] : 1;
  }
  return work;
}

void
StageLoad::StartCall(std::string const& aService, StageCall const& aCall)
{
  auto const& limits = this->limitsOf.at(aService);
  auto& engine = this->engines.at(aCall.endpoint);
  auto const generation = this->generation;
  if (engine.gone || engine.calls >= limits.slots) {
    auto const end = engine.gone ? StageCallEnd::Failed : StageCallEnd::Refused;
    this->ScheduleAt(this->now + 2 * kNetworkTime, [this, aService, generation, id = aCall.id, end] {
      this->FailCall(aService, generation, id, end);
    });
    return;
  }
  ++engine.calls;
  auto const results = this->Occupy(aService, aCall);
  double const items = this->ItemsOfWork(aService, aCall, results);
  auto const work = items == 0 ? Duration::zero() : limits.callTime + FromSeconds(Seconds(limits.itemTime) * items);
  auto const slow = this->slowness.find(aCall.endpoint);
  bool const isSlow = slow != this->slowness.end() && this->now >= slow->second.begin && this->now < slow->second.until;
  double const factor = isSlow ? slow->second.factor : 1;
  this->ScheduleAt(this->now + FromSeconds(Seconds(work) * factor) + 2 * kNetworkTime,
                   [this, aService, generation, aCall, results, life = engine.life] {
                     auto& ended = this->engines.at(aCall.endpoint);
                     if (ended.life != life) {
                       this->FailCall(aService, generation, aCall.id, StageCallEnd::Failed);
                       return;
                     }
                     --ended.calls;
                     this->EndCall(aService, generation, aCall, results);
                   });
}

void
StageLoad::FailCall(std::string const& aService, unsigned aGeneration, StageCallId aCall, StageCallEnd aEnd)
{
  if (aGeneration == this->generation)
    this->ApplyDecisions(aService, OnCallEnd(this->pools.at(aService), aCall, aEnd, {}, this->now));
}

void
StageLoad::ReleaseAtEngine(std::string const& aEndpoint, std::vector<std::string> const& aHandles)
{
  auto& engine = this->engines.at(aEndpoint);
  for (auto const& handle : aHandles)
    if (auto const held = engine.results.find(handle); held != engine.results.end()) {
      engine.bytes -= held->second;
      engine.results.erase(held);
    }
}

void
StageLoad::EndCall(std::string const& aService,
                   unsigned aGeneration,
                   StageCall const& aCall,
                   std::vector<ItemResult> const& aResults)
{
  std::vector<std::string> handles;
  for (auto const& result : aResults)
    if (result.end == ItemEnd::Completed)
      handles.push_back(result.handle);
  this->items.made += unsigned(handles.size());
  this->items.inVain += unsigned(handles.size());
  this->ScheduleAt(this->now + this->limitsOf.at(aService).resultLifetime,
                   [this, endpoint = aCall.endpoint, handles] { this->ReleaseAtEngine(endpoint, handles); });
  if (aGeneration == this->generation)
    this->ApplyDecisions(aService,
                         OnCallEnd(this->pools.at(aService), aCall.id, StageCallEnd::Responded, aResults, this->now));
}

void
StageLoad::Release(std::map<std::string, std::vector<std::string>> const& aResults)
{
  for (auto const& [service, handles] : aResults)
    this->ApplyDecisions(service, ReleaseResults(handles));
}

void
StageLoad::CompleteRequest(RequestPointer const& aRequest)
{
  if (aRequest->ended)
    return;
  auto& counts = this->counts[aRequest->kind->name];
  bool const onTime = this->now - aRequest->received <= aRequest->kind->target;
  ++(onTime ? counts.onTime : counts.late);
  counts.worthEarned += onTime ? aRequest->kind->onTimeWorth : aRequest->kind->lateWorth;
  for (auto const stageItems : aRequest->stages.items)
    this->items.inVain -= stageItems;
  this->ReleaseRequest(aRequest);
}

void
StageLoad::Refuse(RequestPointer const& aRequest, Duration aRetryAfter)
{
  auto& counts = this->counts[aRequest->kind->name];
  ++counts.refusals;
  counts.refusedAfter += this->now - aRequest->started;
  if (this->now - aRequest->started > aRequest->kind->target / kHoldDivisor)
    ++counts.heldRefusals;
  for (unsigned stage = 0; stage < aRequest->stages.rules.size(); ++stage)
    if (aRequest->stages.results[stage])
      this->wastedItems[aRequest->stages.rules[stage].service] += aRequest->stages.items[stage];
  this->ReleaseRequest(aRequest);
  auto const left = aRequest->received + aRequest->kind->deadline - this->now;
  if (aRequest->retried || left < kMinTimeToRetry) {
    ++counts.refused;
    return;
  }
  auto retry = std::make_shared<Request>();
  retry->kind = aRequest->kind;
  retry->drawn = aRequest->drawn;
  retry->received = aRequest->received;
  retry->retried = true;
  this->ScheduleAt(this->now + std::clamp<Duration>(aRetryAfter, kMinRetryAfter, left / 3),
                   [this, retry] { this->StartRequest(retry); });
}

void
StageLoad::ReleaseRequest(RequestPointer const& aRequest)
{
  aRequest->ended = true;
  this->Release(TakeHeldResults(aRequest->stages));
  for (auto const& [stage, job] : aRequest->openJobs) {
    auto const& service = aRequest->stages.rules[stage].service;
    this->waiting.erase({ service, job });
    this->ApplyDecisions(service, CancelJob(this->pools.at(service), job, this->now));
  }
}

}
