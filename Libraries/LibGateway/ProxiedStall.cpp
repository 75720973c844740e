#include "ProxiedRequest.h"

// What a request does while its endpoint is silent. The silent attempt stays open until another endpoint answers: it
// may only pause, and the others may have no room.

namespace Hornbeam::Gateway {

/// Another endpoint is asked after this time without data from the endpoint of a retryable request. Callers disconnect
/// after two seconds without data, or later.
static constexpr Duration kStallTimeout = 1200ms;
/// Before the first byte of the response, another endpoint is asked after this multiple of the route's target latency,
/// if that is longer than kStallTimeout.
static constexpr unsigned kFirstByteTimeoutFactor = 2;

void
ProxiedRequest::ArmStallTimer()
{
  this->proxy.clock.Cancel(this->stallTimer);
  if (!this->IsRetryable() || this->ended)
    return;
  auto const timeout = this->attempt.headReceived
                         ? kStallTimeout
                         : std::max<Duration>(kStallTimeout, this->route.targetLatency * kFirstByteTimeoutFactor);
  this->stallTimer =
    this->proxy.clock.Schedule(timeout, this->Callback([](ProxiedRequest& aRequest) { aRequest.OnStall(); }));
}

void
ProxiedRequest::OnStall()
{
  if (this->ended || !this->attempting)
    return;
  // If there is no time left for another attempt, a late response is better than none.
  if (this->proxy.clock.Now() + this->route.targetLatency > this->deadline)
    return;
  auto others = this->MakeQuery();
  others.excluded.push_back(this->attempt.endpoint);
  if (!HasUntriedEndpoint(this->proxy.stateCache.MakeSelectionView(), others) || !this->TryAcquireRetry())
    this->ArmStallTimer();
  else if (this->stalled)
    this->AbandonAndRetry("stalled");
  else
    this->AskAnotherEndpoint();
}

void
ProxiedRequest::AskAnotherEndpoint()
{
  auto const strongSelf = this->shared_from_this();
  this->attempting = false;
  this->mayHaveExecuted = true;
  this->stalled = { std::move(this->attempt), this->eventStream };
  this->attempt = {};
  this->attempt.endpoint = this->stalled->attempt.endpoint;
  this->Retry("stalled");
}

bool
ProxiedRequest::GoOnWith(std::uint64_t aAttempt)
{
  if (this->ended)
    return false;
  if (this->attempting && this->attempt.number == aAttempt)
    return true;
  bool const isStalled = this->stalled && this->stalled->attempt.number == aAttempt;
  return isStalled && this->ReturnToStalledAttempt("answers-again");
}

bool
ProxiedRequest::ReturnToStalledAttempt(std::string_view aCause)
{
  if (this->ended || !this->stalled)
    return false;
  if (this->attempting) {
    this->DropAttempt(this->attempt);
    ++this->endedAttempts;
  }
  if (this->attempt.endpoint != this->stalled->attempt.endpoint)
    this->triedEndpoints.push_back(this->attempt.endpoint);
  PART_LOG("request") << "id=" << this->metadata.requestId << " decision=stay cause=" << aCause
                      << " endpoint=" << this->stalled->attempt.endpoint << " attempts=" << this->endedAttempts
                      << (this->stages ? ' ' + StagesProgress(*this->stages) : "");
  // Stages may have been restarted for the other endpoint. The next attempt needs the results of all of them, so a part
  // would only occupy memory.
  if (!this->HoldsInputs())
    this->ReleaseResults();
  this->attempt = std::move(this->stalled->attempt);
  this->eventStream = std::move(this->stalled->eventStream);
  this->stalled.reset();
  this->attempting = true;
  this->ArmStallTimer();
  return true;
}

void
ProxiedRequest::GiveStalledAttemptUp()
{
  if (!this->stalled)
    return;
  auto const given = std::exchange(this->stalled, std::nullopt);
  PART_LOG("request") << "id=" << this->metadata.requestId << " decision=move endpoint=" << this->attempt.endpoint
                      << " former=" << given->attempt.endpoint;
  given->attempt.call.Abandon();
  this->RecordHealth(given->attempt, AttemptHealth::Failed);
  ++this->endedAttempts;
}

void
ProxiedRequest::DropStalledAttempt()
{
  if (auto const dropped = std::exchange(this->stalled, std::nullopt))
    this->DropAttempt(dropped->attempt);
}

bool
ProxiedRequest::OnStalledAttemptEnd(std::uint64_t aAttempt, CallEnd aEnd)
{
  if (this->ended || !this->stalled || this->stalled->attempt.number != aAttempt || aEnd == CallEnd::Complete)
    return false;
  // The other endpoint, or what is done to reach one, is all that is left.
  auto const broken = std::exchange(this->stalled, std::nullopt);
  PART_LOG("request") << "id=" << this->metadata.requestId << " decision=attempt-failed cause=" << ToString(aEnd)
                      << " endpoint=" << broken->attempt.endpoint << " stalled=1";
  if (aEnd == CallEnd::Broken)
    this->suspected = this->proxy.crashes.OnAttemptEnd(broken->attempt.watched, WatchedEnd::Broken) || this->suspected;
  this->RecordHealth(broken->attempt, AttemptHealth::Failed);
  ++this->endedAttempts;
  return true;
}

}
