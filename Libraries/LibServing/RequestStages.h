#pragma once

#include "ServingTable.h"

namespace Hornbeam::Gateway {

/// The stages of one request and the results that it holds.
struct RequestStages
{
  std::vector<StageRule> rules;
  /// Pieces of each stage; zero leaves a stage out.
  std::vector<unsigned> items;
  std::vector<bool> started;
  std::vector<std::optional<std::vector<std::string>>> results;
};

/// Empty when the counts do not fit the stages.
std::optional<RequestStages>
PlanStages(std::vector<StageRule> const& aRules, std::vector<unsigned> const& aPieces);

/// Stages whose inputs are there and that have not been started.
std::vector<unsigned>
StartableStages(RequestStages const& aStages);

/// The results that the pieces of a stage are made from.
std::vector<std::string>
InputsOf(RequestStages const& aStages, unsigned aStage);

/// Notes a stage's results and returns those that nothing needs any more, by the service that made them.
std::map<std::string, std::vector<std::string>>
CompleteStage(RequestStages& aStages, unsigned aStage, std::vector<std::string> aResults);

bool
AllComplete(RequestStages const& aStages);

/// The results that the request itself is run with: those of stages that no other stage follows.
std::vector<std::string>
FinalInputs(RequestStages const& aStages);

/// All results that are still held, by service. They are held no more afterwards.
std::map<std::string, std::vector<std::string>>
TakeHeldResults(RequestStages& aStages);

/// Begins anew, as after a result was lost.
void
RestartStages(RequestStages& aStages);

/// What the pieces of a stage read and make, in bytes; each piece reads all inputs.
std::size_t
BytesTransferred(RequestStages const& aStages, unsigned aStage);

/// What this front last heard of the backlogs of stage pools.
struct StageBacklogs
{
  struct Heard
  {
    Duration backlog{ 0 };
    MonotonicTime at{};
  };
  std::map<std::string, Heard> byService;
};

void
RecordBacklog(StageBacklogs& aBacklogs, std::string const& aService, Duration aBacklog, MonotonicTime aNow);

/// A backlog is worked off at most as fast as time passes.
Duration
BacklogOf(StageBacklogs const& aBacklogs, std::string const& aService, MonotonicTime aNow);

/// How long the stages after aStage take, with what waits there already.
Duration
TimeAfterStage(RequestStages const& aStages,
               unsigned aStage,
               ServingTable const& aTable,
               StageBacklogs const& aBacklogs,
               MonotonicTime aNow);

}
