#pragma once

#include <LibRouting/LibRouting.h>
#include <string>
#include <vector>

namespace Hornbeam {

/// Whether a refused request may have been executed.
enum class RunState
{
  /// No byte of the request was sent to an endpoint, and none will be.
  NotRun,
  MayHaveRun,
};

enum class RefusalReason
{
  BadRequest,
  UnknownPipeline,
  UnknownAccount,
  /// The account has reached its limit of concurrent requests.
  AccountLimit,
  /// The request is predicted to miss its deadline.
  DeadlineUnreachable,
  DeadlinePassed,
  /// A stage has no available endpoint.
  NoEndpoint,
  /// This front holds no lease and accepts no new work.
  NoLease,
  /// This front is stopping and would not complete the request.
  FrontStopping,
  /// Attempts failed, and the retry budget does not allow another.
  AttemptsFailed,
  /// The response to a non-repeatable call was lost.
  AnswerLost,
  KeyExpired,
  /// The front named in the idempotency key has terminated or does not respond.
  KeyHolderGone,
  KeyReused,
};

/// How one stage was executed, for the response and the log.
struct StageRecord
{
  std::string pool;
  std::string endpoint;
  int attempts{ 0 };
  Duration duration{ 0 };
};

struct Refusal
{
  RefusalReason reason{ RefusalReason::BadRequest };
  RunState run{ RunState::NotRun };
  std::string detail;
  /// How long the caller should wait before a retry.
  Duration retryAfter{ 0 };
};

/// The outcome of a request: a complete response, or a refusal.
struct PipelineResponse
{
  std::optional<Refusal> refusal;
  std::string output;
  std::size_t tokens{ 0 };
  std::vector<StageRecord> stages;
};

/// Returns "not-run" or "may-have-run".
char const*
ToString(RunState aRun);

/// Returns the reason as sent to callers, such as "account-limit".
char const*
ToString(RefusalReason aReason);

/// Returns the HTTP status for a refusal.
int
StatusOf(RefusalReason aReason);

/// Encodes the response as JSON for callers and other fronts; a refusal is encoded as problem details (RFC 9457).
std::string
EncodePipelineResponse(PipelineResponse const& aResponse);

std::optional<PipelineResponse>
DecodePipelineResponse(std::string const& aText, LastReason& aReason);

}
