#pragma once

#include "ServingTable.h"

namespace Hornbeam::Gateway {

/// The stages of one request and the results that it holds.
struct RequestStages
{
  std::vector<StageRule> rules;
  /// Number of items of each stage; a stage with zero items is omitted, and those after it read what it would have
  /// read.
  std::vector<unsigned> items;
  std::vector<bool> started;
  /// The results of complete stages, empty once no reader needs them any more.
  std::vector<std::optional<std::vector<std::string>>> results;
};

/// The greatest number of items of all stages of a request. The handles of so many results fit the header field that
/// passes them to an endpoint, and their calls the memory of the smallest machine.
inline constexpr unsigned kMaxRequestItems = 2000;

bool
HasTooManyItems(std::vector<unsigned> const& aItems);

/// Returns nothing if the number of item counts differs from the number of stages, or if there are too many items.
std::optional<RequestStages>
PlanStages(std::vector<StageRule> const& aRules, std::vector<unsigned> const& aItems);

/// Returns the stages that have not been started and whose inputs are held.
std::vector<unsigned>
StartableStages(RequestStages const& aStages);

/// Returns the stages whose results a stage reads, each once. The place of an omitted stage is taken by those before
/// it.
std::vector<unsigned>
SourcesOf(RequestStages const& aStages, unsigned aStage);

/// Returns the results that the items of a stage are computed from, each once; nothing unless all of them are held.
std::optional<std::vector<std::string>>
InputsOf(RequestStages const& aStages, unsigned aStage);

/// Records a stage's results, none for an omitted one, and returns the results that are no longer needed, by the
/// service that produced them.
std::map<std::string, std::vector<std::string>>
CompleteStage(RequestStages& aStages, unsigned aStage, std::vector<std::string> aResults);

bool
AllComplete(RequestStages const& aStages);

/// Returns the numbers of complete and of running stages as fields of a log line.
std::string
StagesProgress(RequestStages const& aStages);

/// Whether all results are held that the request itself reads: those of stages without a following stage.
bool
HoldsFinalInputs(RequestStages const& aStages);

/// Returns the inputs of the request itself, each once; nothing unless all of them are held.
std::optional<std::vector<std::string>>
FinalInputs(RequestStages const& aStages);

/// Returns all results that are still held, by service, and stops holding them. All stages have to run again.
std::map<std::string, std::vector<std::string>>
TakeHeldResults(RequestStages& aStages);

/// Returns the bytes that the items of a stage read and produce. Each item reads all inputs.
std::size_t
BytesTransferred(RequestStages const& aStages, unsigned aStage);

/// Backlogs of stage pools as last reported to this front.
struct StageBacklogs
{
  struct Reported
  {
    Duration backlog{ 0 };
    MonotonicTime reportedAt{};
  };
  std::map<std::string, Reported> byService;
};

void
RecordBacklog(StageBacklogs& aBacklogs, std::string const& aService, Duration aBacklog, MonotonicTime aNow);

/// Returns the last reported backlog less the time elapsed since. A backlog shrinks at most as fast as time passes.
Duration
BacklogOf(StageBacklogs const& aBacklogs, std::string const& aService, MonotonicTime aNow);

/// Returns how long the stages after aStage take, including their known backlogs.
Duration
TimeAfterStage(RequestStages const& aStages,
               unsigned aStage,
               ServingTable const& aTable,
               StageBacklogs const& aBacklogs,
               MonotonicTime aNow);

}
