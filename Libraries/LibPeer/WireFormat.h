#pragma once

#include "Peer.capnp.h"
#include "PeerPort.h"

namespace Hornbeam {

void
WriteHeartbeat(Heartbeat const& aHeartbeat, Wire::Heartbeat::Builder aWire);

Heartbeat
ReadHeartbeat(Wire::Heartbeat::Reader aWire);

void
WriteGrantBatch(GrantBatch const& aBatch, Wire::GrantBatch::Builder aWire);

GrantBatch
ReadGrantBatch(Wire::GrantBatch::Reader aWire);

void
WriteGrantResult(GrantResult const& aResult, Wire::GrantResult::Builder aWire);

GrantResult
ReadGrantResult(Wire::GrantResult::Reader aWire);

}
