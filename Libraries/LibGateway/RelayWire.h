#pragma once

#include "FrontPeers.h"
#include "Gateway.capnp.h"

namespace Hornbeam::Gateway {

// The wire format of what relays tell their followers (Gateway.capnp). A removed object has an empty document and
// no differences.

void
WriteNumbers(std::vector<std::uint64_t> const& aNumbers, capnp::List<std::uint64_t>::Builder aWire);

void
WriteUpdate(FollowResponse::KindUpdate const& aUpdate, Wire::RelayedUpdate::Builder aWire);

FollowResponse::KindUpdate
ReadUpdate(Wire::RelayedUpdate::Reader aWire);

}
