#include "StageService.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

/// A pause before an order is sent again, so that an owner that comes and goes is not flooded.
static constexpr Duration kResendPause = 20ms;
/// Times that one order is sent: twice to each of a few owners that were believed to live.
static constexpr unsigned kMostSends = 8;

StageService::StageService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , peers(aKernel.Find<FrontPeers>(GatewayName::kPeers))
  , owner(aKernel.Find<StageOwnerService>(GatewayName::kStageOwner))
{
}

struct StageService::Pending
{
  RemoteOrder order;
  StageDone done;
  CancelAction cancel;
  unsigned sends{ 0 };
  /// The front at which the last sending failed.
  std::string failedFront;
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
StageService::Make(RemoteOrder aOrder, StageDone aDone)
{
  auto const pending = std::make_shared<Pending>();
  pending->order = std::move(aOrder);
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
StageService::Send(std::shared_ptr<Pending> const& aPending)
{
  if (aPending->ended)
    return;
  auto const now = this->clock.Now();
  if (++aPending->sends > kMostSends || now >= aPending->order.order.deadline) {
    aPending->End({ 0, StageEnd::Failed, {}, Duration::zero() });
    return;
  }
  auto const finish = [this, aPending](StageResult aResult) {
    RecordBacklog(this->backlogs, aPending->order.service, aResult.backlog, this->clock.Now());
    aPending->End(std::move(aResult));
  };
  auto const owner = OwnerOf(this->stateCache.Fronts(), aPending->order.service, now);
  if (!owner || owner->name == this->settings.name) {
    aPending->cancel = this->owner.Make(aPending->order, [finish, aPending, this](StageResult aResult) {
      if (aResult.end == StageEnd::HandedOff)
        this->SendAgain(aPending, this->settings.name, OwnerFault::Leaves);
      else
        finish(std::move(aResult));
    });
    return;
  }
  auto const onResult = [this, finish, aPending, name = owner->name](std::optional<StageResult> aResult) {
    if (!aResult)
      this->SendAgain(aPending, name, OwnerFault::NoAnswer);
    else if (aResult->end == StageEnd::HandedOff)
      this->SendAgain(aPending, name, OwnerFault::Leaves);
    else
      finish(std::move(*aResult));
  };
  aPending->cancel = this->peers.MakeStage(owner->peerAddress, aPending->order, onResult);
}

void
StageService::SendAgain(std::shared_ptr<Pending> const& aPending, std::string const& aFront, OwnerFault aFault)
{
  // A connection may have been reset while the owner is well; a second owner would count the memory for results anew.
  bool const failsAgain = aPending->failedFront == aFront;
  bool const passedOver = aFault == OwnerFault::Leaves || failsAgain;
  PART_WARNING("stages") << "event=owner-failed service=" << aPending->order.service << " front=" << aFront
                         << " request=" << aPending->order.order.requestId << " passed_over=" << passedOver;
  aPending->failedFront = aFront;
  if (passedOver)
    SuspectFront(this->stateCache.Fronts(), aFront, this->clock.Now());
  this->clock.Schedule(kResendPause, [this, aPending] { this->Send(aPending); });
}

void
StageService::Release(std::string const& aService, std::vector<std::string> const& aHandles)
{
  if (aHandles.empty())
    return;
  auto const owner = OwnerOf(this->stateCache.Fronts(), aService, this->clock.Now());
  if (!owner || owner->name == this->settings.name)
    this->owner.Release(aService, aHandles);
  else
    this->peers.ReleaseResults(owner->peerAddress, aService, aHandles);
}

}
