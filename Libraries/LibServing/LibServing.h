#pragma once

/// LibServing: the decisions about proxied requests, without I/O, clock or log.

#include "EndpointSelection.h"
#include "EndpointSet.h"
#include "FrontSet.h"
#include "RequestStages.h"
#include "RetryQuota.h"
#include "ServingTable.h"
#include "StagePool.h"
