#pragma once

#include <LibGrants/LibGrants.h>
#include <LibHttp/LibHttp.h>
#include <LibRequests/LibRequests.h>

namespace Hornbeam {

/// The call of an endpoint for one attempt.
struct EndpointCall
{
  std::string address;
  StageCall stage;
  Duration timeout{ 0 };
};

/// How a call to an endpoint ended.
struct EndpointCallEnd
{
  HttpCallEnd end{ HttpCallEnd::NotSent };
  std::string detail;
};

struct EndpointEvents
{
  /// Checked immediately before the first byte is sent; the call is not sent when it returns false.
  std::function<bool()> mayStillSend;
  std::function<void(std::string_view)> onChunk;
  std::function<void(EndpointCallEnd)> onEnd;
};

/// The services' interface to the endpoints.
struct EndpointPort
{
  /// Starts a call and returns a function that abandons it. onEnd is not called after that.
  std::function<std::function<void()>(EndpointCall, EndpointEvents)> run;
  std::function<void(std::string const& aAddress, std::function<void(std::optional<EndpointReport>)>)> report;
};

/// Makes a port that calls endpoints over HTTP.
EndpointPort
MakeHttpEndpointPort(HttpClient& aClient);

}
