#pragma once

#include <LibGrants/LibGrants.h>
#include <LibHttp/LibHttp.h>
#include <LibRequests/LibRequests.h>

namespace Hornbeam {

/// One attempt on its way to an endpoint.
struct EndpointCall
{
  std::string address;
  StageCall stage;
  Duration timeout{ 0 };
};

/// How the exchange with the endpoint ended.
struct EndpointCallEnd
{
  HttpCallEnd end{ HttpCallEnd::NotSent };
  std::string detail;
};

struct EndpointEvents
{
  /// Asked at the last instant before the first byte leaves.
  std::function<bool()> mayStillSend;
  std::function<void(std::string_view)> onPiece;
  std::function<void(EndpointCallEnd)> onEnd;
};

/// Endpoints as the services see them.
struct EndpointPort
{
  /// Returns what abandons the call; onEnd is not called afterwards.
  std::function<std::function<void()>(EndpointCall, EndpointEvents)> run;
  std::function<void(std::string const& aAddress, std::function<void(std::optional<EndpointReport>)>)> report;
};

/// Endpoints over HTTP.
EndpointPort
MakeHttpEndpointPort(HttpClient& aClient);

}
