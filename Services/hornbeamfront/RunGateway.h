#pragma once

#include <LibGateway/LibGateway.h>

namespace Hornbeam {

/// Runs a front on the users' platform, until SIGTERM or SIGINT. SIGHUP reloads the settings from aFile. Returns an
/// exit code.
int
RunGateway(Gateway::GatewaySettings const& aSettings, std::string const& aFile);

}
