#include <LibServing/RequestStages.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace Hornbeam::Testing {

using namespace Gateway;

// A stage that follows an omitted stage and the one before it was given the results of that one twice.
TEST(RequestStages, GivesEachInputOnceIfAStageBetweenIsOmitted)
{
  std::vector<StageRule> const rules{ { "encode", {}, 1 }, { "retrieve", { 0 }, 1 }, { "rank", { 0, 1 }, 1 } };
  auto stages = *PlanStages(rules, { 2, 0, 1 });
  stages.started[0] = stages.started[1] = true;
  CompleteStage(stages, 0, { "e1", "e2" });
  CompleteStage(stages, 1, InputsOf(stages, 1).value());
  EXPECT_EQ(InputsOf(stages, 2), (std::vector<std::string>{ "e1", "e2" }));
}

// The request itself was given results twice if several omitted last stages passed the same ones on.
TEST(RequestStages, GivesTheRequestEachInputOnceIfItsLastStagesAreOmitted)
{
  std::vector<StageRule> const rules{ { "encode", {}, 1 }, { "retrieve", { 0 }, 1 }, { "rank", { 0 }, 1 } };
  auto stages = *PlanStages(rules, { 1, 0, 0 });
  stages.started.assign(3, true);
  CompleteStage(stages, 0, { "e1" });
  CompleteStage(stages, 1, InputsOf(stages, 1).value());
  CompleteStage(stages, 2, InputsOf(stages, 2).value());
  EXPECT_EQ(FinalInputs(stages), (std::vector<std::string>{ "e1" }));
}

// Results that an omitted stage passes on were released when another stage had read them.
TEST(RequestStages, KeepsResultsThatAStageAfterAnOmittedOneHasYetToRead)
{
  std::vector<StageRule> const rules{
    { "encode", {}, 1 }, { "retrieve", { 0 }, 1 }, { "gate", { 0 }, 1 }, { "rank", { 1 }, 1 }
  };
  auto stages = *PlanStages(rules, { 1, 0, 1, 1 });
  stages.started.assign(4, true);
  CompleteStage(stages, 0, { "e1" });
  CompleteStage(stages, 1, InputsOf(stages, 1).value());
  EXPECT_TRUE(CompleteStage(stages, 2, { "g1" }).empty());
  EXPECT_EQ(InputsOf(stages, 3), (std::vector<std::string>{ "e1" }));
  EXPECT_EQ(CompleteStage(stages, 3, { "r1" }).at("encode"), (std::vector<std::string>{ "e1" }));
}

namespace {

/// The stages that a stage reads, by the definition: each path back through omitted stages ends at one.
void
CollectReadStages(std::vector<StageRule> const& aRules,
                  std::vector<unsigned> const& aItems,
                  unsigned aStage,
                  std::set<unsigned>& aRead)
{
  for (auto const before : aRules[aStage].after)
    if (aItems[before] != 0)
      aRead.insert(before);
    else
      CollectReadStages(aRules, aItems, before, aRead);
}

std::set<unsigned>
StagesReadByTheRequest(std::vector<StageRule> const& aRules, std::vector<unsigned> const& aItems)
{
  // The request reads like a stage that follows all stages without a following one.
  auto rules = aRules;
  StageRule last{ "request", {}, 0 };
  for (unsigned stage = 0; stage < aRules.size(); ++stage)
    if (std::ranges::none_of(
          aRules, [&](auto const& aRule) { return std::ranges::find(aRule.after, stage) != aRule.after.end(); }))
      last.after.push_back(stage);
  rules.push_back(last);
  auto items = aItems;
  items.push_back(1);
  std::set<unsigned> read;
  CollectReadStages(rules, items, unsigned(aRules.size()), read);
  return read;
}

std::vector<std::string>
HandlesOf(unsigned aStage, unsigned aItems)
{
  std::vector<std::string> handles;
  for (unsigned item = 0; item < aItems; ++item)
    handles.push_back(std::to_string(aStage) + "/" + std::to_string(item));
  return handles;
}

/// The results of some stages, in any order.
std::multiset<std::string>
HandlesOf(std::set<unsigned> const& aStages, std::vector<unsigned> const& aItems)
{
  std::multiset<std::string> handles;
  for (auto const stage : aStages)
    for (auto const& handle : HandlesOf(stage, aItems[stage]))
      handles.insert(handle);
  return handles;
}

/// Stages in any order, of which some are omitted.
std::pair<std::vector<StageRule>, std::vector<unsigned>>
GenerateStages()
{
  auto const count = *rc::gen::inRange(1U, 8U);
  std::vector<StageRule> rules;
  std::vector<unsigned> items;
  for (unsigned stage = 0; stage < count; ++stage) {
    StageRule rule{ "service", {}, 1 };
    for (unsigned before = 0; before < stage; ++before)
      if (*rc::gen::inRange(0, 3) == 0)
        rule.after.push_back(before);
    rules.push_back(rule);
    items.push_back(*rc::gen::inRange(0U, 3U));
  }
  return { rules, items };
}

std::multiset<std::string>
AsSet(std::vector<std::string> const& aHandles)
{
  return { aHandles.begin(), aHandles.end() };
}

}

// Inputs were doubled, or released before a stage had read them, if stages were omitted.
RC_GTEST_PROP(RequestStages, GiveEveryReaderEachResultOnceWhateverIsOmitted, ())
{
  auto const [rules, items] = GenerateStages();
  auto stages = *PlanStages(rules, items);
  std::multiset<std::string> released;
  while (!AllComplete(stages)) {
    std::vector<unsigned> incomplete;
    for (auto const stage : StartableStages(stages))
      incomplete.push_back(stage);
    RC_ASSERT(!incomplete.empty());
    auto const stage = incomplete[*rc::gen::inRange<std::size_t>(0, incomplete.size())];
    stages.started[stage] = true;
    std::set<unsigned> read;
    CollectReadStages(rules, items, stage, read);
    if (items[stage] != 0)
      RC_ASSERT(AsSet(InputsOf(stages, stage).value()) == HandlesOf(read, items));
    for (auto const& [service, handles] : CompleteStage(stages, stage, HandlesOf(stage, items[stage])))
      released.insert(handles.begin(), handles.end());
  }
  auto const ofRequest = HandlesOf(StagesReadByTheRequest(rules, items), items);
  RC_ASSERT(AsSet(FinalInputs(stages).value()) == ofRequest);
  for (auto const& [service, handles] : TakeHeldResults(stages))
    released.insert(handles.begin(), handles.end());
  std::set<unsigned> all;
  for (unsigned stage = 0; stage < rules.size(); ++stage)
    all.insert(stage);
  RC_ASSERT(released == HandlesOf(all, items));
}

// The request itself was given the results of a part of its stages, or none of them, when they ran again after their
// results had been released.
RC_GTEST_PROP(RequestStages, GiveTheRequestAllItsInputsOrNothing, ())
{
  auto const [rules, items] = GenerateStages();
  auto const read = StagesReadByTheRequest(rules, items);
  auto stages = *PlanStages(rules, items);
  // The results of each run of the stages, and those that have been released.
  std::map<unsigned, std::vector<std::string>> made;
  std::multiset<std::string> released;
  auto const release = [&](auto const& aResults) {
    for (auto const& [service, handles] : aResults)
      released.insert(handles.begin(), handles.end());
  };
  for (unsigned step = 0, run = 0; step < 40; ++step) {
    std::vector<unsigned> running;
    for (unsigned stage = 0; stage < rules.size(); ++stage)
      if (stages.started[stage] && !stages.results[stage])
        running.push_back(stage);
    auto const startable = StartableStages(stages);
    auto const choice = *rc::gen::inRange(0, 8);
    if (choice == 0) {
      release(TakeHeldResults(stages));
      made.clear();
      ++run;
    } else if (!startable.empty() && (choice < 4 || running.empty())) {
      auto const stage = startable[*rc::gen::inRange<std::size_t>(0, startable.size())];
      stages.started[stage] = true;
      if (items[stage] != 0)
        RC_ASSERT(InputsOf(stages, stage).has_value());
    } else if (!running.empty()) {
      auto const stage = running[*rc::gen::inRange<std::size_t>(0, running.size())];
      auto handles = HandlesOf(stage, items[stage]);
      for (auto& handle : handles)
        handle += "@" + std::to_string(run);
      made[stage] = handles;
      release(CompleteStage(stages, stage, handles));
    }
    bool const all = std::ranges::all_of(read, [&](unsigned aStage) { return made.contains(aStage); });
    auto const inputs = FinalInputs(stages);
    RC_ASSERT(inputs.has_value() == all);
    RC_ASSERT(HoldsFinalInputs(stages) == all);
    if (!all)
      continue;
    std::multiset<std::string> expected;
    for (auto const stage : read)
      expected.insert(made[stage].begin(), made[stage].end());
    RC_ASSERT(AsSet(*inputs) == expected);
    RC_ASSERT(std::ranges::none_of(*inputs, [&](auto const& aHandle) { return released.contains(aHandle); }));
  }
}

}
