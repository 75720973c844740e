#pragma once

#include "Answer.h"
#include <set>

namespace Hornbeam {

/// How one attempt at one stage ended.
enum class AttemptEnd
{
  Succeeded,
  /// No byte of the attempt has left this front.
  NotSent,
  /// The endpoint refused in its answer to this very attempt, and says that it has not run it.
  Declined,
  /// The endpoint may have run it; its answer is missing, cut off or another attempt's.
  Lost,
};

struct AttemptResult
{
  AttemptEnd end{ AttemptEnd::Lost };
  std::string output;
  std::string detail;
};

/// One request on its way through the stages of its pipeline.
struct RequestProgress
{
  RequestId id{ 0 };
  std::string account;
  PipelineRow pipeline;
  MonotonicTime deadline{};
  std::size_t stage{ 0 };
  /// Counts the attempts of the present stage.
  int attempt{ 0 };
  /// The input of the present stage: the caller's, then each stage's output.
  std::string input;
  /// Tokens of the present stage that have been passed on; another attempt resumes behind them.
  std::vector<std::string> tokens;
  /// Endpoints that failed at the present stage.
  std::set<std::string> tried;
  /// Whether any byte of the request has gone to an endpoint.
  bool sent{ false };
  std::vector<StageRecord> stages;
};

enum class StepKind
{
  /// Queue the present stage for an endpoint.
  RunStage,
  Complete,
  Refuse,
};

struct Step
{
  StepKind kind{ StepKind::RunStage };
  Refusal refusal;
};

RunState
RunStateOf(RequestProgress const& aProgress);

/// Names an attempt; endpoints repeat it in every answer.
std::string
AttemptName(RequestProgress const& aProgress, std::string const& aFront, Incarnation aIncarnation);

/// A new attempt at the present stage is about to be sent to aEndpoint.
void
OnAttemptStarted(RequestProgress& aProgress, std::string const& aEndpoint);

/// The attempt ended; says what comes next. A non-repeatable stage is tried again only if nothing was sent.
Step
OnAttemptEnded(RequestProgress& aProgress,
               std::string const& aEndpoint,
               AttemptResult const& aResult,
               Duration aDuration,
               RetryBudget& aBudget,
               MonotonicTime aNow);

/// The request cannot go on for a reason other than an attempt.
Refusal
RefuseProgress(RequestProgress const& aProgress, RefusalReason aReason, std::string aDetail, Duration aRetryAfter);

}
