/// stand-in-endpoint: engines and plain services over HTTP, for tests: cold start, batching, falling over, a lagging
/// report, duplicated tokens, and answers of other attempts. One process serves several addresses.

#include "EndpointModel.h"
#include <CLI/CLI.hpp>
#include <LibHttp/LibHttp.h>
#include <nlohmann/json.hpp>

using namespace Hornbeam;
using nlohmann::json;

namespace {

/// How long a report lags behind.
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
    bool gone{ false };
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
    this->mixUps = body.value("mix_ups", this->mixUps);
    this->loseAnswers = body.value("lose_answers", this->loseAnswers);
    if (body.value("turn_cold", false))
      this->model.TurnCold();
    if (body.value("restart", false))
      this->model.Restart();
    aResponder.Respond({ 200, "application/json", this->LedgerJson(), "" });
  }

  /// How often each input has run, for the proof of at most once.
  std::string LedgerJson() const
  {
    json const ledger = { { "runs", this->runs },
                          { "falls", this->model.falls },
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
    if (begun.fellOver) {
      // Calls of the lost incarnation end by cutting their connections when their time comes.
      aResponder.BeginStream("application/x-ndjson");
      aResponder.EndStream();
      return;
    }
    aResponder.OnCallerGone([this, call] {
      if (!std::exchange(call->gone, true))
        this->model.Cancel(call->incarnation);
    });
    aResponder.BeginStream("application/x-ndjson");
    this->Continue(call, begun.duration);
  }

  void Continue(std::shared_ptr<Call> const& aCall, Duration aDuration)
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
      this->Continue(aCall, aDuration);
    });
  }

  bool IsAlive(std::shared_ptr<Call> const& aCall)
  {
    if (aCall->gone)
      return false;
    if (aCall->incarnation == this->model.incarnation)
      return true;
    aCall->gone = true;
    aCall->responder.EndStream();
    return false;
  }

  void SendToken(std::shared_ptr<Call> const& aCall)
  {
    auto const index = aCall->nextToken++;
    json const line = { { "attempt", aCall->attempt },
                        { "index", index },
                        { "token", StageToken(aCall->input, index) } };
    aCall->responder.SendPiece(line.dump() + "\n");
    if (this->duplicateTokens)
      aCall->responder.SendPiece(line.dump() + "\n");
  }

  void End(std::shared_ptr<Call> const& aCall)
  {
    if (!this->IsAlive(aCall))
      return;
    aCall->gone = true;
    this->model.End(aCall->incarnation);
    auto attempt = aCall->attempt;
    if (this->mixUps > 0) {
      --this->mixUps;
      attempt = "another/attempt";
    }
    json const line = { { "attempt", attempt },
                        { "done", true },
                        { "output", StageOutput(aCall->stage, aCall->input) },
                        { "tokens", this->model.settings.tokens } };
    if (this->loseAnswers > 0)
      --this->loseAnswers;
    else
      aCall->responder.SendPiece(line.dump() + "\n");
    aCall->responder.EndStream();
  }

  Clock& clock;
  EndpointModel model;
  std::string report;
  std::map<std::string, int> runs;
  bool duplicateTokens{ false };
  int mixUps{ 0 };
  int loseAnswers{ 0 };
};

}

int
main(int aCount, char** aArguments)
{
  CLI::App application{ "stand-in-endpoint: engines and services, for tests" };
  std::vector<std::string> addresses;
  EndpointModelSettings settings;
  std::int64_t serviceMs = 50;
  application.add_option("--address", addresses, "Where to listen; can be repeated")->required();
  application.add_option("--service-ms", serviceMs, "Duration of one call");
  application.add_option("--tokens", settings.tokens, "Tokens of each answer");
  application.add_option("--warm-capacity", settings.warmCapacity, "Concurrent calls while warm");
  application.add_option("--cold-capacity", settings.coldCapacity, "Concurrent calls while cold");
  application.add_option("--cold-factor", settings.coldFactor, "How much slower it is while cold");
  application.add_option("--calls-to-warm", settings.callsToWarm, "Calls until it is warm");
  application.add_flag("--starts-warm", settings.startsWarm, "Begin warm");
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
