#include <LibRequests/LibRequests.h>
#include <gtest/gtest.h>

using namespace Hornbeam;

namespace {

MonotonicTime const kStart{ 1h };
WallTime const kWall{ 10000h };

RequestProgress
ProgressOf(Repeatability aRepeatability)
{
  RequestProgress progress;
  progress.pipeline = { "p", { "encode", "generate" }, 5s, aRepeatability };
  if (aRepeatability == Repeatability::NotRepeatable)
    progress.pipeline.stages.pop_back();
  progress.deadline = kStart + 5s;
  progress.input = "in";
  return progress;
}

Step
EndWith(RequestProgress& aProgress, AttemptEnd aEnd, RetryBudget& aBudget)
{
  OnAttemptStarted(aProgress, "e-1");
  return OnAttemptEnded(aProgress, "e-1", { aEnd, "out", "detail" }, 10ms, aBudget, kStart);
}

TEST(RequestProgress, NeverRetriesANonRepeatableCallOnceBytesWereSent)
{
  for (auto const end : { AttemptEnd::Lost, AttemptEnd::Declined }) {
    auto progress = ProgressOf(Repeatability::NotRepeatable);
    RetryBudget budget;
    auto const step = EndWith(progress, end, budget);
    EXPECT_EQ(step.kind, StepKind::Refuse);
    EXPECT_EQ(step.refusal.run, RunState::MayHaveRun);
    EXPECT_EQ(step.refusal.reason, RefusalReason::AnswerLost);
  }
}

TEST(RequestProgress, RetriesElsewhereWhenNothingWasSent)
{
  auto progress = ProgressOf(Repeatability::NotRepeatable);
  RetryBudget budget;
  EXPECT_EQ(EndWith(progress, AttemptEnd::NotSent, budget).kind, StepKind::RunStage);
  EXPECT_EQ(RunStateOf(progress), RunState::NotRun);
  EXPECT_TRUE(progress.failedEndpoints.contains("e-1"));
}

TEST(RequestProgress, RefusesWhenTheRetryBudgetIsExhausted)
{
  auto progress = ProgressOf(Repeatability::Repeatable);
  RetryBudget budget{ 2, 10, 0.2 };
  EXPECT_EQ(EndWith(progress, AttemptEnd::Lost, budget).kind, StepKind::RunStage);
  EXPECT_EQ(EndWith(progress, AttemptEnd::Lost, budget).kind, StepKind::RunStage);
  auto const step = EndWith(progress, AttemptEnd::Lost, budget);
  EXPECT_EQ(step.kind, StepKind::Refuse);
  EXPECT_EQ(step.refusal.reason, RefusalReason::AttemptsFailed);
}

TEST(RequestProgress, PassesTheOutputOfEachStageToTheNext)
{
  auto progress = ProgressOf(Repeatability::Repeatable);
  RetryBudget budget;
  EXPECT_EQ(EndWith(progress, AttemptEnd::Succeeded, budget).kind, StepKind::RunStage);
  EXPECT_EQ(progress.input, "out");
  EXPECT_EQ(EndWith(progress, AttemptEnd::Succeeded, budget).kind, StepKind::Complete);
}

StageResponse
ResponseFor(std::string const& aAttempt)
{
  StageResponse response;
  response.attempt = aAttempt;
  return response;
}

TEST(StageResponse, DeliversTokensOnceAndInOrder)
{
  auto response = ResponseFor("a");
  std::string const line = "{\"attempt\":\"a\",\"index\":0,\"token\":\"x\"}\n";
  EXPECT_EQ(FeedResponse(response, line.substr(0, 10)).size(), 0U);
  EXPECT_EQ(FeedResponse(response, line.substr(10) + line), std::vector<std::string>{ "x" });
  FeedResponse(response, "{\"attempt\":\"a\",\"done\":true,\"output\":\"o\",\"tokens\":1}\n");
  EXPECT_EQ(ResultOf(response).end, AttemptEnd::Succeeded);
  EXPECT_EQ(ResultOf(response).output, "o");
}

TEST(StageResponse, RejectsInvalidOrIncompleteResponses)
{
  for (std::string const text : { "{\"attempt\":\"b\",\"done\":true,\"output\":\"o\",\"tokens\":0}\n",
                                  "{\"attempt\":\"a\",\"index\":1,\"token\":\"x\"}\n",
                                  "{\"attempt\":\"a\",\"done\":true,\"output\":\"o\",\"tokens\":2}\n",
                                  "{\"attempt\":\"a\",\"done\":true,\"output\":7,\"tokens\":0}\n",
                                  "{\"attempt\":\"a\",\"done\":tr",
                                  "no json\n",
                                  "" }) {
    auto response = ResponseFor("a");
    FeedResponse(response, text);
    EXPECT_EQ(ResultOf(response).end, AttemptEnd::Lost) << text;
  }
}

IdempotencyKey
KeyUntil(WallTime aExpiry)
{
  return { "front-1", 7, aExpiry, "k" };
}

TEST(KeyLedger, RunsAKeyOnceAndNeverRunsAnEvictedKey)
{
  KeyLedger ledger;
  auto const key = KeyUntil(kWall + 60s);
  EXPECT_EQ(ClaimKey(ledger, "k", key, 1, 11, kWall).verdict, KeyVerdict::Run);
  auto const joined = ClaimKey(ledger, "k", key, 1, 12, kWall);
  EXPECT_EQ(joined.verdict, KeyVerdict::Join);
  EXPECT_EQ(joined.request, 11U);
  EXPECT_EQ(ClaimKey(ledger, "k", key, 2, 13, kWall).verdict, KeyVerdict::Reused);
  PipelineResponse response;
  response.output = "o";
  CompleteKey(ledger, "k", response);
  auto const replayed = ClaimKey(ledger, "k", key, 1, 14, kWall + 59s);
  EXPECT_EQ(replayed.verdict, KeyVerdict::Replay);
  EXPECT_EQ(replayed.response->output, "o");
  EvictKeys(ledger, kWall + 3600s);
  EXPECT_TRUE(ledger.entries.empty());
  EXPECT_EQ(ClaimKey(ledger, "k", key, 1, 15, kWall + 3600s).verdict, KeyVerdict::Expired);
}

// A request that still runs when its key is due for eviction must not leave its entry in memory for good.
TEST(KeyLedger, EvictsTheKeyOfALongRequestOnceItHasCompleted)
{
  KeyLedger ledger;
  ClaimKey(ledger, "k", KeyUntil(kWall + 60s), 1, 11, kWall);
  EvictKeys(ledger, kWall + 3600s);
  ASSERT_EQ(ledger.entries.size(), 1U);
  PipelineResponse response;
  response.output = "o";
  CompleteKey(ledger, "k", response);
  EvictKeys(ledger, kWall + 3601s);
  EXPECT_TRUE(ledger.entries.empty());
  EXPECT_TRUE(ledger.evictionOrder.empty());
}

TEST(KeyLedger, AllowsARetryOnlyIfTheRequestCertainlyDidNotRun)
{
  KeyLedger ledger;
  auto const key = KeyUntil(kWall + 60s);
  ClaimKey(ledger, "k", key, 1, 11, kWall);
  PipelineResponse notRun;
  notRun.refusal = Refusal{ RefusalReason::AccountLimit, RunState::NotRun, "", 0s };
  CompleteKey(ledger, "k", notRun);
  EXPECT_EQ(ClaimKey(ledger, "k", key, 1, 12, kWall).verdict, KeyVerdict::Run);
  PipelineResponse mayHaveRun;
  mayHaveRun.refusal = Refusal{ RefusalReason::AnswerLost, RunState::MayHaveRun, "", 0s };
  CompleteKey(ledger, "k", mayHaveRun);
  EXPECT_EQ(ClaimKey(ledger, "k", key, 1, 13, kWall).verdict, KeyVerdict::Replay);
}

TEST(IdempotencyKey, ParsesOnlyWellFormedKeys)
{
  LastReason reason;
  auto const key = ParseIdempotencyKey(EncodeKeyPrefix("front-1", 42, kWall) + "~pour 17", reason);
  ASSERT_TRUE(key);
  EXPECT_EQ(key->front, "front-1");
  EXPECT_EQ(key->incarnation, 42U);
  EXPECT_EQ(key->expiresAt, kWall);
  for (std::string const text : { "", "~", "f~1~2", "f~1~2~", "~1~2~k", "f~x~2~k", "f~1~-2~k" })
    EXPECT_FALSE(ParseIdempotencyKey(text, reason)) << text;
}

TEST(PipelineResponse, RoundTripsThroughJson)
{
  PipelineResponse response;
  response.refusal = Refusal{ RefusalReason::KeyHolderGone, RunState::MayHaveRun, "gone", 250ms };
  LastReason reason;
  auto const decoded = DecodePipelineResponse(EncodePipelineResponse(response), reason);
  ASSERT_TRUE(decoded && decoded->refusal);
  EXPECT_EQ(decoded->refusal->reason, RefusalReason::KeyHolderGone);
  EXPECT_EQ(decoded->refusal->run, RunState::MayHaveRun);
  EXPECT_EQ(decoded->refusal->retryAfter, 250ms);
}

}
