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

/// Where the commands go.
struct ClientSettings
{
  std::string callerAddress;
  std::string administrationAddress;
  std::string token;
  Duration timeout{ 10s };
};

/// A front's interfaces as blocking calls: the loop runs until the answer is there.
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

  /// Lets the loop run for a while.
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
