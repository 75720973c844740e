#include "ObjectWatch.h"

namespace Hornbeam::Gateway {

/// Just below the store's maximum wait of 30 s, because each call to the store is billed. A dead connection is detected
/// by TCP keep-alive probes, not by this timeout.
static constexpr Duration kWatchTime = 25s;
/// Watches that start within this time after a disconnect also last no longer than this time: if the store then drops
/// its event history, a watch that is already waiting receives no changes. See Specifications/StoreWatch.pml.
static constexpr Duration kShortWatchTime = 1s;
/// Changes that closely follow each other are fetched in one batch, because each response costs every front a billed
/// call. The delay must leave time to apply operators' changes and to stop using leaving endpoints within two seconds.
static constexpr Duration kEventBatchDelay = 400ms;

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
  this->reachability = aReachability;
  if (aReachability == StoreReachability::Unreachable)
    PART_WARNING("store") << "event=unreachable kind=" << ToString(this->kind) << " revision=" << this->revision;
  else
    PART_LOG("store") << "event=reachable kind=" << ToString(this->kind) << " revision=" << this->revision;
  this->events.onReachabilityChange(aReachability);
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
  this->clock.Cancel(*this->retryTimer);
  this->retryTimer.reset();
  // Lists instead of watching again: a watch that starts just before the store drops its event history would receive no
  // changes until it times out.
  this->List();
}

void
ObjectWatch::List()
{
  this->store.List(this->kind, [this](Platform::ObjectList aResponse) {
    if (aResponse.outcome != Platform::StoreOutcome::Done) {
      this->OnFailure("list", aResponse.outcome);
      return;
    }
    this->revision = aResponse.revision;
    this->OnResponse();
    this->events.onList(std::move(aResponse.objects));
    this->Watch();
  });
}

void
ObjectWatch::Watch()
{
  auto const time = this->clock.Now() - this->lastDisconnectTime < kShortWatchTime ? kShortWatchTime : kWatchTime;
  this->store.Watch(this->kind, this->revision, time, [this](Platform::ObjectEvents aResponse) {
    this->OnEvents(std::move(aResponse));
  });
}

void
ObjectWatch::OnEvents(Platform::ObjectEvents aResponse)
{
  switch (aResponse.outcome) {
    case Platform::StoreOutcome::Done:
      break;
    case Platform::StoreOutcome::HistoryGone:
      PART_LOG("store") << "event=history-gone kind=" << ToString(this->kind) << " revision=" << this->revision;
      this->List();
      return;
    default:
      this->OnFailure("watch", aResponse.outcome);
      return;
  }
  this->OnResponse();
  this->revision = std::max(this->revision, aResponse.revision);
  for (auto& event : aResponse.events) {
    if (event.removed)
      this->events.onRemoved(std::move(event.object));
    else
      this->events.onChanged(std::move(event.object));
  }
  if (aResponse.events.empty())
    this->Watch();
  else
    this->clock.Schedule(kEventBatchDelay, [this] { this->Watch(); });
}

}
