#pragma once

#include "StagePool.h"

namespace Hornbeam::Gateway {

/// How the orders of a stage pool wait. The pattern it answers: more arrives for some seconds than a chain of stages
/// bears. Most of what can be served is then to be on time, and what cannot be served is to be refused early.

/// What one call with so many pieces takes.
Duration
CallTime(StageLimits const& aLimits, std::size_t aPieces);

/// How long an order would wait for its turn behind those that go before it.
Duration
ExpectedWait(StagePool const& aPool, StageJob const& aOrder, MonotonicTime aNow);

/// Orders with waiting pieces, the next to be served first. Notes the pool's backlog and whether it is overloaded.
std::vector<StageJobId>
ServiceOrder(StagePool& aPool, MonotonicTime aNow);

/// Waiting orders that are not expected to get their turn before their deadline.
std::vector<StageJobId>
HopelessOrders(StagePool const& aPool, MonotonicTime aNow);

/// Set when a new order is refused: when its caller may come back.
std::optional<Duration>
RefusalOf(StagePool const& aPool, StageJob const& aOrder, MonotonicTime aNow);

/// When an order that was given up may be tried again.
Duration
RetryAfter(StagePool const& aPool, StageJob const& aOrder, MonotonicTime aNow);

}
