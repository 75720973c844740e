#pragma once

#include <LibRouting/LibRouting.h>
#include <string>
#include <vector>

namespace Hornbeam {

/// Whether a refused request may have had an effect.
enum class RunState
{
  /// No byte of the request has gone to an endpoint, and none will.
  NotRun,
  MayHaveRun,
};

enum class RefusalReason
{
  BadRequest,
  UnknownPipeline,
  UnknownAccount,
  /// The account's concurrent requests are used up.
  AccountLimit,
  /// The deadline cannot be met, as far as can be predicted.
  DeadlineUnreachable,
  DeadlinePassed,
  /// No endpoint of a stage can take work.
  NoEndpoint,
  /// This front holds no lease and takes no new work.
  NoLease,
  /// Attempts failed, and the retry budget or the deadline allows no more.
  AttemptsFailed,
  /// The answer to a non-repeatable call was lost.
  AnswerLost,
  KeyExpired,
  /// The front that the key names is gone or does not answer.
  KeyHolderGone,
  KeyReused,
};

/// How one stage was served, for the answer and the log.
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
  /// When trying again may succeed.
  Duration retryAfter{ 0 };
};

/// What one request ends with: a whole answer, or a refusal.
struct Answer
{
  std::optional<Refusal> refusal;
  std::string output;
  std::size_t tokens{ 0 };
  std::vector<StageRecord> stages;
};

/// "not-run" or "may-have-run".
char const*
ToString(RunState aRun);

/// The reason as callers read it, such as "account-limit".
char const*
ToString(RefusalReason aReason);

/// The HTTP status of a refusal.
int
StatusOf(RefusalReason aReason);

/// The answer as JSON for callers and other fronts; a refusal as problem details.
std::string
EncodeAnswer(Answer const& aAnswer);

std::optional<Answer>
DecodeAnswer(std::string const& aText, LastReason& aReason);

}
