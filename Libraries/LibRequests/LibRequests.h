#pragma once

/// LibRequests: a request on its way through its pipeline, at most once where it must be, and what it ends with.

#include "Answer.h"
#include "IdempotencyKey.h"
#include "RequestProgress.h"
#include "StageMessages.h"
