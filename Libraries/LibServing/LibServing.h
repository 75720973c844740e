#pragma once

/// LibServing: decisions about proxied requests, without I/O, clock access or logging.

#include "CrashCandidates.h"
#include "CrashSuspicion.h"
#include "EndpointSelection.h"
#include "EndpointSet.h"
#include "EndpointSignals.h"
#include "ExplainChoice.h"
#include "FleetLoad.h"
#include "FrontSet.h"
#include "RequestStages.h"
#include "RequestTimeline.h"
#include "RestoredCopy.h"
#include "RetryQuota.h"
#include "Rollout.h"
#include "ServingTable.h"
#include "StagePool.h"
#include "StopPlan.h"
#include "StoreEra.h"
#include "StorePosition.h"
#include "StreamOrigins.h"
#include "VersionCounts.h"
