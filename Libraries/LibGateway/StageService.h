#pragma once

#include "StageOwnerService.h"

namespace Hornbeam::Gateway {

/// Sends stage jobs to the fronts that own their pools, and resends them to the next front if the owner fails.
class StageService
{
public:
  explicit StageService(Kernel& aKernel);

  /// Calls back exactly once, with any end but HandedOff, unless cancelled; the returned action cancels the job.
  CancelAction RunStage(RemoteStageJob aJob, StageCallback aDone);

  /// Releases results through the owner of their pool, or directly if the owner does not respond.
  void Release(std::string const& aService, std::vector<std::string> const& aHandles);

  /// Whether no release is on its way to an owner.
  bool IsIdle() const { return this->releasesInFlight == 0; }

  /// The backlogs that the owners reported with their last results.
  StageBacklogs const& Backlogs() const { return this->backlogs; }

private:
  struct PendingJob;
  enum class OwnerFault
  {
    NoResponse,
    Draining,
  };

  void Send(std::shared_ptr<PendingJob> const& aPending);
  /// Makes a completed job a failed one unless it has a result for each of its items.
  void RejectIncompleteResult(PendingJob const& aPending, StageResult& aResult);
  void Resend(std::shared_ptr<PendingJob> const& aPending, std::string const& aFront, OwnerFault aFault);

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  FrontPeers& peers;
  StageOwnerService& owner;
  StageBacklogs backlogs;
  unsigned releasesInFlight{ 0 };
};

}
