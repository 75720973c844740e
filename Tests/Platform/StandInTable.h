#pragma once

#include <LibCore/LibCore.h>
#include <nlohmann/json.hpp>
#include <string>

namespace Hornbeam::Testing {

/// A table as operators write it, with routes for unsafe requests, safe requests, and a model without and with stages.
nlohmann::json
StandInTable(std::uint64_t aVersion, Duration aTimeout = 3s);

/// Adds routes that no request uses, of about 300 bytes each.
nlohmann::json
WithUnusedRoutes(nlohmann::json aTable, unsigned aCount);

/// Returns a table as the document of an object of the store.
std::string
TableDocument(nlohmann::json const& aTable, std::uint64_t aRevision);

/// Returns an endpoint's entry in the store.
nlohmann::json
StandInEntry(std::string const& aService,
             std::string const& aAddress,
             std::string const& aState,
             std::string const& aDataCenter,
             std::int64_t aIncarnation = 1,
             std::string const& aSoftwareVersion = "v1");

}
