#include "PipelineResponse.h"
#include <array>
#include <nlohmann/json.hpp>

namespace Hornbeam {

using nlohmann::json;

struct ReasonEntry
{
  RefusalReason reason;
  char const* name;
  int status;
};

static constexpr std::array kReasons = {
  ReasonEntry{ RefusalReason::BadRequest, "bad-request", 400 },
  ReasonEntry{ RefusalReason::UnknownPipeline, "unknown-pipeline", 404 },
  ReasonEntry{ RefusalReason::UnknownAccount, "unknown-account", 403 },
  ReasonEntry{ RefusalReason::AccountLimit, "account-limit", 429 },
  ReasonEntry{ RefusalReason::DeadlineUnreachable, "deadline-unreachable", 503 },
  ReasonEntry{ RefusalReason::DeadlinePassed, "deadline-passed", 504 },
  ReasonEntry{ RefusalReason::NoEndpoint, "no-endpoint", 503 },
  ReasonEntry{ RefusalReason::NoLease, "no-lease", 503 },
  ReasonEntry{ RefusalReason::FrontStopping, "front-stopping", 503 },
  ReasonEntry{ RefusalReason::AttemptsFailed, "attempts-failed", 502 },
  ReasonEntry{ RefusalReason::AnswerLost, "answer-lost", 502 },
  ReasonEntry{ RefusalReason::KeyExpired, "key-expired", 410 },
  ReasonEntry{ RefusalReason::KeyHolderGone, "key-holder-gone", 502 },
  ReasonEntry{ RefusalReason::KeyReused, "key-reused", 422 },
};

static ReasonEntry const&
EntryOf(RefusalReason aReason)
{
  for (auto const& entry : kReasons) {
    if (entry.reason == aReason)
      return entry;
  }
  VerifyNotReached();
}

char const*
ToString(RunState aRun)
{
  return aRun == RunState::NotRun ? "not-run" : "may-have-run";
}

char const*
ToString(RefusalReason aReason)
{
  return EntryOf(aReason).name;
}

int
StatusOf(RefusalReason aReason)
{
  return EntryOf(aReason).status;
}

static json
EncodeRefusal(Refusal const& aRefusal)
{
  auto const& entry = EntryOf(aRefusal.reason);
  return { { "type", std::string("urn:hornbeamfront:") + entry.name },
           { "title", entry.name },
           { "status", entry.status },
           { "detail", aRefusal.detail },
           { "reason", entry.name },
           { "run", ToString(aRefusal.run) },
           { "retry_after_ms", Milliseconds(aRefusal.retryAfter) } };
}

std::string
EncodePipelineResponse(PipelineResponse const& aResponse)
{
  if (aResponse.refusal)
    return EncodeRefusal(*aResponse.refusal).dump();
  json stages = json::array();
  for (auto const& stage : aResponse.stages) {
    stages.push_back({ { "pool", stage.pool },
                       { "endpoint", stage.endpoint },
                       { "attempts", stage.attempts },
                       { "ms", Milliseconds(stage.duration) } });
  }
  return json{ { "output", aResponse.output }, { "tokens", aResponse.tokens }, { "stages", stages } }.dump();
}

static std::optional<PipelineResponse>
DecodeRefusal(json const& aBody, LastReason& aReason)
{
  auto const name = aBody.value("reason", "");
  for (auto const& entry : kReasons) {
    if (name != entry.name)
      continue;
    auto const run = aBody.value("run", "") == "not-run" ? RunState::NotRun : RunState::MayHaveRun;
    auto const retryAfter = std::chrono::milliseconds(aBody.value("retry_after_ms", std::int64_t(0)));
    PipelineResponse response;
    response.refusal = { entry.reason, run, aBody.value("detail", ""), retryAfter };
    return response;
  }
  aReason = { ReasonCode::InvalidInput, "unknown refusal reason '" + name + "'" };
  return std::nullopt;
}

std::optional<PipelineResponse>
DecodePipelineResponse(std::string const& aText, LastReason& aReason)
{
  auto const body = json::parse(aText, nullptr, false);
  if (!body.is_object()) {
    aReason = { ReasonCode::InvalidInput, "the response must be a JSON object" };
    return std::nullopt;
  }
  if (body.contains("reason"))
    return DecodeRefusal(body, aReason);
  PipelineResponse response;
  response.output = body.value("output", "");
  response.tokens = body.value("tokens", std::size_t(0));
  for (auto const& stage : body.value("stages", json::array())) {
    response.stages.push_back({ stage.value("pool", ""),
                                stage.value("endpoint", ""),
                                stage.value("attempts", 0),
                                std::chrono::milliseconds(stage.value("ms", std::int64_t(0))) });
  }
  return response;
}

}
