#include "ActiveRequest.h"
#include <utility>

/// The end of the work of RequestService, when its front stops.

namespace Hornbeam {

/// The retry delay in refusals by a stopping front while no other front serves.
static constexpr Duration kRetryWithoutFronts = 1s;
/// A stopping front takes a request only if this many times its predicted duration is left: load shifts while fronts
/// stop in turn, and a refusal costs its caller little.
static constexpr int kStopTimeFactor = 4;

void
RequestService::CloseAdmission()
{
  this->admissionClosed = true;
}

void
RequestService::LimitWork(MonotonicTime aEndsAt)
{
  this->workEndsAt = aEndsAt;
  for (auto const& [id, request] : this->active) {
    this->LimitDeadline(*request);
    if (!request->limitedByStop)
      continue;
    this->clock.Cancel(request->deadlineTimer);
    request->deadlineTimer =
      this->clock.Schedule(aEndsAt - this->clock.Now(), [this, id = id] { this->OnDeadline(id); });
  }
  this->clock.Schedule(aEndsAt - this->clock.Now(), [this] { this->RefuseForwards(); });
}

void
RequestService::LimitDeadline(ActiveRequest& aRequest)
{
  if (!this->workEndsAt || aRequest.progress.deadline <= *this->workEndsAt)
    return;
  aRequest.progress.deadline = *this->workEndsAt;
  aRequest.limitedByStop = true;
}

bool
RequestService::MayOutlastThisFront(RequestPointer const& aRequest)
{
  if (!aRequest->limitedByStop)
    return false;
  return this->clock.Now() + kStopTimeFactor * this->PredictRemainingTimeOf(aRequest) > aRequest->progress.deadline;
}

void
RequestService::RefuseForwards()
{
  this->admissionClosed = true;
  for (auto const& [number, forward] : std::exchange(this->forwards, {}))
    this->Refuse(forward.request, forward.sink, this->StoppingRefusal(RunState::MayHaveRun));
}

/// The refusal of a request that has no time left.
Refusal
RequestService::LateRefusal(ActiveRequest const& aRequest, RefusalReason aReason, std::string aDetail) const
{
  if (aRequest.limitedByStop && aReason != RefusalReason::AnswerLost)
    return this->StoppingRefusal(RunStateOf(aRequest.progress));
  return MakeRefusal(aRequest.progress, aReason, std::move(aDetail), 500ms);
}

Refusal
RequestService::StoppingRefusal(RunState aRun) const
{
  bool const othersServe = !this->membership.AvailableMembers().empty();
  return { RefusalReason::FrontStopping,
           aRun,
           "this front is stopping: ask GET /v1/entry for another one",
           othersServe ? Duration::zero() : kRetryWithoutFronts };
}

}
