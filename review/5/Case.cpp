// A request leaves out a stage, and a later stage needs both that one and the stage before it.

#include "review/common/Pipeline.h"

using namespace Review;

static json
Service(std::string const& aName)
{
  return { { "name", aName }, { "health_path", "/healthz" }, { "max_connections", 620 }, { "protocol", "h1" },
           { "tls", false },  { "cold_start_s", 0.0 },       { "cold_per_s", 0.0 } };
}

static json
Table()
{
  auto const phase = [](std::string const& aService, json aAfter) {
    return json{ { "service", aService }, { "after", std::move(aAfter) }, { "size_bytes", 8000 } };
  };
  json const route{ { "name", "notes" },
                    { "host", "pipeline.example" },
                    { "path_prefix", "/notes/" },
                    { "type", "streaming" },
                    { "timeout_ms", 6000 },
                    { "target_latency_ms", 2000 },
                    { "priority", 1 },
                    { "service", "model" },
                    { "max_attempts", 2 },
                    { "phases",
                      json::array({ phase("encode", json::array()),
                                    phase("retrieve", json::array({ 0 })),
                                    phase("rank", json::array({ 0, 1 })) }) },
                    { "public", false },
                    { "session_affinity", true },
                    { "resumable", true },
                    { "target_itl_ms", 300 } };
  json services = json::array();
  for (auto const* name : { "encode", "retrieve", "rank" }) {
    auto service = Service(name);
    service["segments"] = { { "slots", 1 },          { "queue", 2 },        { "batch", 8 },
                            { "call_ms", 200.0 },    { "item_ms", 21.0 },   { "headroom_mb", 18.0 },
                            { "handle_ttl_s", 4.0 }, { "link_mbps", 10000 } };
    services.push_back(service);
  }
  auto model = Service("model");
  model["engine"] = { { "slots", 128 } };
  services.push_back(model);
  return { { "version", 7 },
           { "route_table", json::array({ route }) },
           { "services", services },
           { "limits", Limits() },
           { "tenants", Tenants() } };
}

static int
Run(Record& aRecord, bool aTrouble)
{
  Deployment deployment;
  auto& results = *new Results;
  auto& stageServers = *new std::vector<std::unique_ptr<StageServer>>;
  auto& model = *new ModelServer("i-model-1", results, aRecord);
  std::vector<CheckIn> checkIns;
  for (auto const* service : { "encode", "retrieve", "rank" }) {
    auto const id = "i-" + std::string(service) + "-1";
    stageServers.push_back(std::make_unique<StageServer>(id, results, aRecord, StageTimes{}));
    stageServers.back()->Start();
    checkIns.emplace_back(deployment.store, id, Entry(service, stageServers.back()->Address(), 1));
  }
  model.Start();
  checkIns.emplace_back(deployment.store, "i-model-1", Entry("model", model.Address(), 128));
  deployment.store.Put("config", "main", Table());
  if (!deployment.StartFronts(3)) {
    aRecord.Note("the fronts did not become ready");
    return 2;
  }
  unsigned served = 0;
  for (unsigned index = 0; index < 10; ++index) {
    StreamRequest const request{ NextRequestId(), "/notes/1", aTrouble ? "2,0,1" : "2,1,1" };
    auto const connection = Connection::Open(deployment.fronts[index % 3]->callers);
    if (!connection)
      continue;
    connection->SetTimeout(8000ms);
    aRecord.Note("client sends " + request.id + " with pieces " + request.chunks);
    auto const answer = connection->Send(Encode(request)) ? connection->Read() : std::nullopt;
    aRecord.Note("client gets " + request.id + " " + (answer ? std::to_string(answer->Status()) : "no answer"));
    served += answer && answer->Status() == 200 ? 1 : 0;
  }
  unsigned wrong = model.wrongInputs;
  for (auto const& server : stageServers)
    wrong += server->wrongInputs;
  aRecord.Note("served " + std::to_string(served) +
               " of 10, inputs given twice or of another request: " + std::to_string(wrong));
  if (!aTrouble && served < 10)
    return 2;
  return wrong > 0 ? 1 : 0;
}

int
main(int aCount, char** aArguments)
{
  auto const* const trouble = std::getenv("TROUBLE");
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Finish(Run(record, trouble == nullptr || std::string(trouble) != "0"));
}
