#pragma once

#include <LibHttp/LibHttp.h>
#include <nlohmann/json.hpp>

namespace Hornbeam {

/// The exit codes of hornbeamctl.
enum class ExitCode
{
  Success = 0,
  InvalidUse = 2,
  Conflict = 3,
  Unavailable = 4,
  NotInForce = 5,
  Refused = 6,
};

/// The addresses and the token that the commands use.
struct ClientSettings
{
  std::string callerAddress;
  std::string administrationAddress;
  std::string token;
  Duration timeout{ 10s };
};

/// Blocking calls to a front's interfaces: each one runs the event loop until the response has arrived.
class AdministrationClient
{
public:
  explicit AdministrationClient(ClientSettings aSettings);

  HttpCallResult Administer(HttpMethod aMethod,
                            std::string const& aPath,
                            std::string aBody = {},
                            std::string aIfMatch = {});

  /// A call to the caller interface of aAddress.
  HttpCallResult Call(std::string const& aAddress,
                      HttpMethod aMethod,
                      std::string const& aPath,
                      std::string aBody = {});

  /// Runs the event loop for aDuration.
  void Wait(Duration aDuration);

  ClientSettings const& Settings() const { return this->settings; }

private:
  HttpCallResult Run(HttpCall aCall);

  ClientSettings settings;
  Clock clock;
  EventLoop loop;
  HttpContext context;
  HttpClient client;
};

}
