#pragma once

/// LibPeer: what fronts say to each other, and Cap'n Proto RPC that carries it.

#include "PeerNetwork.h"
#include "PeerPort.h"
