#include "ActiveRequest.h"
#include <algorithm>
#include <utility>

/// The attempts of RequestService: sends them to endpoints and handles their results.

namespace Hornbeam {

/// An attempt of a repeatable stage times out after this many times its expected duration, so that time is left to
/// retry, but not before half of the remaining time has passed.
static constexpr int kAttemptTimeoutFactor = 4;

Duration
RequestService::AttemptTimeout(RequestPointer const& aRequest, EndpointRow const& aEndpoint)
{
  auto const left = aRequest->progress.deadline - this->clock.Now();
  bool const repeatable = aRequest->progress.pipeline.repeatability == Repeatability::Repeatable;
  if (!repeatable || this->settings.policy != RoutingPolicy::Adaptive)
    return left;
  auto const expected = this->grants.ViewOf(aEndpoint).latency;
  auto const timeout = kAttemptTimeoutFactor * (expected.mean + expected.deviation);
  return std::min<Duration>(left, std::max<Duration>(timeout, left / 2));
}

void
RequestService::StartAttempt(RequestPointer const& aRequest, EndpointRow const& aEndpoint, Choice const& aChoice)
{
  auto& progress = aRequest->progress;
  OnAttemptStarted(progress, aEndpoint.name);
  auto const& self = this->membership.Self();
  ++this->usage.attempts;
  this->usage.retries += progress.attempt > 1 ? 1 : 0;
  ++this->outstanding[aEndpoint.name];
  auto& attempt = aRequest->attempt.emplace();
  attempt.endpoint = aEndpoint.name;
  attempt.startedAt = this->clock.Now();
  attempt.timeout = this->AttemptTimeout(aRequest, aEndpoint);
  attempt.response.attempt = AttemptName(progress, self.name, self.incarnation);
  attempt.response.nextToken = progress.tokens.size();
  attempt.resumed = !progress.tokens.empty();
  PART_LOG("routing") << "sent " << attempt.response.attempt << " (" << aEndpoint.pool << ") to " << aEndpoint.name
                      << ": " << aChoice.reason << ".";
  StageCall call{ attempt.response.attempt,
                  aEndpoint.pool,
                  progress.input,
                  progress.deadline - attempt.startedAt,
                  progress.tokens.size() };
  auto const abandon =
    this->endpoints.run({ aEndpoint.address, std::move(call), attempt.timeout }, this->MakeEvents(aRequest, aEndpoint));
  if (aRequest->attempt)
    aRequest->attempt->abandon = abandon;
}

EndpointEvents
RequestService::MakeEvents(RequestPointer const& aRequest, EndpointRow const& aEndpoint)
{
  EndpointEvents events;
  events.mayStillSend = [this, aRequest, aEndpoint] { return this->MayStillSend(aRequest, aEndpoint); };
  events.onChunk = [this, aRequest](std::string_view aChunk) { this->OnChunk(aRequest, aChunk); };
  events.onEnd = [this, aRequest, aEndpoint](EndpointCallEnd aEnd) { this->OnCallEnd(aRequest, aEndpoint, aEnd); };
  return events;
}

/// Checked again immediately before the call is sent: the process may have been paused since the routing decision, and
/// its state may have changed meanwhile.
bool
RequestService::MayStillSend(RequestPointer const& aRequest, EndpointRow const& aEndpoint) const
{
  if (aRequest->finished || this->clock.Now() >= aRequest->progress.deadline)
    return false;
  auto const& table = this->configuration.Current();
  auto const row = table.endpoints.find(aEndpoint.name);
  bool const open = row != table.endpoints.end() && !IsOutOfRotation(table, row->second) &&
                    !this->membership.IsLeavingAddress(aEndpoint.address);
  if (!open || !this->membership.HoldsLeaseNow())
    return false;
  bool const granted =
    this->settings.policy != RoutingPolicy::Adaptive || this->grants.IsEndpointGrantValid(aEndpoint.name);
  if (granted)
    aRequest->progress.sent = true;
  return granted;
}

void
RequestService::OnChunk(RequestPointer const& aRequest, std::string_view aChunk)
{
  if (aRequest->finished || !aRequest->attempt)
    return;
  auto& progress = aRequest->progress;
  for (auto& token : FeedResponse(aRequest->attempt->response, aChunk)) {
    for (auto const& sink : aRequest->sinks) {
      if (sink.onToken)
        sink.onToken(token);
    }
    progress.tokens.push_back(std::move(token));
  }
}

void
RequestService::OnCallEnd(RequestPointer const& aRequest, EndpointRow const& aEndpoint, EndpointCallEnd const& aEnd)
{
  if (aRequest->finished || !aRequest->attempt)
    return;
  auto const& response = aRequest->attempt->response;
  AttemptResult result;
  if (aEnd.end == HttpCallEnd::NotSent)
    result = { AttemptEnd::NotSent, "", aEnd.detail };
  else if (aEnd.end == HttpCallEnd::Complete || response.finished || response.error)
    result = ResultOf(response);
  else
    result = { AttemptEnd::Lost, "", aEnd.detail };
  this->EndAttempt(aRequest, aEndpoint, result);
}

/// A resumed call produces only the rest of a response; its short duration does not show that the endpoint is fast or
/// warm.
static CallOutcome
OutcomeOf(AttemptResult const& aResult, bool aResumed)
{
  switch (aResult.end) {
    case AttemptEnd::Succeeded:
      return aResumed ? CallOutcome::Inconclusive : CallOutcome::Succeeded;
    case AttemptEnd::Declined:
    case AttemptEnd::Lost:
    // An endpoint whose process was not reachable is cold when it comes back.
    case AttemptEnd::NotSent:
      return CallOutcome::Failed;
  }
  VerifyNotReached();
}

void
RequestService::EndAttempt(RequestPointer const& aRequest, EndpointRow const& aEndpoint, AttemptResult const& aResult)
{
  auto const elapsed = this->clock.Now() - aRequest->attempt->startedAt;
  auto const pool = aEndpoint.pool;
  bool const resumed = aRequest->attempt->resumed;
  aRequest->attempt.reset();
  --this->outstanding[aEndpoint.name];
  this->usage.endpointTime[pool] += elapsed;
  bool const succeeded = aResult.end == AttemptEnd::Succeeded;
  if (!succeeded) {
    ++this->usage.wastedAttempts;
    this->usage.wastedTime += elapsed;
    PART_LOG("routing") << "attempt at " << aEndpoint.name << " for request " << aRequest->progress.id
                        << " failed: " << aResult.detail << ".";
  }
  if (this->settings.policy == RoutingPolicy::Adaptive)
    this->grants.ReleaseEndpointSlot(aEndpoint, OutcomeOf(aResult, resumed), elapsed);
  if (!succeeded)
    this->RecordEndpointFailure(aEndpoint);
  else if (!resumed)
    ObserveService(this->estimates[pool], elapsed);
  auto const step =
    OnAttemptEnded(aRequest->progress, aEndpoint.name, aResult, elapsed, this->retryBudget, this->clock.Now());
  switch (step.kind) {
    case StepKind::RunStage:
      this->EnqueueStage(aRequest);
      break;
    case StepKind::Refuse:
      this->FinishRefused(aRequest, step.refusal);
      break;
    case StepKind::Complete: {
      PipelineResponse response;
      response.output = aRequest->progress.input;
      response.tokens = aRequest->progress.tokens.size();
      response.stages = aRequest->progress.stages;
      this->Finish(aRequest, response);
      break;
    }
  }
  this->DispatchPool(pool);
}

void
RequestService::RecordEndpointFailure(EndpointRow const& aEndpoint)
{
  std::vector<OutlierState const*> pool;
  for (auto const& [name, endpoint] : this->configuration.Current().endpoints) {
    if (endpoint.pool == aEndpoint.pool)
      pool.push_back(&this->grants.ViewOf(endpoint).outlier);
  }
  auto& outlier = this->grants.ViewOf(aEndpoint).outlier;
  if (OnCallFailed(outlier, pool, this->outlierSettings, this->clock.Now()))
    PART_LOG("routing") << "ejected " << aEndpoint.name << " temporarily: " << this->outlierSettings.failuresToEject
                        << " consecutive failures.";
}

void
RequestService::AbandonAttempt(RequestPointer const& aRequest)
{
  if (!aRequest->attempt)
    return;
  auto const attempt = std::move(*aRequest->attempt);
  aRequest->attempt.reset();
  if (attempt.abandon)
    attempt.abandon();
  auto const elapsed = this->clock.Now() - attempt.startedAt;
  ++this->usage.wastedAttempts;
  this->usage.wastedTime += elapsed;
  --this->outstanding[attempt.endpoint];
  auto const& rows = this->configuration.Current().endpoints;
  auto row = rows.find(attempt.endpoint);
  EndpointRow removed;
  removed.name = attempt.endpoint;
  if (this->settings.policy == RoutingPolicy::Adaptive)
    this->grants.ReleaseEndpointSlot(row != rows.end() ? row->second : removed, CallOutcome::Inconclusive, elapsed);
}

}
