#include "StageService.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

/// The delay before a job is sent again, so that an owner with an unstable connection is not flooded.
static constexpr Duration kResendDelay = 20ms;
/// The maximum number of sends without a response: two to each of a few owners that appeared to be alive.
static constexpr unsigned kMaxFailedSends = 8;

StageService::StageService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , peers(aKernel.Find<FrontPeers>(GatewayName::kPeers))
  , owner(aKernel.Find<StageOwnerService>(GatewayName::kStageOwner))
{
}

struct StageService::PendingJob
{
  RemoteStageJob job;
  StageCallback done;
  CancelAction cancel;
  unsigned failedSends{ 0 };
  /// The front at which the last send failed.
  std::string lastFailedFront;
  bool ended{ false };

  void End(StageResult aResult)
  {
    if (this->ended)
      return;
    this->ended = true;
    this->cancel = nullptr;
    this->done(std::move(aResult));
  }
};

CancelAction
StageService::RunStage(RemoteStageJob aJob, StageCallback aDone)
{
  auto const pending = std::make_shared<PendingJob>();
  pending->job = std::move(aJob);
  pending->done = std::move(aDone);
  this->Send(pending);
  return [pending] {
    if (pending->ended)
      return;
    pending->ended = true;
    if (auto const cancel = std::move(pending->cancel))
      cancel();
  };
}

void
StageService::Send(std::shared_ptr<PendingJob> const& aPending)
{
  if (aPending->ended)
    return;
  auto const now = this->clock.Now();
  if (aPending->failedSends >= kMaxFailedSends || now >= aPending->job.job.deadline) {
    aPending->End({ 0, StageEnd::Failed, {}, Duration::zero() });
    return;
  }
  auto const owner = OwnerOf(this->stateCache.Fronts(), aPending->job.service, now);
  auto const finish = [this, aPending, name = owner ? owner->name : this->settings.name](StageResult aResult) {
    aResult.owner = name;
    RecordBacklog(this->backlogs, aPending->job.service, aResult.backlog, this->clock.Now());
    this->RejectIncompleteResult(*aPending, aResult);
    aPending->End(std::move(aResult));
  };
  if (!owner || owner->name == this->settings.name) {
    aPending->cancel = this->owner.RunStage(aPending->job, [finish, aPending, this](StageResult aResult) {
      if (aResult.end == StageEnd::HandedOff)
        this->Resend(aPending, this->settings.name, OwnerFault::Draining);
      else
        finish(std::move(aResult));
    });
    return;
  }
  auto const onResult = [this, finish, aPending, name = owner->name](std::optional<StageResult> aResult) {
    if (!aResult)
      this->Resend(aPending, name, OwnerFault::NoResponse);
    else if (aResult->end == StageEnd::HandedOff)
      this->Resend(aPending, name, OwnerFault::Draining);
    else
      finish(std::move(*aResult));
  };
  aPending->cancel = this->peers.RunStage(owner->peerAddress, aPending->job, onResult);
}

void
StageService::RejectIncompleteResult(PendingJob const& aPending, StageResult& aResult)
{
  auto const& job = aPending.job.job;
  if (aResult.end != StageEnd::Completed || aResult.handles.size() == job.items)
    return;
  PART_WARNING("stages") << "event=incomplete-result service=" << aPending.job.service << " front=" << aResult.owner
                         << " request=" << job.requestId << " results=" << aResult.handles.size()
                         << " expected=" << job.items;
  this->Release(aPending.job.service, aResult.handles);
  aResult.handles.clear();
  aResult.end = StageEnd::Failed;
}

void
StageService::Resend(std::shared_ptr<PendingJob> const& aPending, std::string const& aFront, OwnerFault aFault)
{
  // A reset connection does not mean that the owner has failed, so one failure does not make another front the owner: a
  // second owner would not know which memory for results the first one has reserved.
  bool const failedBefore = aPending->lastFailedFront == aFront;
  bool const suspected = aFault == OwnerFault::Draining || failedBefore;
  PART_WARNING("stages") << "event=owner-failed service=" << aPending->job.service << " front=" << aFront
                         << " request=" << aPending->job.job.requestId << " suspected=" << suspected;
  aPending->lastFailedFront = aFront;
  // Owners that hand a job off are not chosen again for a while, so its deadline is bound enough.
  if (aFault == OwnerFault::NoResponse)
    ++aPending->failedSends;
  if (suspected)
    SuspectFront(this->stateCache.Fronts(), aFront, this->clock.Now());
  this->clock.Schedule(kResendDelay, [this, aPending] { this->Send(aPending); });
}

void
StageService::Release(std::string const& aService, std::vector<std::string> const& aHandles)
{
  if (aHandles.empty())
    return;
  auto const owner = OwnerOf(this->stateCache.Fronts(), aService, this->clock.Now());
  if (!owner || owner->name == this->settings.name) {
    this->owner.Release(aService, aHandles);
    return;
  }
  ++this->releasesInFlight;
  this->peers.ReleaseResults(
    owner->peerAddress, aService, aHandles, [this, aService, aHandles, name = owner->name](bool aReleased) {
      --this->releasesInFlight;
      if (aReleased)
        return;
      PART_WARNING("stages") << "event=owner-release-failed service=" << aService << " front=" << name
                             << " results=" << aHandles.size();
      this->owner.Release(aService, aHandles);
    });
}

}
