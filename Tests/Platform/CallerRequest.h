#pragma once

#include <LibExchange/LibExchange.h>

namespace Hornbeam::Testing {

/// A caller's request to a front that works with StandInTable().
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

/// The call that carries it; the caller listens for aSlack after its patience has ended.
Gateway::OutgoingCall
CallOf(CallerRequest const& aRequest, std::string const& aAddress, Duration aSlack);

/// A question to one of a front's own addresses.
Gateway::OutgoingCall
GetRequestTo(std::string const& aAddress, std::string const& aTarget);

}
