#include "ObjectWatch.h"

namespace Hornbeam::Gateway {

/// Just below the store's maximum wait of 30 s, because each call to the store is billed. A dead connection is detected
/// by TCP keep-alive probes, and a watch that the store did not hear by checks (LibRelay/StoreProof.h).
static constexpr Duration kWatchTime = 29s;
/// Watches that start within this time after a disconnect also last no longer than this time: if the store then drops
/// its event history, a watch that is already waiting receives no changes. See Specifications/StoreWatch.pml.
static constexpr Duration kShortWatchTime = 1s;
/// Changes that closely follow each other are fetched in one batch, because each response costs every watching front a
/// billed call. The delay must leave time to apply operators' changes and to stop using leaving endpoints within two
/// seconds.
static constexpr Duration kEventBatchDelay = 400ms;
/// A list that succeeds makes the watches of other kinds retry. While lists succeed and watches fail, they would make
/// each other list without pause.
static constexpr Duration kMinListInterval = 400ms;

ObjectWatch::ObjectWatch(StoreClient& aStore, Clock& aClock, ObjectKind aKind, ObjectWatchEvents aEvents)
  : store(aStore)
  , clock(aClock)
  , kind(aKind)
  , events(std::move(aEvents))
{
}

void
ObjectWatch::SetReachability(StoreReachability aReachability)
{
  if (aReachability == StoreReachability::Reachable)
    this->lastResponseTime = this->clock.Now();
  if (aReachability == this->reachability)
    return;
  bool const firstResponse =
    this->reachability == StoreReachability::Unknown && aReachability == StoreReachability::Reachable;
  this->reachability = aReachability;
  if (aReachability == StoreReachability::Unreachable)
    PART_WARNING("store") << "event=unreachable kind=" << ToString(this->kind) << ' ' << ToLogFields(this->revision);
  else
    PART_LOG("store") << "event=reachable kind=" << ToString(this->kind) << ' ' << ToLogFields(this->revision);
  if (!firstResponse)
    this->events.onReachabilityChange(aReachability);
}

void
ObjectWatch::SetWatching(bool aWatching)
{
  if (aWatching == this->watching)
    return;
  this->watching = aWatching;
  if (aWatching && !this->active) {
    this->List();
    return;
  }
  if (aWatching || this->revision == 0)
    return;
  ++this->currentCall;
  if (this->retryTimer)
    this->clock.Cancel(*this->retryTimer);
  this->retryTimer.reset();
  this->active = false;
  this->listing = false;
  this->waiting = false;
  this->reachability = StoreReachability::Unknown;
}

void
ObjectWatch::SetKnown(StorePosition aRevision)
{
  this->known = aRevision;
  this->events.onKnown();
}

void
ObjectWatch::OnResponse()
{
  this->SetReachability(StoreReachability::Reachable);
  this->events.onResponse();
}

void
ObjectWatch::OnFailure(std::string_view aCall, Platform::StoreOutcome aOutcome)
{
  this->SetReachability(StoreReachability::Unreachable);
  auto const delay = this->events.onFailure();
  PART_LOG("store") << "event=retry call=" << aCall << " kind=" << ToString(this->kind)
                    << " outcome=" << ToString(aOutcome) << " delay_ms=" << Milliseconds(delay);
  this->retryTimer = this->clock.Schedule(delay, [this] { this->RetryNow(); });
}

void
ObjectWatch::RetryNow()
{
  if (!this->retryTimer)
    return;
  // Lists instead of watching again: a watch that starts just before the store drops its event history would receive no
  // changes until it times out.
  this->ListAfterPause();
}

void
ObjectWatch::ListAfterPause()
{
  auto const next = this->listSentAt + kMinListInterval;
  if (this->clock.Now() >= next) {
    this->List();
    return;
  }
  if (this->retryTimer)
    this->clock.Cancel(*this->retryTimer);
  this->active = true;
  this->retryTimer = this->clock.Schedule(next - this->clock.Now(), [this] { this->List(); });
}

void
ObjectWatch::ListInEra(std::uint64_t aEra)
{
  if (this->active && !this->listing && this->revision != 0 && EraOf(this->revision) != aEra)
    this->List();
}

void
ObjectWatch::List()
{
  this->active = true;
  this->listing = true;
  this->listSentAt = this->clock.Now();
  this->waiting = false;
  if (this->retryTimer)
    this->clock.Cancel(*this->retryTimer);
  this->retryTimer.reset();
  this->store.List(this->kind, [this, call = ++this->currentCall](Platform::ObjectList aResponse) {
    if (!this->IsCurrentCall(call))
      return;
    this->listing = false;
    if (aResponse.outcome != Platform::StoreOutcome::Done) {
      this->OnFailure("list", aResponse.outcome);
      return;
    }
    this->revision = aResponse.revision;
    PART_LOG("store") << "event=listed kind=" << ToString(this->kind) << " objects=" << aResponse.objects.size()
                      << " left_out=" << aResponse.leftOut << " pages=" << aResponse.pages << ' '
                      << ToLogFields(aResponse.revision);
    this->OnResponse();
    this->events.onList(aResponse.objects, aResponse.revision);
    this->SetKnown(aResponse.revision);
    this->Watch();
  });
}

void
ObjectWatch::Watch()
{
  this->active = this->watching;
  if (!this->watching)
    return;
  this->waiting = true;
  this->watchSentAt = this->clock.Now();
  auto const time = this->watchSentAt - this->lastDisconnectTime < kShortWatchTime ? kShortWatchTime : kWatchTime;
  PART_LOG("store") << "event=watch kind=" << ToString(this->kind) << ' ' << ToLogFields(this->revision)
                    << " wait_ms=" << Milliseconds(time);
  auto const onResponse = [this, call = ++this->currentCall](Platform::ObjectEvents aResponse) {
    if (this->IsCurrentCall(call))
      this->OnEvents(std::move(aResponse));
  };
  this->store.Watch(this->kind, this->revision, time, onResponse);
}

void
ObjectWatch::Verify(StorePosition aRevision)
{
  if (!this->waiting || this->known >= aRevision)
    return;
  PART_LOG("store") << "event=verify kind=" << ToString(this->kind) << " known_revision=" << RevisionOf(this->known)
                    << ' ' << ToLogFields(aRevision);
  this->List();
}

void
ObjectWatch::ListIfWaitingSince(MonotonicTime aTime)
{
  if (!this->waiting || this->watchSentAt >= aTime)
    return;
  PART_LOG("store") << "event=renew kind=" << ToString(this->kind) << ' ' << ToLogFields(this->revision)
                    << " watch_age_ms=" << Milliseconds(this->clock.Now() - this->watchSentAt);
  this->List();
}

void
ObjectWatch::NoteFailure(std::string_view aCall, Platform::StoreOutcome aOutcome)
{
  if (!this->waiting)
    return;
  ++this->currentCall;
  this->waiting = false;
  this->OnFailure(aCall, aOutcome);
}

void
ObjectWatch::NoteList(StorePosition aRevision)
{
  this->lastResponseTime = this->clock.Now();
  this->SetKnown(aRevision);
}

void
ObjectWatch::OnEvents(Platform::ObjectEvents aResponse)
{
  this->waiting = false;
  switch (aResponse.outcome) {
    case Platform::StoreOutcome::Done:
      break;
    case Platform::StoreOutcome::HistoryGone:
      PART_LOG("store") << "event=history-gone kind=" << ToString(this->kind) << ' ' << ToLogFields(this->revision);
      // The store may drop its history again: a watch that is then waiting receives no changes until it ends.
      this->NoteDisconnect();
      this->ListAfterPause();
      return;
    default:
      this->OnFailure("watch", aResponse.outcome);
      return;
  }
  this->OnResponse();
  if (EraOf(aResponse.revision) != EraOf(this->revision)) {
    this->List();
    return;
  }
  if (aResponse.events.empty() && aResponse.leftOut == 0) {
    // The revision stays: the store may have dropped changes that this watch did not receive, and then says so.
    this->WatchAfter(std::max<Duration>(this->watchSentAt + kEventBatchDelay - this->clock.Now(), Duration::zero()));
    return;
  }
  auto const from = this->revision;
  this->revision = std::max(this->revision, aResponse.revision);
  this->events.onEvents(aResponse.events, from, this->revision);
  this->SetKnown(this->revision);
  this->WatchAfter(kEventBatchDelay);
}

void
ObjectWatch::WatchAfter(Duration aDelay)
{
  this->clock.Schedule(aDelay, [this, call = this->currentCall] {
    if (this->IsCurrentCall(call))
      this->Watch();
  });
}

}
