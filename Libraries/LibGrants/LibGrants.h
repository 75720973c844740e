#pragma once

/// LibGrants: concurrency slots of endpoints and client accounts, granted to the fronts by one owner per key.

#include "EndpointPhase.h"
#include "Holding.h"
#include "Ledger.h"
