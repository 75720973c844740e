#pragma once

#include "StagePool.h"

namespace Hornbeam::Gateway {

/// Queueing of jobs in a stage pool. If the load exceeds the capacity of a chain of stages for some seconds, most of
/// the jobs that can be served should be on time, and the others should be refused early.

/// Returns the expected duration of a call with the given number of items.
Duration
CallTime(StageLimits const& aLimits, std::size_t aItems);

/// Returns how long a job would wait behind the jobs that take precedence over it.
Duration
ExpectedWait(StagePool const& aPool, StageJob const& aJob, MonotonicTime aNow);

/// Returns the jobs with waiting items in service order. Records the pool's backlog and whether it is overloaded.
std::vector<StageJobId>
JobsInServiceOrder(StagePool& aPool, MonotonicTime aNow);

/// Returns the waiting jobs that are not expected to be served before their deadline.
std::vector<StageJobId>
JobsMissingDeadline(StagePool const& aPool, MonotonicTime aNow);

/// Returns after what time the caller may retry if a new job must be refused; nothing if it is accepted.
std::optional<Duration>
RefusalRetryAfter(StagePool const& aPool, StageJob const& aJob, MonotonicTime aNow);

/// Returns after what time an abandoned job may be retried.
Duration
RetryAfter(StagePool const& aPool, StageJob const& aJob, MonotonicTime aNow);

}
