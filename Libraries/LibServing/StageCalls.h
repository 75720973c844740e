#pragma once

#include "StagePool.h"

namespace Hornbeam::Gateway {

/// Assigns waiting items to free endpoints in service order, those of the endpoint's data centre first, as many as the
/// endpoint's memory for results can hold.
std::vector<StageCall>
StartCalls(StagePool& aPool, MonotonicTime aNow);

}
