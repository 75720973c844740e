#pragma once

#include "StageOwnerService.h"

namespace Hornbeam::Gateway {

/// Sends orders for stages to the fronts that own their pools, and again to the next one when a front fails.
class StageService
{
public:
  explicit StageService(Kernel& aKernel);

  /// Answers once, with any end but Moved; the returned action cancels the order.
  CancelAction Make(RemoteOrder aOrder, StageDone aDone);

  void Release(std::string const& aService, std::vector<std::string> const& aHandles);

  /// What the owners said of their backlogs with their last results.
  StageBacklogs const& Backlogs() const { return this->backlogs; }

private:
  struct Pending;
  enum class OwnerFault
  {
    NoAnswer,
    Leaves,
  };

  void Send(std::shared_ptr<Pending> const& aPending);
  void SendAgain(std::shared_ptr<Pending> const& aPending, std::string const& aFront, OwnerFault aFault);

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  FrontPeers& peers;
  StageOwnerService& owner;
  StageBacklogs backlogs;
};

}
