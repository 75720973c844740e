#include "StandInTable.h"

namespace Hornbeam::Testing {

using nlohmann::json;

static json
RouteOf(std::string const& aPrefix, std::string const& aType, std::string const& aService, Duration aTimeout)
{
  return { { "name", "r" + aPrefix },
           { "host", "h.example" },
           { "path_prefix", aPrefix },
           { "type", aType },
           { "timeout_ms", Milliseconds(aTimeout) },
           { "target_latency_ms", 1000 },
           { "priority", 1 },
           { "service", aService },
           { "max_attempts", 2 },
           { "public", false } };
}

json
StandInTable(std::uint64_t aVersion, Duration aTimeout)
{
  auto once = RouteOf("/plain/", "unsafe", "ledger", aTimeout);
  auto safe = RouteOf("/safe/", "safe", "ledger", aTimeout);
  auto model = RouteOf("/model/", "streaming", "model", aTimeout);
  model["resumable"] = true;
  model["session_affinity"] = true;
  model["target_itl_ms"] = 300;
  auto staged = model;
  staged["name"] = "staged";
  staged["path_prefix"] = "/staged/";
  staged["phases"] = json::array({ { { "service", "encode" }, { "after", json::array() }, { "size_bytes", 1000 } },
                                   { { "service", "rank" }, { "after", { 0 } }, { "size_bytes", 1000 } } });
  json const segments{ { "slots", 1 },     { "queue", 2 },         { "batch", 4 },         { "call_ms", 20.0 },
                       { "item_ms", 1.0 }, { "headroom_mb", 1.0 }, { "handle_ttl_s", 4.0 } };
  json const services = json::array({ { { "name", "ledger" }, { "max_connections", 100 } },
                                      { { "name", "model" },
                                        { "max_connections", 100 },
                                        { "cold_start_s", 2.0 },
                                        { "cold_per_s", 10.0 },
                                        { "engine", { { "slots", 16 } } } },
                                      { { "name", "encode" }, { "max_connections", 100 }, { "segments", segments } },
                                      { { "name", "rank" }, { "max_connections", 100 }, { "segments", segments } } });
  return { { "version", aVersion },
           { "route_table", json::array({ once, safe, model, staged }) },
           { "services", services },
           { "limits",
             { { "max_header_bytes", 8192 },
               { "max_body_bytes", 65536 },
               { "header_timeout_ms", 400 },
               { "idle_timeout_ms", 5000 } } },
           { "tenants", json::array({ { { "name", "account-1" }, { "api_keys", json::array({ "key-1" }) } } }) } };
}

json
WithUnusedRoutes(json aTable, unsigned aCount)
{
  for (unsigned index = 0; index < aCount; ++index) {
    auto route = RouteOf("/unused-" + std::to_string(index) + "/", "safe", "ledger", 3s);
    route["host"] = "host-" + std::to_string(index) + std::string(80, 'h') + ".example";
    aTable["route_table"].push_back(std::move(route));
  }
  return aTable;
}

std::string
TableDocument(json const& aTable, std::uint64_t aRevision)
{
  json const document{ { "metadata", { { "name", "main" }, { "revision", aRevision } } },
                       { "spec", aTable },
                       { "status", nullptr } };
  return document.dump();
}

json
StandInEntry(std::string const& aService,
             std::string const& aAddress,
             std::string const& aState,
             std::string const& aDataCenter,
             std::int64_t aIncarnation,
             std::string const& aSoftwareVersion)
{
  return { { "service", aService },         { "address", aAddress },  { "zone", aDataCenter },
           { "version", aSoftwareVersion }, { "slots", 8 },           { "state", aState },
           { "cold_remaining_ms", 0 },      { "born", aIncarnation }, { "sequence", 4 } };
}

}
