#pragma once

#include <LibGateway/LibGateway.h>

namespace Hornbeam {

/// Runs a front on the users' platform until it is told to stop. SIGHUP reads aFile again. Returns an exit code.
int
RunGateway(Gateway::GatewaySettings const& aSettings, std::string const& aFile);

}
