#pragma once

#include "RolloutService.h"

namespace Hornbeam::Gateway {

/// The stage pools that this front owns, on behalf of itself and of other fronts. Fronts need not agree on the owner:
/// two owners of a pool only cost efficiency, since an item may be processed more than once.
class StageOwnerService
{
public:
  explicit StageOwnerService(Kernel& aKernel);

  /// Calls back exactly once unless cancelled; the returned action cancels the job.
  CancelAction RunStage(RemoteStageJob aJob, StageCallback aDone);

  /// Releases results at their endpoints, also those that another owner had computed.
  void Release(std::string const& aService, std::vector<std::string> const& aHandles);

  /// Hands off to another front, if there is one, before this one stops at aStop: jobs that wait or cannot be completed
  /// by then end as HandedOff, and the others continue. Later jobs run here only while no other front is known.
  void HandOff(MonotonicTime aStop);

  /// Whether no job, call or release is in progress and all results have been sent, so that nothing is lost if the
  /// front stops.
  bool IsIdle() const;

  struct Usage
  {
    std::uint64_t calls{ 0 };
    std::uint64_t items{ 0 };
    std::uint64_t failedCalls{ 0 };
    std::uint64_t releases{ 0 };
  };
  Usage const& Counts() const { return this->usage; }
  std::map<std::string, StagePool> const& Pools() const { return this->pools; }

private:
  bool LeavesJobsToOthers() const;
  void HandOffJobs();
  StagePool* FindOrCreatePool(std::string const& aService);
  void UpdatePools();
  /// The endpoints to which calls of the service may go.
  std::vector<EndpointEntry> UsableEntries(std::string const& aService) const;
  void ApplyDecisions(std::string const& aService, StageDecisions aDecisions);
  void StartCall(std::string const& aService, StageCall const& aCall);
  /// Records what the answer to a call says about its endpoint.
  void ApplySignals(std::string const& aService, StageCallId aCall, BufferedResponse const& aResponse);
  void OnCallDone(std::string const& aService, StageCallId aCall, BufferedResponse const& aResponse);
  void SendReleases();
  void ScheduleTick();

  GatewaySettings const& settings;
  StateCache& stateCache;
  Clock& clock;
  ConnectionPool& connections;
  RolloutService& rollouts;
  std::map<std::string, StagePool> pools;
  std::map<std::pair<std::string, StageJobId>, StageCallback> callbacks;
  /// Results to release, by service and address; sent in batches after kReleaseDelay.
  std::map<std::pair<std::string, std::string>, std::vector<std::string>> releases;
  bool releasesScheduled{ false };
  /// Calls that release results.
  unsigned releaseCalls{ 0 };
  /// When the last result was passed on.
  MonotonicTime lastResult{};
  bool tickScheduled{ false };
  /// When this front stops, once it hands off.
  std::optional<MonotonicTime> stop;
  Usage usage;
};

}
