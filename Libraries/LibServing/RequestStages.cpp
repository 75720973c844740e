#include "RequestStages.h"
#include <algorithm>

namespace Hornbeam::Gateway {

bool
HasTooManyItems(std::vector<unsigned> const& aItems)
{
  std::uint64_t total = 0;
  for (auto const items : aItems)
    total += items;
  return total > kMaxRequestItems;
}

static void
ResetStages(RequestStages& aStages)
{
  aStages.started.assign(aStages.rules.size(), false);
  aStages.results.assign(aStages.rules.size(), std::nullopt);
  // An omitted stage that follows none is completed at once. Positions in `after` precede their stage.
  for (unsigned stage = 0; stage < aStages.rules.size(); ++stage)
    if (aStages.items[stage] == 0 && aStages.rules[stage].after.empty()) {
      aStages.started[stage] = true;
      aStages.results[stage].emplace();
    }
}

std::optional<RequestStages>
PlanStages(std::vector<StageRule> const& aRules, std::vector<unsigned> const& aItems)
{
  if (aItems.size() != aRules.size() || HasTooManyItems(aItems))
    return std::nullopt;
  RequestStages stages{ aRules, aItems, {}, {} };
  ResetStages(stages);
  return stages;
}

/// Adds the stages whose results take the place of a stage: itself, or those before it if it is omitted.
static void
AddSources(RequestStages const& aStages, unsigned aStage, std::vector<bool>& aVisited, std::vector<unsigned>& aSources)
{
  if (aVisited[aStage])
    return;
  aVisited[aStage] = true;
  if (aStages.items[aStage] != 0) {
    aSources.push_back(aStage);
    return;
  }
  for (auto const before : aStages.rules[aStage].after)
    AddSources(aStages, before, aVisited, aSources);
}

std::vector<unsigned>
SourcesOf(RequestStages const& aStages, unsigned aStage)
{
  std::vector<unsigned> sources;
  std::vector<bool> visited(aStages.rules.size());
  for (auto const before : aStages.rules[aStage].after)
    AddSources(aStages, before, visited, sources);
  return sources;
}

/// Returns the stages whose results the request itself reads.
static std::vector<unsigned>
FinalSources(RequestStages const& aStages)
{
  std::vector<bool> followed(aStages.rules.size());
  for (auto const& rule : aStages.rules)
    for (auto const before : rule.after)
      followed[before] = true;
  std::vector<unsigned> sources;
  std::vector<bool> visited(aStages.rules.size());
  for (unsigned stage = 0; stage < aStages.rules.size(); ++stage)
    if (!followed[stage])
      AddSources(aStages, stage, visited, sources);
  return sources;
}

/// Returns whether the results of all items of some stages are held.
static bool
AreHeld(RequestStages const& aStages, std::vector<unsigned> const& aSources)
{
  return std::ranges::all_of(aSources, [&](unsigned aSource) {
    auto const& results = aStages.results[aSource];
    return results && results->size() == aStages.items[aSource];
  });
}

static std::optional<std::vector<std::string>>
ResultsOf(RequestStages const& aStages, std::vector<unsigned> const& aSources)
{
  if (!AreHeld(aStages, aSources))
    return std::nullopt;
  std::vector<std::string> results;
  for (auto const source : aSources)
    results.insert(results.end(), aStages.results[source]->begin(), aStages.results[source]->end());
  return results;
}

static bool
IsStartable(RequestStages const& aStages, unsigned aStage)
{
  if (aStages.started[aStage])
    return false;
  auto const& after = aStages.rules[aStage].after;
  return std::ranges::all_of(after, [&](unsigned aBefore) { return aStages.results[aBefore].has_value(); }) &&
         AreHeld(aStages, SourcesOf(aStages, aStage));
}

std::vector<unsigned>
StartableStages(RequestStages const& aStages)
{
  std::vector<unsigned> result;
  for (unsigned stage = 0; stage < aStages.rules.size(); ++stage)
    if (IsStartable(aStages, stage))
      result.push_back(stage);
  return result;
}

std::optional<std::vector<std::string>>
InputsOf(RequestStages const& aStages, unsigned aStage)
{
  return ResultsOf(aStages, SourcesOf(aStages, aStage));
}

/// Returns whether a later stage or the request itself has yet to read the results of a stage.
static bool
IsStillNeeded(RequestStages const& aStages, unsigned aStage)
{
  auto const includes = [&](std::vector<unsigned> const& aSources) {
    return std::ranges::find(aSources, aStage) != aSources.end();
  };
  if (includes(FinalSources(aStages)))
    return true;
  for (unsigned later = aStage + 1; later < aStages.rules.size(); ++later)
    if (aStages.items[later] != 0 && !aStages.results[later] && includes(SourcesOf(aStages, later)))
      return true;
  return false;
}

std::map<std::string, std::vector<std::string>>
CompleteStage(RequestStages& aStages, unsigned aStage, std::vector<std::string> aResults)
{
  aStages.results[aStage] = std::move(aResults);
  std::map<std::string, std::vector<std::string>> unneeded;
  if (aStages.items[aStage] == 0)
    return unneeded;
  for (auto const source : SourcesOf(aStages, aStage)) {
    auto& results = *aStages.results[source];
    if (results.empty() || IsStillNeeded(aStages, source))
      continue;
    auto& list = unneeded[aStages.rules[source].service];
    list.insert(list.end(), results.begin(), results.end());
    results.clear();
  }
  return unneeded;
}

bool
AllComplete(RequestStages const& aStages)
{
  return std::ranges::all_of(aStages.results, [](auto const& aResult) { return aResult.has_value(); });
}

std::string
StagesProgress(RequestStages const& aStages)
{
  auto const complete = std::ranges::count_if(aStages.results, [](auto const& aResult) { return aResult.has_value(); });
  auto const started = std::ranges::count(aStages.started, true);
  return "stages_complete=" + std::to_string(complete) + "/" + std::to_string(aStages.rules.size()) +
         " stages_running=" + std::to_string(started - complete);
}

bool
HoldsFinalInputs(RequestStages const& aStages)
{
  return AreHeld(aStages, FinalSources(aStages));
}

std::optional<std::vector<std::string>>
FinalInputs(RequestStages const& aStages)
{
  return ResultsOf(aStages, FinalSources(aStages));
}

std::map<std::string, std::vector<std::string>>
TakeHeldResults(RequestStages& aStages)
{
  std::map<std::string, std::vector<std::string>> held;
  for (unsigned stage = 0; stage < aStages.rules.size(); ++stage) {
    if (!aStages.results[stage] || aStages.results[stage]->empty() || aStages.items[stage] == 0)
      continue;
    auto& list = held[aStages.rules[stage].service];
    list.insert(list.end(), aStages.results[stage]->begin(), aStages.results[stage]->end());
  }
  ResetStages(aStages);
  return held;
}

std::size_t
BytesTransferred(RequestStages const& aStages, unsigned aStage)
{
  std::size_t const items = aStages.items[aStage];
  std::size_t bytes = items * aStages.rules[aStage].resultBytes;
  for (auto const source : SourcesOf(aStages, aStage))
    bytes += items * aStages.items[source] * aStages.rules[source].resultBytes;
  return bytes;
}

void
RecordBacklog(StageBacklogs& aBacklogs, std::string const& aService, Duration aBacklog, MonotonicTime aNow)
{
  aBacklogs.byService[aService] = { aBacklog, aNow };
}

Duration
BacklogOf(StageBacklogs const& aBacklogs, std::string const& aService, MonotonicTime aNow)
{
  auto const found = aBacklogs.byService.find(aService);
  if (found == aBacklogs.byService.end())
    return Duration::zero();
  return std::max<Duration>(Duration::zero(), found->second.backlog - (aNow - found->second.reportedAt));
}

Duration
TimeAfterStage(RequestStages const& aStages,
               unsigned aStage,
               ServingTable const& aTable,
               StageBacklogs const& aBacklogs,
               MonotonicTime aNow)
{
  Duration longest{ 0 };
  for (unsigned later = aStage + 1; later < aStages.rules.size(); ++later) {
    auto const& rule = aStages.rules[later];
    if (std::ranges::find(rule.after, aStage) == rule.after.end())
      continue;
    auto const& service = RuleOf(aTable, rule.service);
    auto const limits = service.stage.value_or(StageLimits{});
    auto const work = limits.callTime + limits.itemTime * std::int64_t(aStages.items[later]);
    auto const own = work + BacklogOf(aBacklogs, rule.service, aNow);
    longest = std::max(longest, own + TimeAfterStage(aStages, later, aTable, aBacklogs, aNow));
  }
  return longest;
}

}
