#include "CallerRequest.h"

namespace Hornbeam::Testing {

using namespace Gateway;

OutgoingCall
CallOf(CallerRequest const& aRequest, std::string const& aAddress, Duration aExtraTime)
{
  OutgoingCall call;
  call.address = aAddress;
  call.timeout = aRequest.clientTimeout + aExtraTime;
  call.request.method = aRequest.method;
  call.request.target = aRequest.target;
  call.request.body = aRequest.body;
  call.request.fields = { { "Host", "h.example" },
                          { "Hornbeamfront-Request-Id", aRequest.id },
                          { "Hornbeamfront-Deadline-Ms", std::to_string(Milliseconds(aRequest.clientTimeout)) },
                          { "Authorization", "Bearer " + aRequest.key } };
  call.request.fields.insert(call.request.fields.end(), aRequest.extraFields.begin(), aRequest.extraFields.end());
  return call;
}

OutgoingCall
GetRequestTo(std::string const& aAddress, std::string const& aTarget)
{
  OutgoingCall call;
  call.address = aAddress;
  call.request.method = "GET";
  call.request.target = aTarget;
  call.request.fields = { { "Host", "front" } };
  return call;
}

}
