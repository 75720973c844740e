/// stand-in-endpoint: simulates engines and plain services over HTTP for tests: cold start, batching, crashes under
/// overload, a delayed report, duplicated tokens, and responses with the identifier of another attempt. One process can
/// serve several addresses.

#include "EndpointModel.h"
#include <CLI/CLI.hpp>
#include <LibHttp/LibHttp.h>
#include <nlohmann/json.hpp>

using namespace Hornbeam;
using nlohmann::json;

namespace {

/// Delay after which a measured load appears in the report.
constexpr Duration kReportLag = 1s;

class StandInEndpoint
{
public:
  StandInEndpoint(Clock& aClock, EndpointModelSettings aSettings)
    : clock(aClock)
    , model(aSettings)
  {
    this->UpdateReport();
  }

  void Handle(HttpRequest const& aRequest, HttpResponder aResponder)
  {
    if (aRequest.path == "/v1/report")
      aResponder.Respond({ 200, "application/json", this->report, "" });
    else if (aRequest.path == "/v1/run")
      this->Run(aRequest, aResponder);
    else if (aRequest.path == "/fault")
      this->SetFault(aRequest, aResponder);
    else if (aRequest.path == "/ledger")
      aResponder.Respond({ 200, "application/json", this->LedgerJson(), "" });
    else
      aResponder.Respond({ 404, "text/plain", "", "" });
  }

private:
  struct Call
  {
    std::string attempt;
    std::string stage;
    std::string input;
    std::size_t nextToken{ 0 };
    std::uint64_t incarnation{ 0 };
    HttpResponder responder;
    bool ended{ false };
  };

  void UpdateReport()
  {
    json const now = { { "incarnation", this->model.incarnation }, { "running", this->model.running } };
    this->clock.Schedule(kReportLag, [this, text = now.dump()] { this->report = text; });
    if (this->report.empty())
      this->report = now.dump();
    this->clock.Schedule(100ms, [this] { this->UpdateReport(); });
  }

  void SetFault(HttpRequest const& aRequest, HttpResponder const& aResponder)
  {
    auto const body = json::parse(aRequest.body, nullptr, false);
    if (!body.is_object()) {
      aResponder.Respond({ 400, "text/plain", "a JSON object\n", "" });
      return;
    }
    this->model.slowness = body.value("slowness", this->model.slowness);
    this->duplicateTokens = body.value("duplicate_tokens", this->duplicateTokens);
    this->responsesToMixUp = body.value("mix_ups", this->responsesToMixUp);
    this->responsesToLose = body.value("lose_answers", this->responsesToLose);
    if (body.value("turn_cold", false))
      this->model.MakeCold();
    if (body.value("restart", false))
      this->model.Restart();
    aResponder.Respond({ 200, "application/json", this->LedgerJson(), "" });
  }

  /// The state that tests check, including how often each input has run, which verifies at-most-once execution.
  std::string LedgerJson() const
  {
    json const ledger = { { "runs", this->runs },
                          { "falls", this->model.crashes },
                          { "cold_overloads", this->model.coldOverloads },
                          { "most_running", this->model.mostRunning },
                          { "warm", this->model.IsWarm() } };
    return ledger.dump();
  }

  void Run(HttpRequest const& aRequest, HttpResponder const& aResponder)
  {
    auto const body = json::parse(aRequest.body, nullptr, false);
    if (!body.is_object()) {
      aResponder.Respond({ 400, "text/plain", "", "" });
      return;
    }
    auto const call = std::make_shared<Call>(Call{ body.value("attempt", ""),
                                                   body.value("stage", ""),
                                                   body.value("input", ""),
                                                   body.value("resume_from", std::size_t(0)),
                                                   this->model.incarnation,
                                                   aResponder });
    ++this->runs[call->input];
    auto const begun = this->model.Begin();
    if (begun.crashed) {
      // The lost calls of the previous incarnation close their connections at their next scheduled step.
      aResponder.BeginStream("application/x-ndjson");
      aResponder.EndStream();
      return;
    }
    aResponder.OnCallerDisconnected([this, call] {
      if (!std::exchange(call->ended, true))
        this->model.Cancel(call->incarnation);
    });
    aResponder.BeginStream("application/x-ndjson");
    this->ScheduleNext(call, begun.duration);
  }

  void ScheduleNext(std::shared_ptr<Call> const& aCall, Duration aDuration)
  {
    auto const total = static_cast<std::size_t>(this->model.settings.tokens);
    if (aCall->nextToken >= total) {
      auto const rest = total == 0 ? aDuration : aDuration / static_cast<int>(total + 1);
      this->clock.Schedule(rest, [this, aCall] { this->End(aCall); });
      return;
    }
    this->clock.Schedule(aDuration / static_cast<int>(total + 1), [this, aCall, aDuration] {
      if (!this->IsAlive(aCall))
        return;
      this->SendToken(aCall);
      this->ScheduleNext(aCall, aDuration);
    });
  }

  bool IsAlive(std::shared_ptr<Call> const& aCall)
  {
    if (aCall->ended)
      return false;
    if (aCall->incarnation == this->model.incarnation)
      return true;
    aCall->ended = true;
    aCall->responder.EndStream();
    return false;
  }

  void SendToken(std::shared_ptr<Call> const& aCall)
  {
    auto const index = aCall->nextToken++;
    json const line = { { "attempt", aCall->attempt },
                        { "index", index },
                        { "token", StageToken(aCall->input, index) } };
    aCall->responder.SendChunk(line.dump() + "\n");
    if (this->duplicateTokens)
      aCall->responder.SendChunk(line.dump() + "\n");
  }

  void End(std::shared_ptr<Call> const& aCall)
  {
    if (!this->IsAlive(aCall))
      return;
    aCall->ended = true;
    this->model.End(aCall->incarnation);
    auto attempt = aCall->attempt;
    if (this->responsesToMixUp > 0) {
      --this->responsesToMixUp;
      attempt = "another/attempt";
    }
    json const line = { { "attempt", attempt },
                        { "done", true },
                        { "output", StageOutput(aCall->stage, aCall->input) },
                        { "tokens", this->model.settings.tokens } };
    if (this->responsesToLose > 0)
      --this->responsesToLose;
    else
      aCall->responder.SendChunk(line.dump() + "\n");
    aCall->responder.EndStream();
  }

  Clock& clock;
  EndpointModel model;
  std::string report;
  std::map<std::string, int> runs;
  bool duplicateTokens{ false };
  int responsesToMixUp{ 0 };
  int responsesToLose{ 0 };
};

}

int
main(int aCount, char** aArguments)
{
  CLI::App application{ "stand-in-endpoint: simulates engines and services for tests" };
  std::vector<std::string> addresses;
  EndpointModelSettings settings;
  std::int64_t serviceMs = 50;
  application.add_option("--address", addresses, "Address to listen on; can be given several times")->required();
  application.add_option("--service-ms", serviceMs, "Duration of one call");
  application.add_option("--tokens", settings.tokens, "Tokens of each response");
  application.add_option("--warm-capacity", settings.warmCapacity, "Concurrent calls while warm");
  application.add_option("--cold-capacity", settings.coldCapacity, "Concurrent calls while cold");
  application.add_option("--cold-factor", settings.coldFactor, "Factor by which calls are slower while cold");
  application.add_option("--calls-to-warm", settings.callsToWarm, "Completed calls until the endpoint is warm");
  application.add_flag("--starts-warm", settings.startsWarm, "Start warm");
  CLI11_PARSE(application, aCount, aArguments);
  settings.service = std::chrono::milliseconds(serviceMs);
  StartLogging(aArguments[0]);
  Clock clock(ClockMode::Running);
  EventLoop loop(clock);
  HttpContext http(loop);
  std::vector<std::unique_ptr<StandInEndpoint>> endpoints;
  std::vector<std::unique_ptr<HttpServer>> servers;
  for (auto const& address : addresses) {
    endpoints.push_back(std::make_unique<StandInEndpoint>(clock, settings));
    auto* const endpoint = endpoints.back().get();
    servers.push_back(std::make_unique<HttpServer>(
      http,
      address,
      [endpoint](HttpRequest const& aRequest, HttpResponder aResponder) {
        endpoint->Handle(aRequest, std::move(aResponder));
      },
      1024 * 1024));
    if (!servers.back()->IsListening()) {
      LOG(ERROR) << "stand-in: cannot listen on " << address << ".";
      return 1;
    }
  }
  loop.Run();
}
