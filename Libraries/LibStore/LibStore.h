#pragma once

/// LibStore: interface to the platform's object store and VM list, and its HTTP client with a rate limit.

#include "CallBudget.h"
#include "HttpStore.h"
#include "StorePort.h"
#include "VersionHistory.h"
