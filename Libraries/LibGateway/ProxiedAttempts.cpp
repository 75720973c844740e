#include "ProxiedRequest.h"
#include "RequestLimits.h"

namespace Hornbeam::Gateway {

static constexpr Duration kConnectTimeout = 400ms;
/// The number of failed connects allowed per request. They do not count as attempts, because nothing was sent.
static constexpr unsigned kMaxConnectFailures = 4;
/// A request waits for an available endpoint for at most this fraction (1/n) of its time until the deadline; after
/// that, it is better for the caller to retry.
static constexpr unsigned kEndpointWaitDivisor = 4;
/// Responses up to this size are buffered until they are complete, so that the request can be retried if one is
/// interrupted.
static constexpr std::size_t kMaxBufferedResponseBytes = 262144;
/// If more bytes than this are unsent to a slow caller, reading from the endpoint is paused.
static constexpr std::size_t kMaxUnsentBytes = 131072;
static constexpr std::size_t kMaxLoggedEventId = 32;
/// An attempt whose stream contains a longer event is failed, because an event is buffered until it is complete.
static constexpr std::size_t kMaxEventBytes = 262144;

bool
ProxiedRequest::RefuseIfQuarantined()
{
  auto const quarantined = this->proxy.crashes.FindQuarantined(this->crashCandidates);
  if (!quarantined || this->ended)
    return false;
  this->proxy.crashes.CountRefusal();
  PART_LOG("request") << "id=" << this->metadata.requestId << " decision=refuse cause=quarantined"
                      << " candidate=" << quarantined->name << " left_ms=" << Milliseconds(quarantined->timeLeft);
  this->Refuse("quarantined", quarantined->timeLeft);
  return true;
}

void
ProxiedRequest::TryEndpoint()
{
  if (this->ended || this->attempting || this->RefuseIfUnfinishable() || this->RefuseIfQuarantined())
    return;
  if (!this->HoldsInputs()) {
    this->ObtainInputs("inputs-missing");
    return;
  }
  auto const now = this->proxy.clock.Now();
  OnReady(this->timeline, now);
  auto const view = this->proxy.stateCache.MakeSelectionView();
  auto const preferred = view.endpoints.byId.find(this->preferredEndpoint);
  std::optional<std::string> chosen;
  bool const preferredIsUsable = preferred != view.endpoints.byId.end() && this->triedEndpoints.empty() &&
                                 HasQueriedVersion(this->MakePreferredQuery(), preferred->second.entry) &&
                                 IsUsable(view.endpoints, preferred->second) && preferred->second.ejectedUntil <= now &&
                                 EarliestSendTo(view, preferred->second, this->proxy.settings.name) <= now &&
                                 preferred->second.coldUntil <= now;
  if (preferredIsUsable)
    chosen = this->preferredEndpoint;
  else
    chosen = this->ChoosePreferred(view, now);
  if (chosen) {
    this->SendAttempt(*chosen);
    return;
  }
  if (this->waitingSince == MonotonicTime())
    this->waitingSince = now;
  bool const noEndpointLeft = !HasUntriedEndpoint(view, this->MakeQuery());
  if (!this->triedEndpoints.empty() && noEndpointLeft) {
    this->Refuse("no-other-endpoint", kRetryAfterNoEndpoint);
    return;
  }
  auto const waitEnd = this->waitingSince + (this->deadline - this->exchange->Received()) / kEndpointWaitDivisor;
  if (now > waitEnd) {
    this->Refuse("no-endpoint", kRetryAfterNoEndpoint);
    return;
  }
  if (auto const room = EarliestRoom(view, this->MakeQuery()); room && *room > waitEnd) {
    // Other fronts may send to the endpoints earlier.
    this->Refuse("endpoints-limited", std::min<Duration>(*room - now, kRetryAfterNoEndpoint));
    return;
  }
  this->proxy.waitingRequests.push_back(this->weak_from_this());
  this->proxy.ScheduleRetryWaiting();
}

OutgoingCall
ProxiedRequest::MakeCall(EndpointEntry const& aEntry, std::vector<std::string> aInputs) const
{
  auto const remaining = this->deadline - this->proxy.clock.Now();
  Platform::EndpointRequestFields fields;
  fields.endpointId = aEntry.id;
  fields.remainingTime = remaining;
  fields.account = this->account.name;
  if (this->route.kind == RequestKind::Streaming)
    fields.priority = this->priority;
  fields.inputs = std::move(aInputs);
  if (this->eventStream.lastId)
    fields.lastEventId = this->eventStream.lastId;
  OutgoingCall outgoing;
  outgoing.address = aEntry.address;
  outgoing.request = Platform::EncodeEndpointRequest(this->exchange->Request(), fields);
  outgoing.timeout = remaining + 2 * kResponseMargin;
  outgoing.connectTimeout = std::min<Duration>(kConnectTimeout, remaining);
  return outgoing;
}

void
ProxiedRequest::SendAttempt(std::string const& aEndpoint)
{
  auto const now = this->proxy.clock.Now();
  auto const& endpoint = this->proxy.stateCache.Endpoints().byId.at(aEndpoint);
  auto const& entry = endpoint.entry;
  auto inputs = this->stages ? FinalInputs(*this->stages).value() : std::vector<std::string>();
  auto const inputCount = inputs.size();
  auto outgoing = this->MakeCall(entry, std::move(inputs));
  if (!CanSerialize(outgoing.request.fields)) {
    this->Fail(this->mayHaveExecuted ? 502 : 413, "head-too-long");
    return;
  }
  this->attempt = {};
  this->attempt.number = ++this->lastAttempt;
  this->attempt.endpoint = aEndpoint;
  this->attempt.process = ProcessOf(entry);
  this->attempt.softwareVersion = entry.softwareVersion;
  this->attempting = true;
  CallEvents callEvents;
  callEvents.onHead =
    this->AttemptCallback([](ProxiedRequest& aRequest, ResponseHead const& aHead) { aRequest.OnHead(aHead); });
  callEvents.onBody =
    this->AttemptCallback([](ProxiedRequest& aRequest, std::string aData) { aRequest.OnBody(std::move(aData)); });
  callEvents.onEnd = this->Callback([number = this->attempt.number](ProxiedRequest& aRequest, CallEnd aEnd) {
    if (!aRequest.OnStalledAttemptEnd(number, aEnd) && aRequest.GoOnWith(number))
      aRequest.OnAttemptEnd(aEnd);
  });
  this->attempt.watched = this->proxy.crashes.OnAttemptSent(entry, this->crashCandidates);
  this->attempt.counted = this->proxy.rollouts.OnAttemptSent(endpoint, this->route.name);
  OnAttemptSent(this->timeline, now);
  OnRequestSent(this->proxy.stateCache.Endpoints(), aEndpoint, this->proxy.stateCache.Fronts().byName.size(), now);
  this->attempt.load = this->proxy.loads.OnAttemptSent(entry, this->metadata.tokenUsage);
  if (this->stages)
    PART_LOG("request") << "id=" << this->metadata.requestId << " decision=send endpoint=" << aEndpoint
                        << " inputs=" << inputCount << ' ' << StagesProgress(*this->stages)
                        << " restarts=" << this->stageRestarts;
  this->attempt.call = this->proxy.connections.Send(std::move(outgoing), std::move(callEvents));
  this->ArmStallTimer();
}

void
ProxiedRequest::RecordAttemptHealth(AttemptHealth aHealth)
{
  this->proxy.clock.Cancel(this->stallTimer);
  this->attempting = false;
  this->RecordHealth(this->attempt, aHealth);
}

void
ProxiedRequest::RecordHealth(EndpointAttempt const& aAttempt, AttemptHealth aHealth)
{
  this->proxy.crashes.OnAttemptEnd(aAttempt.watched,
                                   aHealth == AttemptHealth::Healthy ? WatchedEnd::Complete : WatchedEnd::Other);
  bool const failed = aHealth == AttemptHealth::Failed;
  if (failed && this->proxy.rollouts.IsAvoidedAfterFailure(this->serviceName, aAttempt.softwareVersion))
    this->avoidsTarget = true;
  auto const outcome = failed ? ResponseOutcome::Failed : ResponseOutcome::Succeeded;
  bool const tells = failed || aHealth == AttemptHealth::Healthy;
  this->proxy.rollouts.OnAttemptEnd(aAttempt.counted, tells ? std::optional(outcome) : std::nullopt);
  auto& endpoints = this->proxy.stateCache.Endpoints();
  OnRequestEnded(endpoints, aAttempt.endpoint);
  this->proxy.loads.OnAttemptEnd(aAttempt.process, aAttempt.load);
  auto const coldTime = RuleOf(*this->table, this->serviceName).coldTime;
  bool const linkInDoubt = failed && this->proxy.endpointPaths.IsLinkInDoubt(aAttempt.process.address);
  if (!linkInDoubt)
    Gateway::OnAttemptEnd(endpoints, aAttempt.endpoint, aHealth, coldTime, this->proxy.clock.Now());
}

void
ProxiedRequest::DropAttempt(EndpointAttempt const& aAttempt)
{
  aAttempt.call.Abandon();
  this->proxy.crashes.OnAttemptEnd(aAttempt.watched, WatchedEnd::Other);
  // A response that was not waited for took at least the time until now.
  this->proxy.rollouts.OnAttemptEnd(aAttempt.counted,
                                    aAttempt.headReceived ? std::nullopt : std::optional(ResponseOutcome::Succeeded));
  OnRequestEnded(this->proxy.stateCache.Endpoints(), aAttempt.endpoint);
  this->proxy.loads.OnAttemptEnd(aAttempt.process, aAttempt.load);
}

void
ProxiedRequest::OnHead(ResponseHead const& aHead)
{
  if (this->ended)
    return;
  this->attempt.headReceived = true;
  this->attempt.tunnel = this->attempt.call.TunnelAddress();
  this->attempt.framed = HasBodyFraming(aHead);
  auto const response = Platform::DecodeEndpointResponse(aHead);
  // A response that names another request, or none, does not belong to this request. Only a refusal may name none, and
  // only on a new connection: on a kept one, it may be that of an earlier request once more.
  bool const anonymousRefusal =
    response.notExecuted && response.requestId.empty() && !this->attempt.call.UsesKeptConnection();
  bool const mismatched = response.requestId != this->metadata.requestId && !anonymousRefusal;
  bool const success = aHead.status / 100 == 2;
  // Another request's answer may be an old one, and a misdirected one comes from another process.
  if (!mismatched && !response.misdirected)
    this->proxy.stateCache.ApplySignals(
      this->attempt.process, Platform::DecodeAnswerSignals(aHead.status, aHead.fields), this->metadata.requestId);
  if (response.notExecuted || mismatched || (success && (!response.hasSignature || response.hasContentEncoding))) {
    this->attempt.call.Abandon();
    if (response.notExecuted && !mismatched) {
      this->OnNotExecuted(response);
      return;
    }
    this->RecordAttemptHealth(AttemptHealth::Failed);
    this->mayHaveExecuted = true;
    ++this->endedAttempts;
    this->HandleFailedAttempt(mismatched ? "foreign-answer" : "answer-not-the-endpoints");
    return;
  }
  if (aHead.status >= 500 && this->stalled) {
    this->FailAttempt("endpoint-error");
    return;
  }
  if (aHead.status >= 500 && !this->responseBegun && this->RetryOnError())
    return;
  this->ArmStallTimer();
  this->attempt.forwarding = true;
  this->proxy.rollouts.OnAnswer(this->attempt.counted,
                                aHead.status >= 500 ? ResponseOutcome::Failed : ResponseOutcome::Succeeded);
  bool const resumed = this->responseBegun;
  if (resumed && !this->ContinuesStream(aHead)) {
    this->attempt.call.Abandon();
    this->RecordAttemptHealth(AttemptHealth::Failed);
    ++this->endedAttempts;
    this->HandleFailedAttempt("resumption-refused");
    return;
  }
  this->GiveStalledAttemptUp();
  if (resumed)
    return;
  if (this->route.kind == RequestKind::Streaming && success)
    this->BeginResponse(aHead);
  else
    this->attempt.bufferedHead = aHead;
}

bool
ProxiedRequest::ContinuesStream(ResponseHead const& aHead) const
{
  // The text of an error may end with blank lines, too.
  return aHead.status / 100 == 2 && EqualIgnoringCase(FieldValue(aHead.fields, "Content-Type"), this->contentType);
}

bool
ProxiedRequest::RetryOnError()
{
  // Otherwise the endpoint's error response is forwarded to the caller.
  if (!this->IsRetryable() || !this->TryAcquireRetry())
    return false;
  this->AbandonAndRetry("endpoint-error");
  return true;
}

void
ProxiedRequest::AbandonAndRetry(std::string_view aCause)
{
  auto const strongSelf = this->shared_from_this();
  this->attempt.call.Abandon();
  this->RecordAttemptHealth(AttemptHealth::Failed);
  this->mayHaveExecuted = true;
  ++this->endedAttempts;
  this->Retry(aCause);
}

void
ProxiedRequest::Retry(std::string_view aCause)
{
  PART_LOG("request") << "id=" << this->metadata.requestId << " decision=retry cause=" << aCause
                      << " endpoint=" << this->attempt.endpoint << " attempts=" << this->endedAttempts;
  this->triedEndpoints.push_back(this->attempt.endpoint);
  // A stream resumes after its last complete event, so a partial event is sent again in full.
  PrepareResumption(this->eventStream);
  if (this->HoldsInputs())
    this->TryEndpoint();
  else
    this->ObtainInputs(aCause);
}

void
ProxiedRequest::OnNotExecuted(Platform::EndpointResponse const& aResponse)
{
  this->RecordAttemptHealth(aResponse.misdirected ? AttemptHealth::Misdirected : AttemptHealth::Full);
  ++this->endedAttempts;
  if (aResponse.inputsGone && this->stages) {
    this->RestartStages("results-gone");
    return;
  }
  if (this->TryAcquireRetry()) {
    this->Retry("not-run");
    return;
  }
  this->Refuse("endpoint-refused", kMinRetryAfter);
}

bool
ProxiedRequest::TryAcquireRetry()
{
  auto const now = this->proxy.clock.Now();
  auto const started = this->endedAttempts + (this->attempting ? 1 : 0) + (this->stalled ? 1 : 0);
  if (started >= this->route.maxAttempts || now >= this->deadline)
    return false;
  return TakeRetry(this->proxy.retryBudgets[this->serviceName],
                   this->proxy.settings.retries,
                   std::max<std::size_t>(1, this->proxy.stateCache.Fronts().byName.size()),
                   now);
}

std::string
ProxiedRequest::AttemptProgress() const
{
  auto const begun = this->timeline.firstByte;
  auto const age = this->proxy.clock.Now() - begun;
  return "head_received=" + std::to_string(this->attempt.headReceived) +
         " framed=" + std::to_string(this->attempt.framed) +
         " answer_age_ms=" + (begun == MonotonicTime() ? "-" : std::to_string(Milliseconds(age))) +
         " answer_bytes=" + std::to_string(this->attempt.bytes) + " software=" + this->attempt.softwareVersion +
         " last_event=" + this->eventStream.lastId.value_or("-").substr(0, kMaxLoggedEventId) +
         " suspected=" + std::to_string(this->suspected) + " candidates=" + ToLogField(this->crashCandidates);
}

void
ProxiedRequest::FailAttempt(std::string_view aCause)
{
  this->attempt.call.Abandon();
  this->RecordAttemptHealth(AttemptHealth::Failed);
  this->mayHaveExecuted = true;
  ++this->endedAttempts;
  this->HandleFailedAttempt(aCause);
}

void
ProxiedRequest::HandleFailedAttempt(std::string_view aCause)
{
  auto const strongSelf = this->shared_from_this();
  PART_LOG("request") << "id=" << this->metadata.requestId << " decision=attempt-failed cause=" << aCause
                      << " endpoint=" << this->attempt.endpoint << " attempts=" << this->endedAttempts
                      << " may_have_executed=" << this->mayHaveExecuted << " response_begun=" << this->responseBegun
                      << ' ' << this->AttemptProgress();
  bool const retryable = !this->suspected && (this->IsRetryable() || !this->mayHaveExecuted);
  if (retryable && this->TryAcquireRetry())
    this->Retry(aCause);
  else
    this->Fail(502, aCause);
}

void
ProxiedRequest::OnBody(std::string aData)
{
  if (this->ended || !this->attempt.forwarding)
    return;
  this->attempt.bytes += aData.size();
  if (!this->attempt.bufferedHead || this->attempt.bufferedHead->status / 100 == 2)
    this->proxy.crashes.OnAnswerBytes(this->attempt.watched);
  OnResponseBytes(this->timeline, this->proxy.clock.Now());
  // A response body implies that the endpoint has read the stage results it received as inputs.
  this->ReleaseResults();
  if (this->responseBegun) {
    this->ForwardBody(std::move(aData));
    return;
  }
  this->attempt.bufferedBody += aData;
  if (this->attempt.bufferedBody.size() > kMaxBufferedResponseBytes) {
    this->BeginResponse(*this->attempt.bufferedHead);
    this->exchange->SendChunk(this->attempt.bufferedBody);
    ReleaseString(this->attempt.bufferedBody);
  }
  this->exchange->HoldBack(AllocatedBytes(this->attempt.bufferedBody));
  this->ArmStallTimer();
}

void
ProxiedRequest::BeginResponse(ResponseHead const& aHead)
{
  this->responseBegun = true;
  this->contentType = FieldValue(aHead.fields, "Content-Type");
  this->proxy.metrics.ObserveTimeToFirstByte(this->proxy.clock.Now() - this->exchange->Received());
  this->exchange->onDrained = this->Callback([](ProxiedRequest& aRequest) { aRequest.attempt.call.ResumeReading(); });
  this->exchange->BeginStream(Platform::EncodeCallerResponse(aHead));
}

void
ProxiedRequest::ForwardBody(std::string aData)
{
  if (this->ForwardsEvents())
    this->ForwardEvents(aData);
  else
    this->exchange->SendChunk(aData);
  if (!this->ended && this->exchange->Unsent() > kMaxUnsentBytes)
    this->attempt.call.PauseReading();
}

void
ProxiedRequest::ForwardEvents(std::string_view aBytes)
{
  auto const whole = ExtractCompleteEvents(this->eventStream, aBytes);
  if (this->eventStream.outOfOrder) {
    this->attempt.call.Abandon();
    this->RecordAttemptHealth(AttemptHealth::Failed);
    this->End(RequestOutcome::Interrupted, 0, "events-out-of-order");
    return;
  }
  if (this->eventStream.hasEvent && !this->streamVersion)
    this->OnFirstEvent();
  this->exchange->SendChunk(whole);
  // Bytes of an incomplete event do not reach the caller, so they are no progress.
  if (!whole.empty())
    this->ArmStallTimer();
  if (this->eventStream.partial.size() > kMaxEventBytes)
    this->FailAttempt("event-too-long");
}

bool
ProxiedRequest::EndsPrematurely() const
{
  if (this->attempt.endpointGone)
    return true;
  if (!this->ForwardsEvents())
    return false;
  // An endpoint that crashes before its first event may close the connection regularly.
  return EndsInsideEvent(this->eventStream) || (!this->attempt.framed && !this->eventStream.hasEvent);
}

std::string_view
ProxiedRequest::PrematureEnd() const
{
  if (this->attempt.endpointGone)
    return "endpoint-gone";
  return EndsInsideEvent(this->eventStream) ? "ended-inside-event" : "ended-without-event";
}

void
ProxiedRequest::OnAttemptEnd(CallEnd aEnd)
{
  if (this->ended || !this->attempting)
    return;
  bool const premature = aEnd == CallEnd::Complete && this->EndsPrematurely();
  if (aEnd == CallEnd::Complete && !premature && this->MustCheckEnd())
    return this->CheckEnd();
  if (aEnd == CallEnd::Complete && this->attempt.forwarding && !premature) {
    bool const healthy = !this->attempt.bufferedHead || this->attempt.bufferedHead->status < 500;
    this->RecordAttemptHealth(healthy ? AttemptHealth::Healthy : AttemptHealth::Failed);
    ++this->endedAttempts;
    this->FinishResponse();
    return;
  }
  // A connection that breaks with the link is no sign of a crash.
  bool const linkInDoubt = this->proxy.endpointPaths.IsLinkInDoubt(this->attempt.process.address);
  if ((aEnd == CallEnd::Broken || premature) && !linkInDoubt)
    this->suspected = this->proxy.crashes.OnAttemptEnd(this->attempt.watched, WatchedEnd::Broken);
  this->RecordAttemptHealth(AttemptHealth::Failed);
  if (aEnd == CallEnd::NotSent) {
    this->triedEndpoints.push_back(this->attempt.endpoint);
    if (++this->connectFailures <= kMaxConnectFailures && this->proxy.clock.Now() < this->deadline) {
      PART_LOG("request") << "id=" << this->metadata.requestId
                          << " decision=other-endpoint cause=not-connected endpoint=" << this->attempt.endpoint;
      this->TryEndpoint();
    } else {
      this->Refuse("no-endpoint-reached", kRetryAfterNoEndpoint);
    }
    return;
  }
  this->mayHaveExecuted = true;
  ++this->endedAttempts;
  this->HandleFailedAttempt(premature ? this->PrematureEnd() : ToString(aEnd));
}

void
ProxiedRequest::FinishResponse()
{
  if (this->responseBegun) {
    // What follows the last event is at most a comment.
    this->exchange->SendChunk(this->eventStream.partial);
    this->exchange->EndStream();
    this->End(RequestOutcome::Completed, 200, "complete");
    return;
  }
  auto const head = Platform::EncodeCallerResponse(*this->attempt.bufferedHead);
  this->exchange->Respond(head, this->attempt.bufferedBody);
  this->End(RequestOutcome::Completed, head.status, "complete");
}

}
