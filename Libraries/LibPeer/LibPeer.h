#pragma once

/// LibPeer: the messages that fronts exchange, and the Cap'n Proto RPC that transports them.

#include "PeerNetwork.h"
#include "PeerPort.h"
