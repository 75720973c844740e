#include "ProxiedRequest.h"

// What a request does when a response without a length and without chunks ends with its connection. The system of an
// endpoint that crashes closes its connections as if the endpoint had ended its responses.

namespace Hornbeam::Gateway {

static constexpr Duration kEndCheckTimeout = 400ms;

bool
ProxiedRequest::MustCheckEnd() const
{
  auto const& answered = this->attempt;
  if (answered.framed || answered.endChecked || !answered.forwarding || this->exchange->Request().method == "HEAD")
    return false;
  if (answered.bufferedHead && (answered.bufferedHead->status / 100 != 2 || answered.bufferedHead->status == 204))
    return false;
  // An endpoint that leaves may stop listening before it has ended its responses.
  auto const& endpoints = this->proxy.stateCache.Endpoints().byId;
  auto const known = endpoints.find(answered.endpoint);
  return known != endpoints.end() && ProcessOf(known->second.entry) == answered.process &&
         known->second.entry.state == EndpointState::Ready && !known->second.signals.leaving;
}

void
ProxiedRequest::CheckEnd()
{
  this->proxy.clock.Cancel(this->stallTimer);
  this->proxy.connections.CheckListening(
    this->attempt.process.address, kEndCheckTimeout, this->AttemptCallback([](ProxiedRequest& aRequest, bool aListens) {
      aRequest.OnEndChecked(aListens);
    }));
}

void
ProxiedRequest::OnEndChecked(bool aListens)
{
  this->attempt.endChecked = true;
  this->attempt.endpointGone = !aListens;
  this->OnAttemptEnd(CallEnd::Complete);
}

}
