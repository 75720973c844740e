#include "StandInEndpoint.h"
#include <nlohmann/json.hpp>

namespace Hornbeam::Testing {

using namespace Gateway;
using nlohmann::json;

StandInEndpoint::StandInEndpoint(uv_loop_t& aLoop,
                                 Clock& aClock,
                                 EndpointKind aKind,
                                 std::string aId,
                                 std::string aAddress)
  : clock(aClock)
  , kind(aKind)
  , id(std::move(aId))
  , address(std::move(aAddress))
  , publicAddress(this->address)
  , entry(aLoop, aClock, [this](std::shared_ptr<Exchange> aExchange) { this->Handle(aExchange); })
{
  VERIFY(this->entry.Open(this->address));
}

static std::string
FieldOf(Exchange const& aExchange, std::string_view aName)
{
  return FieldValue(aExchange.Request().fields, aName);
}

void
StandInEndpoint::Handle(std::shared_ptr<Exchange> const& aExchange)
{
  if (this->down)
    return aExchange->Abort();
  auto const& request = aExchange->Request();
  auto const expected = FieldOf(*aExchange, "Hornbeamfront-Expected-Instance");
  if (!expected.empty() && expected != this->id) {
    aExchange->Respond({ 421, { { "Hornbeamfront-Instance-Id", this->id } } }, "");
    return;
  }
  if (this->kind == EndpointKind::Stage) {
    if (request.target == "/stage-free")
      this->ReleaseItems(aExchange);
    else
      this->RunItems(aExchange);
    return;
  }
  auto const number = this->seen.size();
  this->seen.push_back({ FieldOf(*aExchange, "Hornbeamfront-Request-Id"),
                         request.method,
                         request.target,
                         request.body,
                         request.fields,
                         this->clock.Now() });
  auto const fault = this->faultOf ? this->faultOf(number) : EndpointFault::None;
  this->seen.back().ran = fault != EndpointFault::Full && fault != EndpointFault::InputsGone;
  aExchange->onCallerDisconnected = [this] { ++this->callersGone; };
  if (fault == EndpointFault::Full) {
    this->Respond(*aExchange, { 503, { { "Hornbeamfront-Not-Executed", "1" } } }, "");
    return;
  }
  if (fault == EndpointFault::MismatchedRefusal) {
    aExchange->Respond({ 503, { { "Hornbeamfront-Not-Executed", "1" }, { "Hornbeamfront-Request-Id", "another" } } },
                       "");
    return;
  }
  if (fault == EndpointFault::InputsGone) {
    aExchange->Respond({ 409, { { "Hornbeamfront-Not-Executed", "1" } } }, "");
    return;
  }
  if (fault == EndpointFault::Silent)
    return;
  if (this->MayCrash())
    this->exchanges.insert(aExchange);
  this->clock.Schedule(this->workTime, [this, aExchange, fault] {
    if (this->MayCrash() && !this->exchanges.contains(aExchange))
      return;
    if (this->HasCrashingBody(*aExchange))
      return this->Crash();
    if (this->kind == EndpointKind::Model)
      this->Stream(aExchange, fault);
    else
      this->RespondPlain(aExchange, fault);
  });
}

static ResponseHead
HeadFor(Exchange const& aExchange, unsigned aStatus, std::string aType, EndpointFault aFault)
{
  auto const requestId =
    aFault == EndpointFault::MismatchedResponse ? "another" : FieldOf(aExchange, "Hornbeamfront-Request-Id");
  return { aStatus,
           { { "Content-Type", std::move(aType) },
             { "Hornbeamfront-Request-Id", requestId },
             { "Hornbeamfront-Response-Signature", "signed" } } };
}

ResponseHead
StandInEndpoint::WithSignals(ResponseHead aHead) const
{
  aHead.fields.insert(aHead.fields.end(), this->signals.begin(), this->signals.end());
  return aHead;
}

void
StandInEndpoint::Respond(Exchange& aExchange, ResponseHead aHead, std::string_view aBody) const
{
  aExchange.Respond(this->WithSignals(std::move(aHead)), aBody);
}

void
StandInEndpoint::RespondPlain(std::shared_ptr<Exchange> const& aExchange, EndpointFault aFault)
{
  switch (aFault) {
    case EndpointFault::LostResponse:
      return aExchange->Abort();
    case EndpointFault::BreakOff:
      aExchange->BeginStream(this->WithSignals(HeadFor(*aExchange, 200, "text/plain", aFault)));
      aExchange->SendChunk("half");
      this->clock.Schedule(5ms, [aExchange] { aExchange->Abort(); });
      return;
    case EndpointFault::Error:
      return this->Respond(*aExchange, HeadFor(*aExchange, 500, "text/plain", aFault), "error of " + this->id);
    default:
      this->exchanges.erase(aExchange);
      return this->Respond(*aExchange,
                           HeadFor(*aExchange, 200, "text/plain", aFault),
                           "answer of " + this->id + this->Suffix(FieldOf(*aExchange, "Hornbeamfront-Request-Id")));
  }
}

void
StandInEndpoint::Stream(std::shared_ptr<Exchange> const& aExchange, EndpointFault aFault)
{
  if (aFault == EndpointFault::LostResponse)
    return aExchange->Abort();
  aExchange->BeginStream(this->WithSignals(HeadFor(*aExchange, 200, "text/event-stream", aFault)));
  if (this->HasCrashingPart(*aExchange))
    this->clock.Schedule(10ms, [this, aExchange] {
      if (this->exchanges.contains(aExchange))
        this->Crash();
    });
  auto const last = FieldOf(*aExchange, "Last-Event-Id");
  this->SendEvent(aExchange, last.empty() ? 1 : unsigned(std::stoul(last)) + 1, aFault);
}

void
StandInEndpoint::SendEvent(std::shared_ptr<Exchange> const& aExchange, unsigned aEvent, EndpointFault aFault)
{
  if (aFault == EndpointFault::BreakOff && aEvent == 3) {
    aExchange->SendChunk("id: 3\ndata: ha");
    this->clock.Schedule(5ms, [aExchange] { aExchange->Abort(); });
    return;
  }
  if (this->MayCrash() && !this->exchanges.contains(aExchange))
    return;
  if (aEvent > this->events) {
    this->exchanges.erase(aExchange);
    aExchange->EndStream();
    return;
  }
  aExchange->SendChunk("id: " + std::to_string(aEvent) + "\ndata: t" + std::to_string(aEvent) +
                       this->Suffix(FieldOf(*aExchange, "Hornbeamfront-Request-Id")) +
                       (this->includesVersion ? "@" + this->softwareVersion : "") + "\n\n");
  auto const gap = aFault == EndpointFault::Pause && aEvent % 2 == 0 ? this->pauseTime : this->eventTime;
  this->clock.Schedule(gap, [this, aExchange, aEvent, aFault] { this->SendEvent(aExchange, aEvent + 1, aFault); });
}

void
StandInEndpoint::RunItems(std::shared_ptr<Exchange> const& aExchange)
{
  auto const body = json::parse(aExchange->Request().body, nullptr, false);
  auto const number = this->stageCalls.size();
  this->stageCalls.push_back(this->clock.Now());
  if (this->faultOf && this->faultOf(number) == EndpointFault::Full)
    return this->Respond(*aExchange, { 503, { { "Hornbeamfront-Not-Executed", "1" } } }, "");
  this->batchSizes.push_back(body["items"].size());
  this->clock.Schedule(this->workTime, [this, aExchange, body] {
    json items = json::array();
    for (auto const& item : body["items"]) {
      auto const handle = this->publicAddress + "/" + std::to_string(++this->itemsCompleted) +
                          this->Suffix(item["id"].get<std::string>());
      this->heldResults.insert(handle);
      items.push_back({ { "handle_id", handle } });
      this->seen.push_back({ item["id"].get<std::string>(), "", "", item.dump(), {}, this->clock.Now() });
    }
    this->Respond(*aExchange, { 200, { { "Content-Type", "application/json" } } }, json{ { "items", items } }.dump());
  });
}

bool
StandInEndpoint::HasCrashingPart(Exchange const& aExchange) const
{
  auto const parts = "," + FieldOf(aExchange, "Hornbeamfront-Prefix-Hash");
  return !this->crashingPart.empty() && parts.find("," + this->crashingPart + ":") != std::string::npos;
}

bool
StandInEndpoint::HasCrashingBody(Exchange const& aExchange) const
{
  return !this->crashingBody.empty() && aExchange.Request().body == this->crashingBody;
}

void
StandInEndpoint::Crash()
{
  this->crashTimes.push_back(this->clock.Now());
  this->down = true;
  this->entry.Close();
  auto const broken = std::move(this->exchanges);
  this->exchanges.clear();
  for (auto const& exchange : broken)
    exchange->Abort();
  this->clock.Schedule(this->downTime, [this] { this->Return(); });
}

void
StandInEndpoint::Return()
{
  VERIFY(this->entry.Open(this->address));
  this->down = false;
  auto const previous = this->id;
  this->id = previous.substr(0, previous.find("-r")) + "-r" + std::to_string(this->crashTimes.size());
  if (this->onReturn)
    this->onReturn(previous);
}

std::string
StandInEndpoint::Suffix(std::string const& aRequestId) const
{
  return this->includesRequestIds ? "-" + aRequestId : "";
}

void
StandInEndpoint::ReleaseItems(std::shared_ptr<Exchange> const& aExchange)
{
  this->clock.Schedule(this->releaseTime, [this, aExchange] {
    auto const body = json::parse(aExchange->Request().body, nullptr, false);
    for (auto const& handle : body["handle_ids"])
      this->heldResults.erase(handle.get<std::string>());
    aExchange->Respond({ 200, {} }, "{}");
  });
}

}
