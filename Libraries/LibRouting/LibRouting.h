#pragma once

/// LibRouting: which endpoint takes the next stage, who goes next, what is refused early, what is retried.

#include "Admission.h"
#include "EndpointChoice.h"
#include "FairQueue.h"
#include "OutlierEjection.h"
#include "RetryBudget.h"
