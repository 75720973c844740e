#include "ProxiedRequest.h"
#include "RequestLimits.h"

namespace Hornbeam::Gateway {

/// The time from sending to the first event of a model endpoint that is not loaded: connect, read the prompt, one step.
static constexpr Duration kFirstEventTime = 150ms;
static constexpr unsigned kMostStageRestarts = 2;

std::string_view
ToString(RequestOutcome aOutcome)
{
  switch (aOutcome) {
    case RequestOutcome::Answered:
      return "answered";
    case RequestOutcome::Refused:
      return "refused";
    case RequestOutcome::Failed:
      return "failed";
    case RequestOutcome::BrokenOff:
      return "broken-off";
    case RequestOutcome::CallerGone:
      return "caller-gone";
  }
  VerifyNotReached();
}

ProxiedRequest::ProxiedRequest(ProxyService& aService,
                               std::shared_ptr<Exchange> aExchange,
                               std::shared_ptr<ServingTable const> aTable,
                               Route const& aRoute,
                               ClientAccount aAccount,
                               Platform::RequestMetadata aFacts)
  : service(aService)
  , exchange(std::move(aExchange))
  , table(std::move(aTable))
  , route(aRoute)
  , account(std::move(aAccount))
  , facts(std::move(aFacts))
{
}

bool
ProxiedRequest::IsRepeatable() const
{
  return this->route.kind == RequestKind::Safe || (this->route.kind == RequestKind::Streaming && this->route.resumable);
}

std::string
ProxiedRequest::AffinityKey() const
{
  // The deepest part that other requests share; the last one is the request's or its session's own.
  auto const& parts = this->facts.prefixHashes;
  if (!this->route.prefixAffinity || parts.empty())
    return "";
  return parts.size() > 1 ? parts[parts.size() - 2] : parts.back();
}

EndpointQuery
ProxiedRequest::Query() const
{
  return {
    this->target, this->AffinityKey(), this->tried, this->service.settings.name, this->service.settings.dataCenter
  };
}

void
ProxiedRequest::Begin()
{
  auto const received = this->exchange->Received();
  auto const patience = std::min(this->route.timeout, this->facts.clientTimeout.value_or(this->route.timeout));
  this->deadline = received + patience - kAnswerMargin;
  this->due = received + this->route.targetLatency;
  this->rank = this->account.priority.value_or(this->route.priority);
  double const draw = double(this->service.random() - std::minstd_rand::min()) /
                      (double(std::minstd_rand::max()) - double(std::minstd_rand::min()) + 1);
  this->target = PickService(this->route, draw);
  CountRequest(this->service.retryShares[this->target], this->service.settings.retries, received);
  auto const self = this->weak_from_this();
  this->exchange->onCallerDisconnected = [self] {
    if (auto const request = self.lock())
      request->End(RequestOutcome::CallerGone, 0, "caller-gone");
  };
  this->deadlineTimer = this->service.clock.Schedule(this->deadline - this->service.clock.Now(), [self] {
    if (auto const request = self.lock())
      request->OnDeadline();
  });
  if (this->route.stages.empty()) {
    this->TryEndpoint();
    return;
  }
  this->stages = PlanStages(this->route.stages, this->facts.stageItemCounts);
  if (!this->stages) {
    this->Fail(400, "pieces-do-not-fit-stages");
    return;
  }
  auto const now = this->service.clock.Now();
  this->plannedEndpoint = ChooseEndpoint(this->service.stateCache.View(), this->Query(), now).value_or("");
  this->StartStages();
}

void
ProxiedRequest::StartStages()
{
  auto const keep = this->shared_from_this();
  for (auto const stage : StartableStages(*this->stages)) {
    if (this->ended)
      return;
    this->StartStage(stage);
  }
  if (!this->ended && AllComplete(*this->stages) && !this->attempting)
    this->TryEndpoint();
}

std::string
ProxiedRequest::BestDataCenter(unsigned aStage, std::vector<std::string> const& aInputs) const
{
  auto const& endpoints = this->service.stateCache.Endpoints();
  // The inputs are read by each piece and weigh more than the results.
  if (!aInputs.empty()) {
    auto const before = this->stages->rules[aStage].after.front();
    auto const address = aInputs.front().substr(0, aInputs.front().find('/'));
    return DataCenterAt(endpoints, this->stages->rules[before].service, address);
  }
  auto const planned = endpoints.byId.find(this->plannedEndpoint);
  return planned == endpoints.byId.end() ? "" : planned->second.entry.dataCenter;
}

Duration
ProxiedRequest::TimeAfter(unsigned aStage) const
{
  auto const now = this->service.clock.Now();
  auto const& backlogs = this->service.stages.Backlogs();
  return TimeAfterStage(*this->stages, aStage, *this->table, backlogs, now) + kFirstEventTime;
}

void
ProxiedRequest::StartStage(unsigned aStage)
{
  auto& plan = *this->stages;
  plan.started[aStage] = true;
  auto inputs = InputsOf(plan, aStage);
  if (plan.items[aStage] == 0) {
    CompleteStage(plan, aStage, std::move(inputs));
    this->StartStages();
    return;
  }
  RemoteOrder order;
  order.service = plan.rules[aStage].service;
  order.order.requestId = this->facts.requestId;
  order.order.stage = aStage;
  order.order.items = plan.items[aStage];
  order.order.priority = this->rank;
  order.order.target = this->due;
  order.order.deadline = this->deadline;
  order.order.timeAfterStage = this->TimeAfter(aStage);
  order.order.itemBytes = plan.rules[aStage].resultBytes;
  order.order.key = this->facts.stageKey;
  order.order.inputs = inputs;
  order.order.dataCenter = this->BestDataCenter(aStage, order.order.inputs);
  order.order.crossDataCenterBytes = BytesTransferred(plan, aStage);
  auto const self = this->weak_from_this();
  auto const done = [self, aStage](StageResult aResult) {
    if (auto const request = self.lock())
      request->OnStageResult(aStage, std::move(aResult));
  };
  // The answer may come before Make() returns.
  this->openStages[aStage] = nullptr;
  auto cancel = this->service.stages.Make(std::move(order), done);
  auto const open = this->openStages.find(aStage);
  if (open != this->openStages.end())
    open->second = std::move(cancel);
}

void
ProxiedRequest::OnStageResult(unsigned aStage, StageResult aResult)
{
  if (this->ended)
    return;
  this->openStages.erase(aStage);
  switch (aResult.end) {
    case StageEnd::Completed:
      for (auto const& [stageService, handles] : CompleteStage(*this->stages, aStage, std::move(aResult.handles)))
        this->service.stages.Release(stageService, handles);
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
  auto const open = std::move(this->openStages);
  this->openStages.clear();
  for (auto const& [stage, cancel] : open)
    if (cancel)
      cancel();
}

void
ProxiedRequest::ReleaseResults()
{
  if (!this->stages || this->resultsReleased)
    return;
  this->resultsReleased = true;
  for (auto const& [stageService, handles] : TakeHeldResults(*this->stages))
    this->service.stages.Release(stageService, handles);
}

void
ProxiedRequest::RestartStages(std::string_view aCause)
{
  this->CancelStages();
  this->ReleaseResults();
  Duration needed = kFirstEventTime;
  for (unsigned stage = 0; stage < this->stages->rules.size(); ++stage)
    needed = std::max(needed, this->TimeAfter(stage));
  if (++this->stageRestarts > kMostStageRestarts || this->service.clock.Now() + needed > this->deadline) {
    this->Refuse(aCause, kRetryAfterNoEndpoint);
    return;
  }
  PART_LOG("request") << "id=" << this->facts.requestId << " decision=restart-stages cause=" << aCause
                      << " restarts=" << this->stageRestarts;
  Gateway::RestartStages(*this->stages);
  this->resultsReleased = false;
  this->StartStages();
}

void
ProxiedRequest::OnDeadline()
{
  if (this->ended)
    return;
  if (this->attempting || this->mayHaveRun || this->answerBegun)
    this->Fail(504, "deadline");
  else
    this->Refuse("deadline", kLeastRetryAfter);
}

void
ProxiedRequest::Refuse(std::string_view aReason, Duration aRetryAfter)
{
  if (this->ended)
    return;
  // The refusal would promise that nothing ran.
  if (this->mayHaveRun || this->answerBegun) {
    this->Fail(502, aReason);
    return;
  }
  auto const retryAfter = std::max(kLeastRetryAfter, aRetryAfter);
  this->exchange->Respond(Platform::EncodeLocalResponse(503, this->facts.requestId, retryAfter), aReason);
  this->End(RequestOutcome::Refused, 503, aReason);
}

void
ProxiedRequest::Fail(unsigned aStatus, std::string_view aReason)
{
  if (this->ended)
    return;
  if (this->answerBegun) {
    this->End(RequestOutcome::BrokenOff, 0, aReason);
    return;
  }
  this->exchange->Respond(Platform::EncodeLocalResponse(aStatus, this->facts.requestId, std::nullopt), aReason);
  this->End(RequestOutcome::Failed, aStatus, aReason);
}

void
ProxiedRequest::End(RequestOutcome aOutcome, unsigned aStatus, std::string_view aReason)
{
  if (this->ended)
    return;
  auto const keep = this->shared_from_this();
  this->ended = true;
  this->service.clock.Cancel(this->deadlineTimer);
  this->service.clock.Cancel(this->stallTimer);
  if (this->attempting) {
    this->call.Abandon();
    this->attempting = false;
    OnRequestEnded(this->service.stateCache.Endpoints(), this->endpoint);
  }
  if (aOutcome == RequestOutcome::BrokenOff)
    this->exchange->Abort();
  this->CancelStages();
  this->ReleaseResults();
  auto const took = this->service.clock.Now() - this->exchange->Received();
  this->service.metrics.CountEnd(aOutcome, aStatus);
  this->service.metrics.ObserveEnd(took);
  PART_LOG("request") << "id=" << this->facts.requestId << " outcome=" << ToString(aOutcome) << " status=" << aStatus
                      << " reason=" << aReason << " route=" << this->route.name << " service=" << this->target
                      << " account=" << this->account.name << " endpoint=" << this->endpoint
                      << " attempts=" << this->attempts << " stage_restarts=" << this->stageRestarts
                      << " table=" << this->table->version << " took_ms=" << Milliseconds(took)
                      << " target_ms=" << Milliseconds(this->route.targetLatency)
                      << " beliefs_age_ms=" << Milliseconds(this->service.stateCache.Age());
  this->service.active.erase(keep);
}

}
