#pragma once

/// LibRelay: decisions about how a front learns the state of the store, without I/O, clock access or logging. In a
/// large fleet a few fronts watch the store and relay its changes to the others.

#include "DocumentDelta.h"
#include "ObjectLog.h"
#include "RelayRoles.h"
#include "StoreProof.h"
#include "Subscription.h"
