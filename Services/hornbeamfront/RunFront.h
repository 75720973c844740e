#pragma once

#include <LibFront/LibFront.h>

namespace Hornbeam {

/// Runs a front that serves its own caller interface, until SIGTERM or SIGINT. Returns an exit code.
int
RunFront(FrontSettings const& aSettings);

}
