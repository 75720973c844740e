#pragma once

#include "RequestProgress.h"

namespace Hornbeam {

/// The message that sends one attempt to an endpoint.
struct StageCall
{
  std::string attempt;
  std::string stage;
  std::string input;
  Duration timeLeft{ 0 };
  /// Number of tokens delivered by earlier attempts.
  std::size_t resumeFrom{ 0 };
};

/// Encodes {"attempt":"f.1/2/3/1","stage":"generate","input":"...","deadline_ms":900,"resume_from":0}
std::string
EncodeStageCall(StageCall const& aCall);

/// Incremental parser of an endpoint's response. A response consists of JSON lines: any number of
/// {"attempt":A,"index":N,"token":T}, then one {"attempt":A,"done":true,"output":O,"tokens":N} or
/// {"attempt":A,"declined":"why"}. The attempt must be the one that was sent.
struct StageResponse
{
  std::string attempt;
  /// Index of the next token to deliver.
  std::size_t nextToken{ 0 };
  std::string partialLine;
  bool finished{ false };
  bool declined{ false };
  std::string output;
  /// Set if the response is not a valid and complete response to this attempt.
  std::optional<std::string> error;
};

/// Parses the next chunk of the response and returns the new tokens in order. Duplicate tokens are dropped; a gap, a
/// line of another attempt or any data after the final line is an error.
std::vector<std::string>
FeedResponse(StageResponse& aResponse, std::string_view aChunk);

/// Returns the result of the attempt once the response has ended.
AttemptResult
ResultOf(StageResponse const& aResponse);

}
