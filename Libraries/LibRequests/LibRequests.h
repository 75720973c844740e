#pragma once

/// LibRequests: the progress of a request through its pipeline, its retries and response, and idempotency keys, which
/// run a non-repeatable request at most once.

#include "IdempotencyKey.h"
#include "PipelineResponse.h"
#include "RequestProgress.h"
#include "StageMessages.h"
