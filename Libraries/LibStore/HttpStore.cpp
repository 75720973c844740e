#include "HttpStore.h"
#include <nlohmann/json.hpp>

namespace Hornbeam {

using nlohmann::json;

HttpStore::HttpStore(HttpClient& aClient, Clock& aClock, HttpStoreSettings aSettings)
  : client(aClient)
  , clock(aClock)
  , settings(std::move(aSettings))
{
  this->budget.ratePerSecond = this->settings.callsPerSecond;
  this->budget.burst = 2 * this->settings.callsPerSecond;
  this->budget.tokens = this->budget.burst;
  this->budget.refilledAt = aClock.Now();
}

static StoreResponse
ParseResponse(HttpCallResult const& aResult)
{
  if (aResult.end != HttpCallEnd::Complete)
    return {};
  switch (aResult.status) {
    case 304:
      return { StoreStatus::Unchanged, 0, "" };
    case 404:
      return { StoreStatus::Absent, 0, "" };
    case 412:
      return { StoreStatus::Conflict, 0, "" };
    case 200:
      break;
    default:
      return {};
  }
  auto const body = json::parse(aResult.body, nullptr, false);
  if (!body.is_object() || !body.contains("version"))
    return {};
  return { StoreStatus::Ok, body.value("version", StoreVersion(0)), body.value("value", "") };
}

void
HttpStore::Call(HttpCall aCall, std::uint64_t& aCounter, StoreCallback aDone)
{
  if (!TakeCall(this->budget, this->clock.Now())) {
    ++this->usage.refusedByBudget;
    this->clock.Schedule(Duration::zero(), [aDone = std::move(aDone)] { aDone({}); });
    return;
  }
  ++aCounter;
  aCall.address = this->settings.address;
  auto const done = [aDone = std::move(aDone)](HttpCallResult aResult) { aDone(ParseResponse(aResult)); };
  this->client.Send(std::move(aCall), { nullptr, nullptr, done });
}

StoreCallback
HttpStore::CheckVersion(std::string const& aKey, StoreCallback aDone)
{
  auto const before = GreatestVersion(this->versions, aKey);
  return [this, aKey, before, aDone = std::move(aDone)](StoreResponse aResponse) {
    bool const tellsVersion = aResponse.status == StoreStatus::Ok || aResponse.status == StoreStatus::Absent;
    if (tellsVersion && RecordVersion(this->versions, aKey, before, aResponse.version)) {
      ++this->usage.versionRegressions;
      PART_WARNING("store") << "event=version-regressed key=" << aKey << " version=" << aResponse.version
                            << " known=" << before;
      aResponse = {};
    }
    aDone(std::move(aResponse));
  };
}

static VmListResponse
ParseVmList(HttpCallResult const& aResult)
{
  if (aResult.end != HttpCallEnd::Complete || aResult.status != 200)
    return {};
  auto const body = json::parse(aResult.body, nullptr, false);
  if (!body.is_object() || !body.contains("vms") || !body["vms"].is_array())
    return {};
  VmListResponse response{ StoreStatus::Ok, {} };
  for (auto const& vm : body["vms"]) {
    auto const state = vm.value("state", "live") == "leaving" ? VmState::Leaving : VmState::Live;
    response.vms.push_back({ vm.value("address", ""), state });
  }
  return response;
}

StorePort
HttpStore::Port()
{
  StorePort port;
  port.read = [this](std::string const& aKey, StoreCallback aDone) {
    HttpCall call{ "", HttpMethod::Get, "/objects/" + aKey };
    call.timeout = this->settings.callTimeout;
    this->Call(std::move(call), this->usage.reads, this->CheckVersion(aKey, std::move(aDone)));
  };
  port.write = [this](std::string const& aKey, std::string aValue, StoreVersion aExpected, StoreCallback aDone) {
    HttpCall call{ "", HttpMethod::Put, "/objects/" + aKey, std::move(aValue) };
    call.ifMatch = "\"" + std::to_string(aExpected) + "\"";
    call.timeout = this->settings.callTimeout;
    this->Call(std::move(call), this->usage.writes, this->CheckVersion(aKey, std::move(aDone)));
  };
  port.watch = [this](std::string const& aKey, StoreVersion aKnown, StoreCallback aDone) {
    auto const wait = std::to_string(Milliseconds(this->settings.watchTimeout));
    HttpCall call{ "", HttpMethod::Get, "/objects/" + aKey + "?watch=" + std::to_string(aKnown) + "&wait_ms=" + wait };
    call.timeout = this->settings.watchTimeout + this->settings.callTimeout;
    this->Call(std::move(call), this->usage.watches, this->CheckVersion(aKey, std::move(aDone)));
  };
  port.listVms = [this](std::function<void(VmListResponse)> aDone) {
    ++this->usage.reads;
    HttpCall call{ this->settings.address, HttpMethod::Get, "/vms" };
    call.timeout = this->settings.callTimeout;
    auto const done = [aDone = std::move(aDone)](HttpCallResult aResult) { aDone(ParseVmList(aResult)); };
    this->client.Send(std::move(call), { nullptr, nullptr, done });
  };
  return port;
}

}
