#include "ProxiedRequest.h"
#include "RequestLimits.h"

namespace Hornbeam::Gateway {

/// A stream that may go on elsewhere is given up after this silence. Callers leave after two seconds.
static constexpr Duration kStallTime = 1200ms;
/// An endpoint that has not begun to answer a repeatable request is given up after this multiple of the target.
static constexpr unsigned kFirstAnswerPatience = 2;
static constexpr Duration kConnectTimeout = 400ms;
/// Endpoints that could not be reached, tried for one request besides its attempts: nothing was sent to them.
static constexpr unsigned kMostConnectFailures = 4;
/// A request waits this part of its time for an endpoint that may take it; then its caller does better to come back.
static constexpr unsigned kEndpointWaitShare = 4;
/// Answers up to this size are held until they are whole, so that a broken one can be replaced.
static constexpr std::size_t kHeldAnswerBytes = 262144;
/// Unsent bytes towards a slow caller at which reading from the endpoint pauses.
static constexpr std::size_t kCallerBacklog = 131072;

void
ProxiedRequest::TryEndpoint()
{
  if (this->ended || this->attempting)
    return;
  auto const now = this->service.clock.Now();
  auto const view = this->service.stateCache.View();
  auto const planned = view.endpoints.byId.find(this->plannedEndpoint);
  std::optional<std::string> chosen;
  bool const plannedIsGood = planned != view.endpoints.byId.end() && this->tried.empty() &&
                             IsUsable(view.endpoints, planned->second) && planned->second.ejectedUntil <= now &&
                             planned->second.coldUntil <= now;
  if (plannedIsGood)
    chosen = this->plannedEndpoint;
  else
    chosen = ChooseEndpoint(view, this->Query(), now);
  if (chosen) {
    this->Send(*chosen);
    return;
  }
  if (this->waitingSince == MonotonicTime())
    this->waitingSince = now;
  bool const hopeless = !HasUntriedEndpoint(view, this->Query());
  if (!this->tried.empty() && hopeless) {
    this->Refuse("no-other-endpoint", kRetryAfterNoEndpoint);
    return;
  }
  if (now - this->waitingSince > (this->deadline - this->exchange->Received()) / kEndpointWaitShare) {
    this->Refuse("no-endpoint", kRetryAfterNoEndpoint);
    return;
  }
  this->service.waiting.push_back(this->weak_from_this());
  this->service.ScheduleReview();
}

void
ProxiedRequest::Send(std::string const& aEndpoint)
{
  auto const now = this->service.clock.Now();
  auto const& entry = this->service.stateCache.Endpoints().byId.at(aEndpoint).entry;
  this->endpoint = aEndpoint;
  this->attempting = true;
  this->headSeen = false;
  this->forwarding = false;
  this->heldHead.reset();
  this->heldBody.clear();
  Platform::EndpointRequestFields order;
  order.endpointId = aEndpoint;
  order.remainingTime = this->deadline - now;
  order.account = this->account.name;
  if (this->route.kind == RequestKind::Streaming)
    order.priority = this->rank;
  if (this->stages)
    order.inputs = FinalInputs(*this->stages);
  if (this->events.lastId)
    order.lastEventId = this->events.lastId;
  OutgoingCall outgoing;
  outgoing.address = entry.address;
  outgoing.request = Platform::EncodeEndpointRequest(this->exchange->Request(), order);
  outgoing.timeout = this->deadline - now + 2 * kAnswerMargin;
  outgoing.connectTimeout = std::min<Duration>(kConnectTimeout, this->deadline - now);
  auto const self = this->weak_from_this();
  CallEvents callEvents;
  callEvents.onHead = [self](ResponseHead const& aHead) {
    if (auto const request = self.lock())
      request->OnHead(aHead);
  };
  callEvents.onBody = [self](std::string aPiece) {
    if (auto const request = self.lock())
      request->OnBody(std::move(aPiece));
  };
  callEvents.onEnd = [self](CallEnd aEnd) {
    if (auto const request = self.lock())
      request->OnAttemptEnd(aEnd);
  };
  OnRequestSent(this->service.stateCache.Endpoints(), aEndpoint, now);
  this->call = this->service.connections.Send(std::move(outgoing), std::move(callEvents));
  this->WatchForStall();
}

void
ProxiedRequest::WatchForStall()
{
  this->service.clock.Cancel(this->stallTimer);
  if (!this->IsRepeatable() || this->ended)
    return;
  auto const patience =
    this->headSeen ? kStallTime : std::max<Duration>(kStallTime, this->route.targetLatency * kFirstAnswerPatience);
  auto const self = this->weak_from_this();
  this->stallTimer = this->service.clock.Schedule(patience, [self] {
    if (auto const request = self.lock())
      request->OnStall();
  });
}

void
ProxiedRequest::OnStall()
{
  if (this->ended || !this->attempting)
    return;
  // Where another attempt is out of reach, a late answer is better than none.
  if (this->service.clock.Now() + this->route.targetLatency > this->deadline)
    return;
  auto others = this->Query();
  others.excluded.push_back(this->endpoint);
  if (HasUntriedEndpoint(this->service.stateCache.View(), others) && this->MayRepeat())
    this->MoveElsewhere("stalled");
  else
    this->WatchForStall();
}

void
ProxiedRequest::NoteEndpoint(AttemptHealth aHealth)
{
  this->service.clock.Cancel(this->stallTimer);
  this->attempting = false;
  auto& endpoints = this->service.stateCache.Endpoints();
  OnRequestEnded(endpoints, this->endpoint);
  auto const coldTime = RuleOf(*this->table, this->target).coldTime;
  Gateway::OnAttemptEnd(endpoints, this->endpoint, aHealth, coldTime, this->service.clock.Now());
}

void
ProxiedRequest::OnHead(ResponseHead const& aHead)
{
  if (this->ended)
    return;
  this->headSeen = true;
  auto const answer = Platform::DecodeEndpointResponse(aHead);
  // An answer that names another request, or none, belongs to no request of ours.
  bool const foreign = answer.requestId != this->facts.requestId && !answer.notExecuted;
  bool const success = aHead.status / 100 == 2;
  if (answer.notExecuted || foreign || (success && (!answer.hasSignature || answer.hasContentEncoding))) {
    this->call.Abandon();
    if (answer.notExecuted) {
      this->OnNotRun(answer);
      return;
    }
    this->NoteEndpoint(AttemptHealth::Failed);
    this->mayHaveRun = true;
    ++this->attempts;
    this->AfterFailedAttempt(foreign ? "foreign-answer" : "answer-not-the-endpoints");
    return;
  }
  if (aHead.status >= 500 && !this->answerBegun && this->RepeatAfterError())
    return;
  this->WatchForStall();
  this->forwarding = true;
  bool const resumed = this->answerBegun;
  if (resumed && !success) {
    this->call.Abandon();
    this->NoteEndpoint(AttemptHealth::Failed);
    ++this->attempts;
    this->AfterFailedAttempt("resumption-refused");
    return;
  }
  if (resumed)
    return;
  if (this->route.kind == RequestKind::Streaming && success)
    this->StartAnswer(aHead);
  else
    this->heldHead = aHead;
}

bool
ProxiedRequest::RepeatAfterError()
{
  // Otherwise the endpoint's own error is the answer.
  if (!this->IsRepeatable() || !this->MayRepeat())
    return false;
  this->MoveElsewhere("endpoint-error");
  return true;
}

void
ProxiedRequest::MoveElsewhere(std::string_view aCause)
{
  auto const keep = this->shared_from_this();
  this->call.Abandon();
  this->NoteEndpoint(AttemptHealth::Failed);
  this->mayHaveRun = true;
  ++this->attempts;
  this->SendAgain(aCause);
}

void
ProxiedRequest::SendAgain(std::string_view aCause)
{
  PART_LOG("request") << "id=" << this->facts.requestId << " decision=send-again cause=" << aCause
                      << " endpoint=" << this->endpoint << " attempts=" << this->attempts;
  this->tried.push_back(this->endpoint);
  // A stream goes on from its last whole event; bytes of a later one are made anew.
  this->events.partial.clear();
  if (this->stages && this->resultsReleased)
    this->RestartStages(aCause);
  else
    this->TryEndpoint();
}

void
ProxiedRequest::OnNotRun(Platform::EndpointResponse const& aAnswer)
{
  this->NoteEndpoint(aAnswer.misdirected ? AttemptHealth::Misdirected : AttemptHealth::Full);
  ++this->attempts;
  if (aAnswer.inputsGone && this->stages) {
    this->RestartStages("results-gone");
    return;
  }
  if (this->MayRepeat()) {
    this->SendAgain("not-run");
    return;
  }
  this->Refuse("endpoint-refused", kLeastRetryAfter);
}

bool
ProxiedRequest::MayRepeat()
{
  auto const now = this->service.clock.Now();
  auto const made = this->attempts + (this->attempting ? 1 : 0);
  if (made >= this->route.maxAttempts || now >= this->deadline)
    return false;
  return TakeRetry(this->service.retryShares[this->target],
                   this->service.settings.retries,
                   std::max<std::size_t>(1, this->service.stateCache.Fronts().byName.size()),
                   now);
}

void
ProxiedRequest::AfterFailedAttempt(std::string_view aCause)
{
  auto const keep = this->shared_from_this();
  PART_LOG("request") << "id=" << this->facts.requestId << " decision=attempt-failed cause=" << aCause
                      << " endpoint=" << this->endpoint << " attempts=" << this->attempts
                      << " may_have_run=" << this->mayHaveRun << " begun=" << this->answerBegun;
  bool const repeatable = this->IsRepeatable() || !this->mayHaveRun;
  if (repeatable && this->MayRepeat())
    this->SendAgain(aCause);
  else
    this->Fail(502, aCause);
}

void
ProxiedRequest::OnBody(std::string aPiece)
{
  if (this->ended || !this->forwarding)
    return;
  this->WatchForStall();
  // The endpoint has read the results that it was given.
  this->ReleaseResults();
  if (this->answerBegun) {
    this->ForwardBody(std::move(aPiece));
    return;
  }
  this->heldBody += aPiece;
  if (this->heldBody.size() <= kHeldAnswerBytes)
    return;
  this->StartAnswer(*this->heldHead);
  this->exchange->SendChunk(this->heldBody);
  this->heldBody.clear();
}

void
ProxiedRequest::StartAnswer(ResponseHead const& aHead)
{
  this->answerBegun = true;
  this->service.metrics.ObserveFirstAnswer(this->service.clock.Now() - this->exchange->Received());
  auto const self = this->weak_from_this();
  this->exchange->onDrained = [self] {
    if (auto const request = self.lock())
      request->call.ResumeReading();
  };
  this->exchange->BeginStream(Platform::EncodeCallerResponse(aHead));
}

void
ProxiedRequest::ForwardBody(std::string aPiece)
{
  if (this->route.kind != RequestKind::Streaming) {
    this->exchange->SendChunk(aPiece);
  } else {
    auto const whole = ExtractCompleteEvents(this->events, aPiece);
    if (this->events.outOfOrder) {
      this->call.Abandon();
      this->NoteEndpoint(AttemptHealth::Failed);
      this->End(RequestOutcome::BrokenOff, 0, "events-out-of-order");
      return;
    }
    this->exchange->SendChunk(whole);
  }
  if (this->exchange->Unsent() > kCallerBacklog)
    this->call.PauseReading();
}

void
ProxiedRequest::OnAttemptEnd(CallEnd aEnd)
{
  if (this->ended || !this->attempting)
    return;
  if (aEnd == CallEnd::Complete && this->forwarding) {
    bool const healthy = !this->heldHead || this->heldHead->status < 500;
    this->NoteEndpoint(healthy ? AttemptHealth::Healthy : AttemptHealth::Failed);
    ++this->attempts;
    this->FinishAnswer();
    return;
  }
  this->NoteEndpoint(AttemptHealth::Failed);
  if (aEnd == CallEnd::NotSent) {
    this->tried.push_back(this->endpoint);
    if (++this->connectFailures <= kMostConnectFailures && this->service.clock.Now() < this->deadline) {
      PART_LOG("request") << "id=" << this->facts.requestId
                          << " decision=other-endpoint cause=not-connected endpoint=" << this->endpoint;
      this->TryEndpoint();
    } else {
      this->Refuse("no-endpoint-reached", kRetryAfterNoEndpoint);
    }
    return;
  }
  this->mayHaveRun = true;
  ++this->attempts;
  this->AfterFailedAttempt(ToString(aEnd));
}

void
ProxiedRequest::FinishAnswer()
{
  if (this->answerBegun) {
    if (this->route.kind == RequestKind::Streaming && !this->events.partial.empty())
      this->exchange->SendChunk(this->events.partial);
    this->exchange->EndStream();
    this->End(RequestOutcome::Answered, 200, "complete");
    return;
  }
  auto const head = Platform::EncodeCallerResponse(*this->heldHead);
  this->exchange->Respond(head, this->heldBody);
  this->End(RequestOutcome::Answered, head.status, "complete");
}

}
