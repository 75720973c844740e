#pragma once

#include "Gateway.capnp.h"
#include <LibServing/FleetLoad.h>

namespace Hornbeam::Gateway {

/// Writes a report, with at most kMaxLoadEntries loads.
void
WriteLoads(LoadReport const& aReport, Wire::LoadReport::Builder aWire);

/// Returns nothing if the loads are not readable.
std::optional<LoadReport>
ReadLoads(Wire::LoadReport::Reader aWire);

}
