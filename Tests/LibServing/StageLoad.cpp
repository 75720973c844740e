#include "StageLoad.h"

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
  auto& rule = this->table.services[aService];
  rule.name = aService;
  rule.stage = aLimits;
}

void
StageLoad::SlowDown(std::string const& aService, unsigned aEndpoint, double aFactor, Duration aUntil)
{
  this->slowness[aService + "-" + std::to_string(aEndpoint)] = { aFactor, this->now + aUntil };
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
  ++this->counts[aKind.name].requests;
  this->StartRequest(request);
}

void
StageLoad::StartRequest(RequestPointer const& aRequest)
{
  aRequest->id = std::to_string(++this->lastRequest);
  aRequest->started = this->now;
  aRequest->stages = *PlanStages(aRequest->kind->stages, aRequest->kind->items);
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
  auto const& service = stages.rules[aStage].service;
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
  job.inputs = InputsOf(stages, aStage);
  auto submitted = SubmitJob(this->pools.at(service), std::move(job), this->now);
  aRequest->openJobs[aStage] = submitted.job;
  this->waiting[{ service, submitted.job }] = { aRequest, aStage };
  this->ApplyDecisions(service, std::move(submitted.decisions));
}

void
StageLoad::OnResult(RequestPointer const& aRequest, unsigned aStage, StageResult aResult)
{
  aRequest->openJobs.erase(aStage);
  RecordBacklog(this->backlogs, aRequest->stages.rules[aStage].service, aResult.backlog, this->now);
  if (aRequest->ended)
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
  for (auto const& call : aDecisions.calls) {
    auto const& limits = this->pools.at(aService).limits;
    auto const work = limits.callTime + limits.itemTime * std::int64_t(call.items.size());
    auto const slow = this->slowness.find(call.endpoint);
    double const factor = slow != this->slowness.end() && this->now < slow->second.until ? slow->second.factor : 1;
    this->ScheduleAt(this->now + FromSeconds(Seconds(work) * factor) + 2 * kNetworkTime,
                     [this, aService, call] { this->EndCall(aService, call); });
  }
  for (auto const& [address, handles] : aDecisions.releases)
    this->ScheduleAt(this->now + kReleaseTime, [this, aService, handles = handles] {
      this->ApplyDecisions(aService, OnResultsReleased(this->pools.at(aService), handles, this->now));
    });
  for (auto& result : aDecisions.results) {
    auto const found = this->waiting.find({ aService, result.job });
    if (found == this->waiting.end())
      continue;
    auto const [request, stage] = found->second;
    this->waiting.erase(found);
    this->ScheduleAt(this->now + kNetworkTime,
                     [this, request = request, stage = stage, result] { this->OnResult(request, stage, result); });
  }
}

void
StageLoad::EndCall(std::string const& aService, StageCall const& aCall)
{
  std::vector<ItemResult> results;
  for (std::size_t index = 0; index < aCall.items.size(); ++index)
    results.push_back({ ItemEnd::Completed, aCall.address + "/" + std::to_string(++this->lastResult) });
  this->ApplyDecisions(aService,
                       OnCallEnd(this->pools.at(aService), aCall.id, StageCallEnd::Responded, results, this->now));
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
  auto& counts = this->counts[aRequest->kind->name];
  bool const onTime = this->now - aRequest->received <= aRequest->kind->target;
  ++(onTime ? counts.onTime : counts.late);
  this->ReleaseRequest(aRequest);
}

void
StageLoad::Refuse(RequestPointer const& aRequest, Duration aRetryAfter)
{
  auto& counts = this->counts[aRequest->kind->name];
  ++counts.refusals;
  counts.refusedAfter += this->now - aRequest->started;
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
