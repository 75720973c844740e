#include <LibRouting/LibRouting.h>
#include <gtest/gtest.h>

using namespace Hornbeam;

namespace {

MonotonicTime const kStart{ 1h };

Candidate
CandidateNamed(std::string const& aName, int aUsed, int aTotal)
{
  Candidate candidate;
  candidate.name = aName;
  candidate.sameDataCenter = true;
  candidate.used = aUsed;
  candidate.total = aTotal;
  candidate.freeSlots = aTotal - aUsed;
  candidate.expectedLatency = 100ms;
  return candidate;
}

ChoiceContext const kContext{ RoutingPolicy::Adaptive, "", 5s, 0 };

TEST(EndpointChoice, PrefersTheLessLoadedOfEquals)
{
  std::vector<Candidate> const candidates{ CandidateNamed("a", 3, 4), CandidateNamed("b", 1, 4) };
  EXPECT_EQ(ChooseEndpoint(candidates, kContext)->index, 1U);
}

TEST(EndpointChoice, ChoosesNoEndpointWithoutSlotOrWeightNorAnEjectedOne)
{
  std::vector<Candidate> candidates{ CandidateNamed("a", 4, 4), CandidateNamed("b", 0, 4), CandidateNamed("c", 0, 4) };
  candidates[1].ejected = true;
  candidates[2].weight = 0;
  EXPECT_FALSE(ChooseEndpoint(candidates, kContext));
}

TEST(EndpointChoice, ChoosesAColdEndpointOnlyWithEnoughSlack)
{
  std::vector<Candidate> candidates{ CandidateNamed("a", 0, 2) };
  candidates[0].cold = true;
  EXPECT_TRUE(ChooseEndpoint(candidates, kContext));
  ChoiceContext hurried = kContext;
  hurried.slack = 150ms;
  EXPECT_FALSE(ChooseEndpoint(candidates, hurried));
}

TEST(EndpointChoice, StaysInItsDataCentreUntilTheLoadOutweighsThePenalty)
{
  std::vector<Candidate> candidates{ CandidateNamed("near", 0, 4), CandidateNamed("far", 0, 4) };
  candidates[1].sameDataCenter = false;
  EXPECT_EQ(ChooseEndpoint(candidates, kContext)->index, 0U);
  candidates[0].used = 3;
  EXPECT_EQ(ChooseEndpoint(candidates, kContext)->index, 1U);
}

TEST(EndpointChoice, KeepsAPrefixAtOneEndpointWithinTheLoadBound)
{
  std::vector<Candidate> candidates;
  for (char const* name : { "a", "b", "c", "d" })
    candidates.push_back(CandidateNamed(name, 0, 8));
  ChoiceContext context = kContext;
  context.affinityKey = "prompt 1";
  auto const home = ChooseEndpoint(candidates, context)->index;
  EXPECT_EQ(ChooseEndpoint(candidates, context)->index, home);
  candidates[home].used = 7;
  candidates[home].freeSlots = 1;
  EXPECT_NE(ChooseEndpoint(candidates, context)->index, home);
}

TEST(OutlierEjection, KeepsTheMinimumPercentageOfThePool)
{
  std::vector<OutlierState> pool(4);
  std::vector<OutlierState const*> view;
  for (auto const& state : pool)
    view.push_back(&state);
  int ejected = 0;
  for (auto& state : pool) {
    for (int failure = 0; failure < 3; ++failure)
      ejected += OnCallFailed(state, view, {}, kStart) ? 1 : 0;
  }
  EXPECT_EQ(ejected, 2);
}

TEST(FairQueue, ServesAccountsByWeight)
{
  FairQueue queue;
  RequestId id = 0;
  for (int entry = 0; entry < 40; ++entry) {
    Enqueue(queue, { ++id, "large", 3, 0, kStart });
    Enqueue(queue, { ++id, "small", 1, 0, kStart });
  }
  int large = 0;
  for (int turn = 0; turn < 40; ++turn) {
    auto const next = PeekNext(queue);
    ASSERT_TRUE(next);
    large += next->account == "large" ? 1 : 0;
    DequeueEntry(queue, next->request);
  }
  EXPECT_NEAR(large, 30, 1);
}

TEST(FairQueue, PrefersTheFurthestStageWithinAnAccount)
{
  FairQueue queue;
  Enqueue(queue, { 1, "a", 1, 0, kStart });
  Enqueue(queue, { 2, "a", 1, 2, kStart + 5s });
  EXPECT_EQ(PeekNext(queue)->request, 2U);
}

TEST(Admission, PredictsQueueAndServiceOfTheRemainingStages)
{
  std::vector<StageOutlook> const stages{ { { 100ms, 10ms }, 4, 2 }, { { 50ms, 0ms }, 0, 0 } };
  EXPECT_EQ(PredictRemainingTime(stages), 360ms);
}

TEST(RetryBudget, LimitsRetriesToAFractionOfNewRequests)
{
  RetryBudget budget{ 0, 10, 0.2 };
  for (int request = 0; request < 4; ++request)
    OnNewRequest(budget);
  EXPECT_FALSE(TakeRetry(budget));
  OnNewRequest(budget);
  OnNewRequest(budget);
  EXPECT_TRUE(TakeRetry(budget));
  EXPECT_FALSE(TakeRetry(budget));
}

}
