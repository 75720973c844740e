#pragma once

/// LibRpc: Cap'n Proto RPC connections between our processes, on the loop of LibCore.

#include "RpcConnections.h"
