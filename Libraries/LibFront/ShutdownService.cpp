#include "ShutdownService.h"
#include <utility>

namespace Hornbeam {

static constexpr Duration kPollInterval = 50ms;
/// How long the front tries to leave the membership. After that it exits, and the other fronts remove it.
static constexpr Duration kLeaveTimeout = 8s;
/// The time for writing the record without this front.
static constexpr Duration kWriteRecordReserve = 500ms;
/// The last part of the grace time, in which the process writes its last responses and exits.
static constexpr Duration kExitReserve = 2s;

ShutdownService::ShutdownService(Kernel& aKernel, std::function<void()> aOnEnded)
  : clock(aKernel.Find<Clock>(ServiceName::kClock))
  , membership(aKernel.Find<MembershipService>(ServiceName::kMembership))
  , requests(aKernel.Find<RequestService>(ServiceName::kRequests))
  , settings(aKernel.Find<FrontSettings const>(ServiceName::kSettings))
  , end(std::move(aOnEnded))
{
}

void
ShutdownService::Begin()
{
  if (this->startedAt)
    return;
  this->startedAt = this->clock.Now();
  this->exitAt = *this->startedAt + this->settings.shutdownGrace - kExitReserve;
  this->requests.LimitWork(this->exitAt - this->LeaveReserve());
  PART_LOG("shutdown") << "serving callers that keep this address for another "
                       << Milliseconds(this->settings.callers.keepAddress) << " ms, with a grace time of "
                       << Milliseconds(this->settings.shutdownGrace) << " ms.";
  this->membership.BeginDraining();
  this->Poll();
}

/// The part of the grace time that is left for leaving the membership when the work has ended. The record without this
/// front becomes active when the leases under the one before have expired.
Duration
ShutdownService::LeaveReserve() const
{
  return this->settings.membership.leaseDuration + this->settings.membership.driftAllowance + kWriteRecordReserve;
}

void
ShutdownService::Poll()
{
  auto const now = this->clock.Now();
  // Another front may send callers to this address until it learns of the draining from a heartbeat.
  auto const propagation = 2 * this->settings.membership.heartbeatInterval;
  bool const addressExpired = now - *this->startedAt >= this->settings.callers.keepAddress + propagation;
  if (addressExpired)
    this->CloseAdmission();
  if (!this->leaveStartedAt && addressExpired && this->requests.ActiveRequests() == 0) {
    PART_LOG("shutdown") << "no request is in flight; leaving the membership.";
    this->leaveStartedAt = now;
    this->membership.Leave();
  }
  auto const& state = this->membership.State();
  if (this->leaveStartedAt) {
    bool const isLastMember = state.record && state.record->members.size() == 1;
    // Until the record without this front is active, other fronts may still send it requests as an owner.
    bool const isMember = this->membership.FindKnownMember(state.self.name, state.self.incarnation) != nullptr;
    bool const hasLeft = !isMember && IsKnownEpochActive(state);
    bool const noTimeLeft = now - *this->leaveStartedAt >= kLeaveTimeout || now >= this->exitAt;
    if (hasLeft || isLastMember || noTimeLeft) {
      PART_LOG("shutdown") << "completed.";
      this->end();
      return;
    }
  }
  this->clock.Schedule(kPollInterval, [this] { this->Poll(); });
}

/// The front must not take work any more once it leaves: it would be cut by the end of the process, and the record
/// that the front leaves with says that its work is done.
void
ShutdownService::CloseAdmission()
{
  if (std::exchange(this->admissionClosed, true))
    return;
  PART_LOG("shutdown") << "refusing new requests; " << this->requests.ActiveRequests() << " are active.";
  this->requests.CloseAdmission();
}

}
