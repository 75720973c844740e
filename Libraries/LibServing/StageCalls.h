#pragma once

#include "StagePool.h"

namespace Hornbeam::Gateway {

/// Takes waiting pieces to endpoints that are free: in order of service, near ones first, as many as their memory
/// holds.
std::vector<StageCall>
StartCalls(StagePool& aPool, MonotonicTime aNow);

}
