#include "CallerService.h"
#include <nlohmann/json.hpp>

namespace Hornbeam {

using nlohmann::json;

static constexpr std::string_view kPipelinePrefix = "/v1/pipelines/";
static constexpr std::string_view kRequestSuffix = "/requests";
static constexpr char const* kProblemType = "application/problem+json";

CallerService::CallerService(Kernel& aKernel)
  : clock(aKernel.Find<Clock>(ServiceName::kClock))
  , membership(aKernel.Find<MembershipService>(ServiceName::kMembership))
  , requests(aKernel.Find<RequestService>(ServiceName::kRequests))
  , settings(aKernel.Find<FrontSettings const>(ServiceName::kSettings))
{
}

static HttpResponse
MakeHttpResponse(PipelineResponse const& aResponse)
{
  HttpResponse response;
  response.body = EncodePipelineResponse(aResponse);
  if (aResponse.refusal) {
    response.status = StatusOf(aResponse.refusal->reason);
    response.contentType = kProblemType;
  }
  return response;
}

static HttpResponse
BadRequest(std::string aDetail)
{
  PipelineResponse refused;
  refused.refusal = { RefusalReason::BadRequest, RunState::NotRun, std::move(aDetail), 0s };
  return MakeHttpResponse(refused);
}

/// Checks the type of one optional member of the body. A missing member is valid.
static bool
CheckMember(json const& aBody, char const* aName, bool aIsRightType, char const* aAllowed, LastReason& aReason)
{
  if (!aBody.contains(aName) || aIsRightType)
    return true;
  aReason = { ReasonCode::InvalidInput, std::string("'") + aName + "' must be " + aAllowed };
  return false;
}

std::optional<CallerRequest>
ParseCallerRequest(std::string const& aPipeline, std::string const& aBody, LastReason& aReason)
{
  auto const body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    aReason = { ReasonCode::InvalidInput, "the body must be a JSON object" };
    return std::nullopt;
  }
  for (auto const& [name, value] : body.items()) {
    bool const known =
      name == "input" || name == "account" || name == "deadline_ms" || name == "key" || name == "prefix";
    if (known)
      continue;
    aReason = { ReasonCode::InvalidInput,
                "unknown member '" + name + "'; allowed: input, account, deadline_ms, key, prefix" };
    return std::nullopt;
  }
  auto const isString = [&](char const* aName) { return body.contains(aName) && body[aName].is_string(); };
  if (!isString("input") || !isString("account")) {
    aReason = { ReasonCode::InvalidInput, "'input' and 'account' are required, and must be texts" };
    return std::nullopt;
  }
  bool const hasDeadline = body.contains("deadline_ms") && body["deadline_ms"].is_number_unsigned() &&
                           body["deadline_ms"].get<std::uint64_t>() < 1'000'000'000;
  if (!CheckMember(body, "key", isString("key"), "a text", aReason) ||
      !CheckMember(body, "prefix", isString("prefix"), "a text", aReason) ||
      !CheckMember(body, "deadline_ms", hasDeadline, "a whole number of milliseconds", aReason))
    return std::nullopt;
  CallerRequest request;
  request.pipeline = aPipeline;
  request.account = body["account"].get<std::string>();
  request.input = body["input"].get<std::string>();
  request.prefix = body.value("prefix", "");
  request.key = body.value("key", "");
  if (hasDeadline)
    request.deadline = std::chrono::milliseconds(body["deadline_ms"].get<std::int64_t>());
  request.fingerprint = StableHash(aPipeline + "\n" + request.account + "\n" + request.input);
  request.body = aBody;
  return request;
}

HttpResponse
CallerService::Entry()
{
  auto const members = this->membership.AvailableMembers();
  HttpResponse response;
  if (members.empty()) {
    PipelineResponse refused;
    refused.refusal = { RefusalReason::NoLease, RunState::NotRun, "no front is known to serve", 1s };
    return MakeHttpResponse(refused);
  }
  auto const& chosen = members[this->roundRobinIndex++ % members.size()];
  auto const keyExpiry = this->clock.WallNow() + this->settings.callers.keyValidity;
  json alternatives = json::array();
  for (auto const& member : members)
    alternatives.push_back(member.callerAddress);
  json const body = { { "address", chosen.callerAddress },
                      { "keep_ms", Milliseconds(this->settings.callers.keepAddress) },
                      { "key_prefix", EncodeKeyPrefix(chosen.name, chosen.incarnation, keyExpiry) },
                      { "key_validity_ms", Milliseconds(this->settings.callers.keyValidity) },
                      { "alternatives", alternatives } };
  response.body = body.dump();
  return response;
}

void
CallerService::Handle(HttpRequest const& aRequest, HttpResponder aResponder)
{
  if (aRequest.path == "/v1/entry" && aRequest.method == HttpMethod::Get) {
    aResponder.Respond(this->Entry());
    return;
  }
  std::string_view path(aRequest.path);
  bool const isRequest = path.starts_with(kPipelinePrefix) && path.ends_with(kRequestSuffix) &&
                         path.size() > kPipelinePrefix.size() + kRequestSuffix.size();
  if (!isRequest) {
    auto response = BadRequest("there is GET /v1/entry and POST /v1/pipelines/{name}/requests");
    response.status = 404;
    aResponder.Respond(std::move(response));
    return;
  }
  if (aRequest.method != HttpMethod::Post) {
    auto response = BadRequest("requests are made with POST");
    response.status = 405;
    aResponder.Respond(std::move(response));
    return;
  }
  path.remove_prefix(kPipelinePrefix.size());
  path.remove_suffix(kRequestSuffix.size());
  this->HandlePipelineRequest(aRequest, std::string(path), std::move(aResponder));
}

void
CallerService::HandlePipelineRequest(HttpRequest const& aRequest,
                                     std::string const& aPipeline,
                                     HttpResponder aResponder)
{
  LastReason reason;
  auto const request = ParseCallerRequest(aPipeline, aRequest.body, reason);
  if (!request) {
    aResponder.Respond(BadRequest(reason.detail));
    return;
  }
  bool const streamed = aRequest.headers.accept.find("text/event-stream") != std::string::npos;
  if (streamed)
    this->RunStreamed(*request, aResponder);
  else
    this->RunBuffered(*request, aResponder);
}

void
CallerService::RunBuffered(CallerRequest const& aRequest, HttpResponder const& aResponder)
{
  ResponseSink sink;
  sink.onResponse = [aResponder](PipelineResponse const& aResponse) {
    aResponder.Respond(MakeHttpResponse(aResponse));
  };
  auto const id = this->requests.Submit(aRequest, std::move(sink));
  if (id != 0)
    aResponder.OnCallerDisconnected([this, id] { this->requests.HandleDisconnect(id); });
}

static std::string
ServerSentEvent(char const* aName, std::string const& aData)
{
  return std::string("event: ") + aName + "\ndata: " + aData + "\n\n";
}

void
CallerService::RunStreamed(CallerRequest const& aRequest, HttpResponder const& aResponder)
{
  // The stream starts with its first event, so that a request refused before that gets an ordinary HTTP response.
  auto const started = std::make_shared<bool>(false);
  auto const startStream = [aResponder, started] {
    if (!std::exchange(*started, true))
      aResponder.BeginStream("text/event-stream");
  };
  auto const index = std::make_shared<std::size_t>(0);
  ResponseSink sink;
  sink.onToken = [aResponder, startStream, index](std::string const& aToken) {
    startStream();
    json const data = { { "index", (*index)++ }, { "token", aToken } };
    aResponder.SendChunk(ServerSentEvent("token", data.dump()));
  };
  sink.onResponse = [aResponder, startStream, started](PipelineResponse const& aResponse) {
    if (aResponse.refusal && !*started) {
      aResponder.Respond(MakeHttpResponse(aResponse));
      return;
    }
    startStream();
    aResponder.SendChunk(ServerSentEvent(aResponse.refusal ? "refused" : "done", EncodePipelineResponse(aResponse)));
    aResponder.EndStream();
  };
  auto const id = this->requests.Submit(aRequest, std::move(sink));
  if (id != 0)
    aResponder.OnCallerDisconnected([this, id] { this->requests.HandleDisconnect(id); });
}

void
CallerService::HandleForwarded(ForwardedRequest const& aForwarded, std::function<void(std::string)> aDone)
{
  LastReason reason;
  auto request = ParseCallerRequest(aForwarded.pipeline, aForwarded.body, reason);
  if (!request) {
    aDone(BadRequest(reason.detail).body);
    return;
  }
  request->forwarded = true;
  ResponseSink sink;
  sink.onResponse = [aDone = std::move(aDone)](PipelineResponse const& aResponse) {
    aDone(EncodePipelineResponse(aResponse));
  };
  this->requests.Submit(*request, std::move(sink));
}

}
