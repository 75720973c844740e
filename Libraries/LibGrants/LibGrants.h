#pragma once

/// LibGrants: slots of endpoints and of client accounts over all fronts, handed out by one owner for each key.

#include "EndpointPhase.h"
#include "Holding.h"
#include "Ledger.h"
