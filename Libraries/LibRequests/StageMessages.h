#pragma once

#include "RequestProgress.h"

namespace Hornbeam {

/// One attempt as it is sent to an endpoint.
struct StageCall
{
  std::string attempt;
  std::string stage;
  std::string input;
  Duration timeLeft{ 0 };
  /// Tokens that an earlier attempt has delivered.
  std::size_t resumeFrom{ 0 };
};

/// {"attempt":"f.1/2/3/1","stage":"generate","input":"...","deadline_ms":900,"resume_from":0}
std::string
EncodeStageCall(StageCall const& aCall);

/// What has come of an endpoint's response so far. A response is JSON lines: any number of
/// {"attempt":A,"index":N,"token":T}, then one {"attempt":A,"done":true,"output":O,"tokens":N} or
/// {"attempt":A,"declined":"why"}. The attempt must be the one that was sent.
struct StageResponse
{
  std::string attempt;
  /// The next token that has not been delivered.
  std::size_t nextToken{ 0 };
  std::string partialLine;
  bool finished{ false };
  bool declined{ false };
  std::string output;
  /// Why the response cannot be this attempt's whole answer.
  std::optional<std::string> fault;
};

/// Takes in one piece of the response and returns the new tokens in order. Repeated tokens are dropped; a gap, another
/// attempt's line or anything after the end is a fault.
std::vector<std::string>
FeedResponse(StageResponse& aResponse, std::string_view aPiece);

/// The result of the attempt once the response has ended.
AttemptResult
ResultOf(StageResponse const& aResponse);

}
