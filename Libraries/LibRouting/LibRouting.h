#pragma once

/// LibRouting: decisions about endpoint selection, queueing, admission, outlier ejection and retries.

#include "Admission.h"
#include "EndpointChoice.h"
#include "FairQueue.h"
#include "OutlierEjection.h"
#include "RetryBudget.h"
