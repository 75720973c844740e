#include "ShutdownService.h"

namespace Hornbeam {

static constexpr Duration kReviewInterval = 50ms;
/// How long the front tries to leave the membership; the others remove it otherwise.
static constexpr Duration kLongestLeave = 8s;

ShutdownService::ShutdownService(Kernel& aKernel, std::function<void()> aEnd)
  : clock(aKernel.Find<Clock>(ServiceName::kClock))
  , membership(aKernel.Find<MembershipService>(ServiceName::kMembership))
  , requests(aKernel.Find<RequestService>(ServiceName::kRequests))
  , settings(aKernel.Find<FrontSettings const>(ServiceName::kSettings))
  , end(std::move(aEnd))
{
}

void
ShutdownService::Begin()
{
  if (this->begunAt)
    return;
  this->begunAt = this->clock.Now();
  PART_LOG("shutdown") << "serves callers that keep this address for "
                       << Milliseconds(this->settings.callers.keepAddress) << " ms more.";
  this->membership.BeginDrain();
  this->Review();
}

void
ShutdownService::Review()
{
  auto const now = this->clock.Now();
  // Another front may hand this address out until it has heard of the drain by a heartbeat.
  auto const heard = 2 * this->settings.membership.heartbeatInterval;
  bool const keptNoMore = now - *this->begunAt >= this->settings.callers.keepAddress + heard;
  if (!this->leftAt && keptNoMore && this->requests.ActiveRequests() == 0) {
    PART_LOG("shutdown") << "nothing is left to finish; leaves the membership.";
    this->leftAt = now;
    this->membership.Leave();
  }
  auto const& state = this->membership.State();
  if (this->leftAt) {
    bool const alone = state.record && state.record->members.size() == 1;
    // Until the record without this front is active, others may still ask it as an owner.
    bool const member = this->membership.FindKnownMember(state.self.name, state.self.incarnation) != nullptr;
    bool const hasLeft = !member && IsKnownEpochActive(state);
    if (hasLeft || alone || now - *this->leftAt >= kLongestLeave) {
      PART_LOG("shutdown") << "ends.";
      this->end();
      return;
    }
  }
  this->clock.Schedule(kReviewInterval, [this] { this->Review(); });
}

}
