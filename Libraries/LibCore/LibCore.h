#pragma once

/// LibCore: the kernel, the clock, the loop, logs and outcomes that every other library stands on.

#include "Clock.h"
#include "EventLoop.h"
#include "Hash.h"
#include "Kernel.h"
#include "LastReason.h"
#include "Log.h"
#include "Verify.h"
