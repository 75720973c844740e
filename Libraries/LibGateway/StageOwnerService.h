#pragma once

#include "FrontPeers.h"
#include "StateCache.h"

namespace Hornbeam::Gateway {

/// The stage pools that this front works for, for itself and for others. Which front that is needs no agreement: two
/// owners of a pool cost efficiency only, since a piece may be made again.
class StageOwnerService
{
public:
  explicit StageOwnerService(Kernel& aKernel);

  /// Answers once; the returned action cancels the order.
  CancelAction Make(RemoteOrder aOrder, StageDone aDone);

  void Release(std::string const& aService, std::vector<std::string> const& aHandles);

  /// Another front takes over: waiting orders end, running calls go on.
  void HandOver();

  struct Usage
  {
    std::uint64_t calls{ 0 };
    std::uint64_t pieces{ 0 };
    std::uint64_t failedCalls{ 0 };
    std::uint64_t frees{ 0 };
  };
  Usage const& Counts() const { return this->usage; }
  std::map<std::string, StagePool> const& Pools() const { return this->pools; }

private:
  StagePool* PoolOf(std::string const& aService);
  void Review();
  void Carry(std::string const& aService, StageDecisions aDecisions);
  void StartCall(std::string const& aService, StageCall const& aCall);
  void OnCallDone(std::string const& aService, StageCallId aCall, BufferedResponse const& aResponse);
  void SendFrees();
  void Tick();

  StateCache& stateCache;
  Clock& clock;
  ConnectionPool& connections;
  std::map<std::string, StagePool> pools;
  std::map<std::pair<std::string, StageJobId>, StageDone> waiting;
  /// Results to be freed, by service and address; sent together after a moment.
  std::map<std::pair<std::string, std::string>, std::vector<std::string>> frees;
  bool freesScheduled{ false };
  bool tickScheduled{ false };
  bool handedOver{ false };
  Usage usage;
};

}
