#pragma once

#include "FrontPeers.h"
#include "Gateway.capnp.h"

namespace Hornbeam::Gateway {

void
WriteVersionReport(RemoteVersionReport const& aReport, Wire::VersionReport::Builder aWire);

/// Reads at most as many strata and endpoints as a report may have; the owner refuses a report that has more.
RemoteVersionReport
ReadVersionReport(Wire::VersionReport::Reader aWire);

}
