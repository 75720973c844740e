#pragma once

/// LibRpc: Cap'n Proto RPC connections between processes, on LibCore's event loop.

#include "ReceivingStream.h"
#include "RpcConnections.h"
