#pragma once

#include <LibFront/LibFront.h>

namespace Hornbeam {

/// Runs a front with its own callers' interface until it is told to stop. Returns an exit code.
int
RunFront(FrontSettings const& aSettings);

}
