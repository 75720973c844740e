#include "ObjectWatch.h"

namespace Hornbeam::Gateway {

/// Below the longest wait that the store allows (30 s); each call is priced, so a watch waits long. A silent connection
/// is found by TCP's keep-alive probes, not by this time.
static constexpr Duration kWatchTime = 25s;
/// A watch that begins this soon after a cut is no longer than this: when the store drops its history just after, the
/// watch hears of no change. Specifications/StoreWatch.pml shows why.
static constexpr Duration kCutMemory = 1s;
/// Changes that come soon after others are fetched together: each answer is a priced call of each front. What an
/// operator changes must be in force within two seconds, and a leaving endpoint be heeded as soon.
static constexpr Duration kPauseAfterEvents = 400ms;

ObjectWatch::ObjectWatch(StoreClient& aStore, Clock& aClock, ObjectKind aKind, ObjectWatchEvents aEvents)
  : store(aStore)
  , clock(aClock)
  , kind(aKind)
  , events(std::move(aEvents))
{
}

void
ObjectWatch::SetReach(StoreReach aReach)
{
  if (aReach == StoreReach::Reached)
    this->heardAt = this->clock.Now();
  if (aReach == this->reach)
    return;
  this->reach = aReach;
  if (aReach == StoreReach::Lost)
    PART_WARNING("store") << "event=lost kind=" << ToString(this->kind) << " revision=" << this->revision;
  else
    PART_LOG("store") << "event=reached kind=" << ToString(this->kind) << " revision=" << this->revision;
  this->events.onReach(aReach);
}

void
ObjectWatch::OnAnswer()
{
  this->SetReach(StoreReach::Reached);
  this->events.onAnswer();
}

void
ObjectWatch::OnFailure(std::string_view aCall, Platform::StoreOutcome aOutcome)
{
  this->SetReach(StoreReach::Lost);
  auto const delay = this->events.onFailure();
  PART_LOG("store") << "event=retry call=" << aCall << " kind=" << ToString(this->kind)
                    << " outcome=" << ToString(aOutcome) << " delay_ms=" << Milliseconds(delay);
  this->retryTimer = this->clock.Schedule(delay, [this] { this->Resume(); });
}

void
ObjectWatch::Resume()
{
  if (!this->retryTimer)
    return;
  this->clock.Cancel(*this->retryTimer);
  this->retryTimer.reset();
  // Not another watch: one that begins just before the store drops its history would hear nothing until it ends.
  this->List();
}

void
ObjectWatch::List()
{
  this->store.List(this->kind, [this](Platform::ObjectList aAnswer) {
    if (aAnswer.outcome != Platform::StoreOutcome::Done) {
      this->OnFailure("list", aAnswer.outcome);
      return;
    }
    this->revision = aAnswer.revision;
    this->OnAnswer();
    this->events.onList(std::move(aAnswer.objects));
    this->Watch();
  });
}

void
ObjectWatch::Watch()
{
  auto const time = this->clock.Now() - this->cutAt < kCutMemory ? kCutMemory : kWatchTime;
  this->store.Watch(
    this->kind, this->revision, time, [this](Platform::ObjectEvents aAnswer) { this->OnEvents(std::move(aAnswer)); });
}

void
ObjectWatch::OnEvents(Platform::ObjectEvents aAnswer)
{
  switch (aAnswer.outcome) {
    case Platform::StoreOutcome::Done:
      break;
    case Platform::StoreOutcome::HistoryGone:
      PART_LOG("store") << "event=history-gone kind=" << ToString(this->kind) << " revision=" << this->revision;
      this->List();
      return;
    default:
      this->OnFailure("watch", aAnswer.outcome);
      return;
  }
  this->OnAnswer();
  this->revision = std::max(this->revision, aAnswer.revision);
  for (auto& event : aAnswer.events) {
    if (event.removed)
      this->events.onRemoved(std::move(event.object));
    else
      this->events.onChanged(std::move(event.object));
  }
  if (aAnswer.events.empty())
    this->Watch();
  else
    this->clock.Schedule(kPauseAfterEvents, [this] { this->Watch(); });
}

}
