#include "AdministrationClient.h"

namespace Hornbeam {

AdministrationClient::AdministrationClient(ClientSettings aSettings)
  : settings(std::move(aSettings))
  , clock(ClockMode::Running)
  , loop(clock)
  , context(loop)
  , client(context)
{
}

HttpCallResult
AdministrationClient::Administer(HttpMethod aMethod, std::string const& aPath, std::string aBody, std::string aIfMatch)
{
  HttpCall call{ this->settings.administrationAddress, aMethod, aPath, std::move(aBody) };
  call.authorization = "Bearer " + this->settings.token;
  call.ifMatch = std::move(aIfMatch);
  return this->Run(std::move(call));
}

HttpCallResult
AdministrationClient::Call(std::string const& aAddress, HttpMethod aMethod, std::string const& aPath, std::string aBody)
{
  return this->Run({ aAddress, aMethod, aPath, std::move(aBody) });
}

void
AdministrationClient::Wait(Duration aDuration)
{
  bool done = false;
  this->clock.Schedule(aDuration, [&done] { done = true; });
  this->loop.RunUntil([&done] { return done; });
}

HttpCallResult
AdministrationClient::Run(HttpCall aCall)
{
  std::optional<HttpCallResult> result;
  aCall.timeout = this->settings.timeout;
  this->client.Send(std::move(aCall),
                    { nullptr, nullptr, [&result](HttpCallResult aResult) { result = std::move(aResult); } });
  this->loop.RunUntil([&result] { return result.has_value(); });
  return std::move(*result);
}

}
