#include "EndpointPort.h"
#include <nlohmann/json.hpp>

namespace Hornbeam {

using nlohmann::json;

static constexpr Duration kReportTimeout = 1s;

static std::optional<EndpointReport>
ParseReport(HttpCallResult const& aResult)
{
  if (aResult.end != HttpCallEnd::Complete || aResult.status != 200)
    return std::nullopt;
  auto const body = json::parse(aResult.body, nullptr, false);
  bool const wellTyped = body.is_object() && body.contains("incarnation") && body["incarnation"].is_number_unsigned();
  if (!wellTyped)
    return std::nullopt;
  EndpointReport report;
  report.incarnation = body["incarnation"].get<std::uint64_t>();
  if (body.contains("running") && body["running"].is_number_integer())
    report.running = body["running"].get<int>();
  if (body.contains("waiting") && body["waiting"].is_number_integer())
    report.waiting = body["waiting"].get<int>();
  return report;
}

EndpointPort
MakeHttpEndpointPort(HttpClient& aClient)
{
  EndpointPort port;
  port.run = [&aClient](EndpointCall aCall, EndpointEvents aEvents) -> std::function<void()> {
    HttpCall call{ aCall.address, HttpMethod::Post, "/v1/run", EncodeStageCall(aCall.stage) };
    call.timeout = aCall.timeout;
    auto onEnd = [onEnd = std::move(aEvents.onEnd)](HttpCallResult aResult) {
      onEnd({ aResult.end, std::move(aResult.detail) });
    };
    auto const handle =
      aClient.Send(std::move(call), { std::move(aEvents.mayStillSend), std::move(aEvents.onChunk), std::move(onEnd) });
    return [handle] { handle.Abandon(); };
  };
  port.report = [&aClient](std::string const& aAddress, std::function<void(std::optional<EndpointReport>)> aDone) {
    HttpCall call{ aAddress, HttpMethod::Get, "/v1/report" };
    call.timeout = kReportTimeout;
    aClient.Send(std::move(call), { nullptr, nullptr, [aDone = std::move(aDone)](HttpCallResult const& aResult) {
                                     aDone(ParseReport(aResult));
                                   } });
  };
  return port;
}

}
