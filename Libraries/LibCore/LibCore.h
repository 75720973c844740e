#pragma once

/// LibCore: the service registry, clock, event loop, logging and error types that all other libraries use.

#include "Clock.h"
#include "EventLoop.h"
#include "Guard.h"
#include "Hash.h"
#include "Kernel.h"
#include "LastReason.h"
#include "Log.h"
#include "Verify.h"
