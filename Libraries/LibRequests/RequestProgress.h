#pragma once

#include "PipelineResponse.h"
#include <set>

namespace Hornbeam {

/// How one attempt at one stage ended.
enum class AttemptEnd
{
  Succeeded,
  /// No byte of the attempt was sent.
  NotSent,
  /// The endpoint refused this attempt in its response and states that it has not run it.
  Declined,
  /// The endpoint may have run it; its response is missing, truncated or belongs to another attempt.
  Lost,
};

struct AttemptResult
{
  AttemptEnd end{ AttemptEnd::Lost };
  std::string output;
  std::string detail;
};

/// The progress of one request through the stages of its pipeline.
struct RequestProgress
{
  RequestId id{ 0 };
  std::string account;
  PipelineRow pipeline;
  MonotonicTime deadline{};
  std::size_t stage{ 0 };
  /// Number of attempts at the current stage.
  int attempt{ 0 };
  /// The input of the current stage: the caller's input for the first stage, then the output of the previous one.
  std::string input;
  /// Tokens of the current stage that were already delivered; a retry resumes after them.
  std::vector<std::string> tokens;
  /// Endpoints that failed at the current stage.
  std::set<std::string> failedEndpoints;
  /// Whether any byte of the request was sent to an endpoint.
  bool sent{ false };
  std::vector<StageRecord> stages;
};

enum class StepKind
{
  /// Queue the current stage for an endpoint.
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

/// Returns the identifier of the current attempt; endpoints include it in every line of their response.
std::string
AttemptName(RequestProgress const& aProgress, std::string const& aFront, Incarnation aIncarnation);

/// Records a new attempt at the current stage, which is about to be sent to aEndpoint.
void
OnAttemptStarted(RequestProgress& aProgress, std::string const& aEndpoint);

/// Records the result of an attempt and returns the next step. A non-repeatable stage is retried only if nothing was
/// sent.
Step
OnAttemptEnded(RequestProgress& aProgress,
               std::string const& aEndpoint,
               AttemptResult const& aResult,
               Duration aDuration,
               RetryBudget& aBudget,
               MonotonicTime aNow);

/// Creates a refusal with the run state of the request.
Refusal
MakeRefusal(RequestProgress const& aProgress, RefusalReason aReason, std::string aDetail, Duration aRetryAfter);

}
