#pragma once

#include <LibExchange/LibExchange.h>

namespace Hornbeam::Testing {

/// A caller's request to a front that uses StandInTable().
struct CallerRequest
{
  std::string method{ "POST" };
  std::string target{ "/plain/x" };
  std::string id{ "r1" };
  std::string key{ "key-1" };
  std::string body{ "hello" };
  Duration clientTimeout{ 3s };
  Gateway::HeaderFields extraFields;
};

/// Builds the HTTP call of a request; the caller waits for aExtraTime beyond the client timeout.
Gateway::OutgoingCall
CallOf(CallerRequest const& aRequest, std::string const& aAddress, Duration aExtraTime);

/// Builds a GET request to one of a front's own addresses.
Gateway::OutgoingCall
GetRequestTo(std::string const& aAddress, std::string const& aTarget);

}
