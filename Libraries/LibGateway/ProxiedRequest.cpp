#include "ProxiedRequest.h"
#include "RequestLimits.h"

namespace Hornbeam::Gateway {

/// The time from sending a request to an idle model endpoint to its first event: connecting, processing the prompt and
/// one decoding step.
static constexpr Duration kTimeToFirstEvent = 150ms;
static constexpr unsigned kMaxStageRestarts = 2;

std::string_view
ToString(RequestOutcome aOutcome)
{
  switch (aOutcome) {
    case RequestOutcome::Completed:
      return "answered";
    case RequestOutcome::Refused:
      return "refused";
    case RequestOutcome::Failed:
      return "failed";
    case RequestOutcome::Interrupted:
      return "broken-off";
    case RequestOutcome::CallerDisconnected:
      return "caller-gone";
  }
  VerifyNotReached();
}

ProxiedRequest::ProxiedRequest(ProxyService& aService,
                               std::shared_ptr<Exchange> aExchange,
                               std::shared_ptr<ServingTable const> aTable,
                               Route const& aRoute,
                               ClientAccount aAccount,
                               Platform::RequestMetadata aMetadata)
  : proxy(aService)
  , exchange(std::move(aExchange))
  , table(std::move(aTable))
  , route(aRoute)
  , account(std::move(aAccount))
  , metadata(std::move(aMetadata))
  , crashCandidates(SharedParts(this->metadata.prefixHashes))
{
  auto const& message = this->exchange->Request();
  this->crashCandidates.push_back(
    FingerprintOf({ this->account.name, message.method, this->metadata.host, message.target, message.body }));
}

MonotonicTime
DeadlineOf(Route const& aRoute, std::optional<Duration> aClientTimeout, MonotonicTime aReceived)
{
  return aReceived + std::min(aRoute.timeout, aClientTimeout.value_or(aRoute.timeout)) - kResponseMargin;
}

bool
ProxiedRequest::IsRetryable() const
{
  // Only a stream of events can be continued by another response.
  if (this->responseBegun && !this->ForwardsEvents())
    return false;
  return this->route.kind == RequestKind::Safe || (this->route.kind == RequestKind::Streaming && this->route.resumable);
}

std::string
AffinityKeyOf(Route const& aRoute, std::vector<std::string> const& aParts)
{
  // The deepest part that other requests can share; the last part is specific to the request or its session.
  if (!aRoute.prefixAffinity || aParts.empty())
    return "";
  return aParts.size() > 1 ? aParts[aParts.size() - 2] : aParts.back();
}

EndpointQuery
ProxiedRequest::MakeQuery() const
{
  EndpointQuery query{ this->serviceName,
                       AffinityKeyOf(this->route, this->metadata.prefixHashes),
                       this->triedEndpoints,
                       this->proxy.settings.name,
                       this->proxy.settings.dataCenter,
                       this->streamVersion };
  this->Restrict(query);
  return query;
}

void
ProxiedRequest::Begin()
{
  auto const received = this->exchange->Received();
  this->deadline = DeadlineOf(this->route, this->metadata.clientTimeout, received);
  this->targetTime = received + this->route.targetLatency;
  this->priority = this->account.priority.value_or(this->route.priority);
  auto const draw = [this] {
    return double(this->proxy.random() - std::minstd_rand::min()) /
           (double(std::minstd_rand::max()) - double(std::minstd_rand::min()) + 1);
  };
  this->serviceName = PickService(this->route, draw());
  this->versionDraw = draw();
  this->proxy.rollouts.OnRequest(this->serviceName);
  CountRequest(this->proxy.retryBudgets[this->serviceName], this->proxy.settings.retries, received);
  this->exchange->onCallerDisconnected = this->Callback(
    [](ProxiedRequest& aRequest) { aRequest.End(RequestOutcome::CallerDisconnected, 0, "caller-gone"); });
  this->deadlineTimer = this->proxy.clock.Schedule(
    this->deadline - this->proxy.clock.Now(), this->Callback([](ProxiedRequest& aRequest) { aRequest.OnDeadline(); }));
  if (this->TakesStreamUp())
    this->FindStreamOrigin();
  else
    this->StartWork();
}

void
ProxiedRequest::StartWork()
{
  if (this->route.stages.empty()) {
    this->TryEndpoint();
    return;
  }
  if (HasTooManyItems(this->metadata.stageItemCounts)) {
    this->Fail(413, "too-many-pieces");
    return;
  }
  this->stages = PlanStages(this->route.stages, this->metadata.stageItemCounts);
  if (!this->stages) {
    this->Fail(400, "pieces-do-not-fit-stages");
    return;
  }
  auto const now = this->proxy.clock.Now();
  this->preferredEndpoint = this->ChoosePreferred(this->proxy.stateCache.MakeSelectionView(), now).value_or("");
  this->StartStages();
}

void
ProxiedRequest::StartStages()
{
  auto const strongSelf = this->shared_from_this();
  if (this->RefuseIfQuarantined())
    return;
  // A stage that is refused at once ends the request, or sends it back to a silent endpoint.
  while (!this->ended && !this->attempting) {
    auto const startable = StartableStages(*this->stages);
    if (startable.empty())
      break;
    this->StartStage(startable.front());
  }
  if (!this->ended && AllComplete(*this->stages) && !this->attempting)
    this->TryEndpoint();
}

std::string
ProxiedRequest::PreferredDataCenter(unsigned aStage, std::vector<std::string> const& aInputs) const
{
  auto const& endpoints = this->proxy.stateCache.Endpoints();
  // Every item reads all inputs, so they cause more traffic than the results.
  if (!aInputs.empty()) {
    auto const source = SourcesOf(*this->stages, aStage).front();
    auto const address = aInputs.front().substr(0, aInputs.front().find('/'));
    return DataCenterAt(endpoints, this->stages->rules[source].service, address);
  }
  auto const preferred = endpoints.byId.find(this->preferredEndpoint);
  return preferred == endpoints.byId.end() ? "" : preferred->second.entry.dataCenter;
}

Duration
ProxiedRequest::TimeNeededAfter(unsigned aStage) const
{
  auto const now = this->proxy.clock.Now();
  auto const& backlogs = this->proxy.stages.Backlogs();
  return TimeAfterStage(*this->stages, aStage, *this->table, backlogs, now) + kTimeToFirstEvent;
}

void
ProxiedRequest::StartStage(unsigned aStage)
{
  auto& plan = *this->stages;
  plan.started[aStage] = true;
  auto const now = this->proxy.clock.Now();
  if (plan.items[aStage] == 0) {
    CompleteStage(plan, aStage, {});
    return;
  }
  RemoteStageJob job;
  job.service = plan.rules[aStage].service;
  job.job.requestId = this->metadata.requestId;
  job.job.stage = aStage;
  job.job.items = plan.items[aStage];
  job.job.priority = this->priority;
  job.job.target = this->targetTime;
  job.job.deadline = this->deadline;
  job.job.timeAfterStage = this->TimeNeededAfter(aStage);
  job.job.itemBytes = plan.rules[aStage].resultBytes;
  job.job.key = this->metadata.stageKey;
  job.job.inputs = InputsOf(plan, aStage).value();
  job.job.dataCenter = this->PreferredDataCenter(aStage, job.job.inputs);
  job.job.crossDataCenterBytes = BytesTransferred(plan, aStage);
  auto const run = ++this->lastStageRun;
  auto const done = this->Callback([aStage, run](ProxiedRequest& aRequest, StageResult aResult) {
    aRequest.OnStageResult(aStage, run, std::move(aResult));
  });
  OnStageStarted(this->timeline, aStage, now);
  this->pendingStages[aStage] = { run, nullptr };
  auto cancel = this->proxy.stages.RunStage(std::move(job), done);
  // The run may have ended, or its request may have given it up, before RunStage() returned.
  auto const pending = this->pendingStages.find(aStage);
  if (pending != this->pendingStages.end() && pending->second.number == run)
    pending->second.cancel = std::move(cancel);
  else
    cancel();
}

void
ProxiedRequest::OnStageResult(unsigned aStage, std::uint64_t aRun, StageResult aResult)
{
  auto const pending = this->pendingStages.find(aStage);
  if (this->ended || pending == this->pendingStages.end() || pending->second.number != aRun) {
    this->proxy.stages.Release(this->route.stages[aStage].service, aResult.handles);
    return;
  }
  this->pendingStages.erase(pending);
  OnStageEnded(this->timeline, aStage, aResult.computing, aResult.owner, this->proxy.clock.Now());
  switch (aResult.end) {
    case StageEnd::Completed:
      for (auto const& [stageService, handles] : CompleteStage(*this->stages, aStage, std::move(aResult.handles)))
        this->proxy.stages.Release(stageService, handles);
      this->StartStages();
      return;
    case StageEnd::InputsGone:
      this->RestartStages("inputs-gone");
      return;
    case StageEnd::Late:
      this->Refuse("stage-late", aResult.retryAfter);
      return;
    default:
      this->Refuse("stage-failed", kRetryAfterNoEndpoint);
      return;
  }
}

void
ProxiedRequest::CancelStages()
{
  auto const pending = std::move(this->pendingStages);
  this->pendingStages.clear();
  for (auto const& [stage, run] : pending)
    if (run.cancel)
      run.cancel();
}

bool
ProxiedRequest::HoldsInputs() const
{
  return this->route.stages.empty() || (this->stages && HoldsFinalInputs(*this->stages));
}

void
ProxiedRequest::ObtainInputs(std::string_view aCause)
{
  // The last stage to complete calls TryEndpoint().
  if (!this->stages || !this->pendingStages.empty())
    return;
  if (HasUntriedEndpoint(this->proxy.stateCache.MakeSelectionView(), this->MakeQuery()))
    this->RestartStages(aCause);
  else
    this->Refuse("no-other-endpoint", kRetryAfterNoEndpoint);
}

void
ProxiedRequest::ReleaseResults()
{
  if (!this->stages)
    return;
  this->CancelStages();
  for (auto const& [stageService, handles] : TakeHeldResults(*this->stages))
    this->proxy.stages.Release(stageService, handles);
}

void
ProxiedRequest::RestartStages(std::string_view aCause)
{
  this->ReleaseResults();
  Duration needed = kTimeToFirstEvent;
  for (unsigned stage = 0; stage < this->stages->rules.size(); ++stage)
    needed = std::max(needed, this->TimeNeededAfter(stage));
  if (++this->stageRestarts > kMaxStageRestarts || this->proxy.clock.Now() + needed > this->deadline) {
    this->Refuse(aCause, kRetryAfterNoEndpoint);
    return;
  }
  PART_LOG("request") << "id=" << this->metadata.requestId << " decision=restart-stages cause=" << aCause
                      << " restarts=" << this->stageRestarts;
  this->StartStages();
}

void
ProxiedRequest::EndAfterException()
{
  PART_WARNING("request") << "id=" << this->metadata.requestId
                          << " decision=end cause=exception route=" << this->route.name
                          << " attempting=" << this->attempting << " response_begun=" << this->responseBegun;
  this->mayHaveExecuted = this->mayHaveExecuted || this->attempting;
  auto const ends = [this] {
    this->DropStalledAttempt();
    this->Refuse("internal-error", kRetryAfterNoEndpoint);
  };
  if (!RunGuarded("request-end", ends))
    this->exchange->Abort();
}

void
ProxiedRequest::LogUnfinished() const
{
  auto const now = this->proxy.clock.Now();
  PART_WARNING("request") << "id=" << this->metadata.requestId << " event=unfinished-at-stop route=" << this->route.name
                          << " endpoint=" << this->attempt.endpoint << " attempting=" << this->attempting
                          << " response_begun=" << this->responseBegun
                          << " age_ms=" << Milliseconds(now - this->exchange->Received())
                          << " remaining_ms=" << Milliseconds(this->deadline - now) << ' '
                          << ToLogFields(this->timeline);
}

bool
ProxiedRequest::RefuseIfUnfinishable()
{
  if (this->ended || !this->proxy.stop || this->attempting || this->mayHaveExecuted || this->responseBegun)
    return this->ended;
  RemainingWork const work{ this->route.name, this->route.targetLatency, this->deadline };
  auto const needed = EstimateAnswering(this->proxy.durations, work);
  if (!CanFinishBeforeStop(*this->proxy.stop, work, needed, this->proxy.clock.Now()))
    this->Refuse("stopping", RetryAfterDuringStop(this->proxy.FindOthers()));
  return this->ended;
}

void
ProxiedRequest::EndForStop()
{
  if (this->ended)
    return;
  this->DropStalledAttempt();
  this->LogUnfinished();
  if (this->attempting && !this->responseBegun)
    this->Fail(504, "stopping");
  else
    this->Refuse("stopping", RetryAfterDuringStop(this->proxy.FindOthers()));
}

void
ProxiedRequest::OnDeadline()
{
  if (this->ended)
    return;
  // An endpoint that never answers is a failing one to the comparison of software versions.
  if (this->attempting && !this->attempt.headReceived)
    this->proxy.rollouts.OnAnswer(this->attempt.counted, ResponseOutcome::Failed);
  this->DropStalledAttempt();
  if (this->attempting || this->mayHaveExecuted || this->responseBegun)
    this->Fail(504, "deadline");
  else
    this->Refuse("deadline", kMinRetryAfter);
}

void
ProxiedRequest::Refuse(std::string_view aReason, Duration aRetryAfter)
{
  if (this->ended || this->ReturnToStalledAttempt(aReason))
    return;
  // A refusal guarantees that the request was not executed.
  if (this->mayHaveExecuted || this->responseBegun) {
    this->Fail(502, aReason);
    return;
  }
  auto const retryAfter = std::max(kMinRetryAfter, aRetryAfter);
  this->exchange->Respond(Platform::EncodeLocalResponse(503, this->metadata.requestId, retryAfter), aReason);
  this->End(RequestOutcome::Refused, 503, aReason);
}

void
ProxiedRequest::Fail(unsigned aStatus, std::string_view aReason)
{
  if (this->ended || this->ReturnToStalledAttempt(aReason))
    return;
  if (this->responseBegun) {
    this->End(RequestOutcome::Interrupted, 0, aReason);
    return;
  }
  this->exchange->Respond(Platform::EncodeLocalResponse(aStatus, this->metadata.requestId, std::nullopt), aReason);
  this->End(RequestOutcome::Failed, aStatus, aReason);
}

void
ProxiedRequest::End(RequestOutcome aOutcome, unsigned aStatus, std::string_view aReason)
{
  if (this->ended)
    return;
  auto const strongSelf = this->shared_from_this();
  this->ended = true;
  this->proxy.clock.Cancel(this->deadlineTimer);
  this->proxy.clock.Cancel(this->stallTimer);
  if (std::exchange(this->attempting, false))
    this->DropAttempt(this->attempt);
  this->DropStalledAttempt();
  if (aOutcome == RequestOutcome::Interrupted)
    this->exchange->Abort();
  this->ReleaseResults();
  auto const now = this->proxy.clock.Now();
  auto const took = now - this->exchange->Received();
  if (aOutcome == RequestOutcome::Completed)
    RecordDurations(this->proxy.durations, this->route.name, took, now - this->timeline.sent);
  this->proxy.metrics.CountEndedRequest(aOutcome, aStatus);
  this->proxy.metrics.ObserveRequestTime(took);
  this->proxy.metrics.ObserveParts(PartsOf(this->timeline));
  PART_LOG("request") << "id=" << this->metadata.requestId << " outcome=" << ToString(aOutcome) << " status=" << aStatus
                      << " reason=" << aReason << " route=" << this->route.name << " service=" << this->serviceName
                      << " account=" << this->account.name << " endpoint=" << this->attempt.endpoint
                      << (this->attempt.tunnel.empty() ? "" : " over=" + this->attempt.tunnel)
                      << " attempts=" << this->endedAttempts << " framed=" << this->attempt.framed
                      << " answer_bytes=" << this->attempt.bytes << " stage_restarts=" << this->stageRestarts
                      << " table=" << this->table->version << " duration_ms=" << Milliseconds(took)
                      << " target_ms=" << Milliseconds(this->route.targetLatency) << ' ' << ToLogFields(this->timeline)
                      << " beliefs_age_ms=" << Milliseconds(this->proxy.stateCache.Age());
  this->proxy.activeRequests.erase(strongSelf);
}

}
