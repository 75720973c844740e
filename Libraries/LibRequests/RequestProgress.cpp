#include "RequestProgress.h"

namespace Hornbeam {

/// A failed attempt is not retried if less time than this remains before the deadline.
static constexpr Duration kMinTimeToRetry = 5ms;

RunState
RunStateOf(RequestProgress const& aProgress)
{
  return aProgress.sent ? RunState::MayHaveRun : RunState::NotRun;
}

std::string
AttemptName(RequestProgress const& aProgress, std::string const& aFront, Incarnation aIncarnation)
{
  return aFront + "." + std::to_string(aIncarnation) + "/" + std::to_string(aProgress.id) + "/" +
         std::to_string(aProgress.stage) + "/" + std::to_string(aProgress.attempt);
}

void
OnAttemptStarted(RequestProgress& aProgress, std::string const& aEndpoint)
{
  ++aProgress.attempt;
  auto const& pool = aProgress.pipeline.stages[aProgress.stage];
  if (aProgress.stages.size() <= aProgress.stage)
    aProgress.stages.push_back({ pool, aEndpoint, 0, Duration::zero() });
  auto& record = aProgress.stages.back();
  record.endpoint = aEndpoint;
  record.attempts = aProgress.attempt;
}

Refusal
MakeRefusal(RequestProgress const& aProgress, RefusalReason aReason, std::string aDetail, Duration aRetryAfter)
{
  return { aReason, RunStateOf(aProgress), std::move(aDetail), aRetryAfter };
}

static Step
RefuseStep(RequestProgress const& aProgress, RefusalReason aReason, std::string aDetail)
{
  return { StepKind::Refuse, MakeRefusal(aProgress, aReason, std::move(aDetail), 1s) };
}

static Step
AdvanceStage(RequestProgress& aProgress, std::string const& aOutput)
{
  aProgress.input = aOutput;
  ++aProgress.stage;
  aProgress.attempt = 0;
  aProgress.failedEndpoints.clear();
  if (aProgress.stage == aProgress.pipeline.stages.size())
    return { StepKind::Complete, {} };
  aProgress.tokens.clear();
  return { StepKind::RunStage, {} };
}

Step
OnAttemptEnded(RequestProgress& aProgress,
               std::string const& aEndpoint,
               AttemptResult const& aResult,
               Duration aDuration,
               RetryBudget& aBudget,
               MonotonicTime aNow)
{
  aProgress.stages.back().duration += aDuration;
  bool const bytesSent = aResult.end != AttemptEnd::NotSent;
  aProgress.sent = aProgress.sent || bytesSent;
  if (aResult.end == AttemptEnd::Succeeded)
    return AdvanceStage(aProgress, aResult.output);
  bool const repeatable = aProgress.pipeline.repeatability == Repeatability::Repeatable;
  if (!repeatable && bytesSent)
    return RefuseStep(aProgress, RefusalReason::AnswerLost, aEndpoint + ": " + aResult.detail);
  aProgress.failedEndpoints.insert(aEndpoint);
  if (aNow + kMinTimeToRetry >= aProgress.deadline)
    return RefuseStep(
      aProgress, RefusalReason::DeadlinePassed, "no time is left after " + aEndpoint + ": " + aResult.detail);
  if (!TakeRetry(aBudget))
    return RefuseStep(
      aProgress, RefusalReason::AttemptsFailed, "the retry budget is spent; " + aEndpoint + ": " + aResult.detail);
  return { StepKind::RunStage, {} };
}

}
