#pragma once

/// LibStore: the platform's object API and VM list, as ports, and their HTTP client within a call budget.

#include "CallBudget.h"
#include "HttpStore.h"
#include "StorePort.h"
