#include "StageMessages.h"
#include <nlohmann/json.hpp>

namespace Hornbeam {

using nlohmann::json;

std::string
EncodeStageCall(StageCall const& aCall)
{
  json const call = { { "attempt", aCall.attempt },
                      { "stage", aCall.stage },
                      { "input", aCall.input },
                      { "deadline_ms", Milliseconds(aCall.timeLeft) },
                      { "resume_from", aCall.resumeFrom } };
  return call.dump();
}

static void
FeedEnd(StageResponse& aResponse, json const& aLine)
{
  if (aLine.contains("declined")) {
    aResponse.declined = true;
    aResponse.output = aLine.value("declined", "");
    aResponse.finished = true;
    return;
  }
  auto const tokens = aLine.value("tokens", std::size_t(0));
  if (tokens != aResponse.nextToken) {
    aResponse.error =
      "it ended with " + std::to_string(tokens) + " tokens, of which " + std::to_string(aResponse.nextToken) + " came";
    return;
  }
  aResponse.output = aLine.value("output", "");
  aResponse.finished = true;
}

static void
FeedLine(StageResponse& aResponse, std::string const& aText, std::vector<std::string>& aTokens)
{
  auto const line = json::parse(aText, nullptr, false);
  if (!line.is_object() || !line.contains("attempt") || !line["attempt"].is_string()) {
    aResponse.error = "a line is no JSON object with an attempt";
    return;
  }
  if (line["attempt"] != aResponse.attempt) {
    aResponse.error = "it answers another attempt, " + line["attempt"].get<std::string>();
    return;
  }
  if (aResponse.finished) {
    aResponse.error = "a line follows the end";
    return;
  }
  bool const wellTyped = (!line.contains("index") || line["index"].is_number_unsigned()) &&
                         (!line.contains("token") || line["token"].is_string()) &&
                         (!line.contains("output") || line["output"].is_string()) &&
                         (!line.contains("declined") || line["declined"].is_string()) &&
                         (!line.contains("tokens") || line["tokens"].is_number_unsigned());
  if (!wellTyped) {
    aResponse.error = "a line has values of the wrong type";
    return;
  }
  if (!line.contains("token")) {
    FeedEnd(aResponse, line);
    return;
  }
  auto const index = line.value("index", std::size_t(0));
  if (index < aResponse.nextToken)
    return;
  if (index > aResponse.nextToken) {
    aResponse.error = "token " + std::to_string(aResponse.nextToken) + " is missing";
    return;
  }
  ++aResponse.nextToken;
  aTokens.push_back(line["token"].get<std::string>());
}

std::vector<std::string>
FeedResponse(StageResponse& aResponse, std::string_view aChunk)
{
  std::vector<std::string> tokens;
  aResponse.partialLine += aChunk;
  std::size_t begin = 0;
  while (!aResponse.error) {
    auto const end = aResponse.partialLine.find('\n', begin);
    if (end == std::string::npos)
      break;
    if (end > begin)
      FeedLine(aResponse, aResponse.partialLine.substr(begin, end - begin), tokens);
    begin = end + 1;
  }
  aResponse.partialLine.erase(0, begin);
  return tokens;
}

AttemptResult
ResultOf(StageResponse const& aResponse)
{
  if (aResponse.error)
    return { AttemptEnd::Lost, "", "the response is not this attempt's: " + *aResponse.error };
  if (!aResponse.finished)
    return { AttemptEnd::Lost, "", "the response was cut off" };
  if (aResponse.declined)
    return { AttemptEnd::Declined, "", "declined: " + aResponse.output };
  return { AttemptEnd::Succeeded, aResponse.output, "" };
}

}
