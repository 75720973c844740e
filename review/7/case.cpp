// A resumable stream whose endpoint is silent runs its stages again for another endpoint. The silent endpoint crashes
// meanwhile, and the front asks another one with what it has of the stages' results by then.
//
// With TROUBLE=stage, a stage fails instead, and the endpoint stays silent.

#include "../common-2/Harness.h"
#include <algorithm>

using namespace Review;

namespace {

constexpr unsigned kModels = 6;
constexpr unsigned kEvents = 12;
constexpr unsigned kEventsBeforeSilence = 3;
constexpr auto kEventInterval = 40ms;
/// How long the endpoint is silent if it does not crash.
constexpr auto kSilence = 4500ms;
constexpr auto kStageCall = 200ms;
constexpr auto kHandleLifetime = 4000ms;
/// Of the items of one call.
constexpr unsigned kFailedItems = 4;

/// The pieces of the four stages; the model endpoint reads those of the first and of the last one.
std::vector<unsigned> const kPieces{ 2, 1, 6, 10 };

struct Result
{
  std::string requestId;
  unsigned stage{ 0 };
  unsigned segment{ 0 };
  bool freed{ false };
  SteadyTime expires{};
};

/// What all endpoints did, and what they are to do.
struct World
{
  explicit World(Record& aRecord)
    : record(aRecord)
  {
  }

  Record& record;
  std::mutex mutex;
  std::map<std::string, Result> results;
  unsigned lastResult{ 0 };
  /// The request whose endpoint falls silent, and whose last stage fails once after that.
  std::string troubled;
  bool stageFails{ false };
  bool silentBegun{ false };
  bool stageFailed{ false };
  /// The endpoint that is silent, and whether it has crashed.
  std::string silent;
  bool crashed{ false };
  std::condition_variable changed;
  std::map<std::string, Server*> models;
  std::vector<std::string> violations;

  bool Exists(std::string const& aHandle) const
  {
    auto const found = this->results.find(aHandle);
    return found != this->results.end() && !found->second.freed &&
           found->second.expires > std::chrono::steady_clock::now();
  }

  void Violate(std::string const& aText)
  {
    this->violations.push_back(aText);
    this->record.Line("VIOLATION " + aText);
  }
};

std::vector<std::string>
Split(std::string const& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  for (std::string part; std::getline(stream, part, ',');)
    parts.push_back(part);
  return parts;
}

/// Describes which pieces of which stages the handles stand for, and checks that they are all pieces of the stages that
/// are to be read, of this request, each once.
std::string
CheckInputs(World& aWorld,
            std::vector<std::string> const& aHandles,
            std::string const& aRequestId,
            std::set<unsigned> const& aStages,
            std::string const& aReader)
{
  std::map<unsigned, std::set<unsigned>> segments;
  bool foreign = false;
  for (auto const& handle : aHandles) {
    auto const& result = aWorld.results.at(handle);
    foreign = foreign || result.requestId != aRequestId || !aStages.contains(result.stage) ||
              !segments[result.stage].insert(result.segment).second;
  }
  std::string text = std::to_string(aHandles.size()) + " inputs:";
  bool all = true;
  for (auto const stage : aStages) {
    text += " " + std::to_string(segments[stage].size()) + " of " + std::to_string(kPieces[stage]) +
            " pieces of stage " + std::to_string(stage);
    all = all && segments[stage].size() == kPieces[stage];
  }
  if (foreign)
    aWorld.Violate(aReader + " got inputs of another request or stage, or one twice; " + text);
  else if (!all)
    aWorld.Violate(aReader + " got only some of the inputs; " + text);
  return text;
}

/// Ends the silent endpoint while a piece of the second stage in the row is made once more: the kernel closes its
/// sockets.
void
CrashIfDue(World& aWorld, json const& aItem)
{
  std::unique_lock guard(aWorld.mutex);
  bool const isDue = !aWorld.stageFails && aWorld.silentBegun && !aWorld.crashed && aItem["id"] == aWorld.troubled &&
                     aItem["phase"] == 2;
  if (!isDue)
    return;
  aWorld.crashed = true;
  aWorld.models.at(aWorld.silent)->StopListening();
  aWorld.changed.notify_all();
  guard.unlock();
  aWorld.record.Line("model endpoint " + aWorld.silent + " crashes");
}

bool
RunStage(World& aWorld, Address const& aAddress, Connection& aConnection, Message const& aRequest)
{
  auto const body = json::parse(aRequest.body);
  auto const idField = "Hornbeamfront-Request-Id: " + aRequest.Field("Hornbeamfront-Request-Id") + "\r\n";
  if (aRequest.Word(1) == "/stage-free") {
    std::lock_guard const guard(aWorld.mutex);
    for (auto const& handle : body["handle_ids"])
      if (auto const found = aWorld.results.find(handle.get<std::string>()); found != aWorld.results.end())
        found->second.freed = true;
    return aConnection.Write(EncodeAnswer(200, "", ""));
  }
  CrashIfDue(aWorld, body["items"][0]);
  std::this_thread::sleep_for(kStageCall);
  auto items = json::array();
  std::string text;
  {
    std::lock_guard const guard(aWorld.mutex);
    unsigned failures = 0;
    for (auto const& item : body["items"]) {
      auto const requestId = item["id"].get<std::string>();
      auto const stage = item["phase"].get<unsigned>();
      if (item.contains("inputs")) {
        auto const inputs = item["inputs"].get<std::vector<std::string>>();
        if (std::any_of(inputs.begin(), inputs.end(), [&](auto const& aHandle) { return !aWorld.Exists(aHandle); })) {
          items.push_back({ { "reason", "gone" } });
          continue;
        }
        CheckInputs(aWorld, inputs, requestId, { stage - 1 }, "a piece of stage " + std::to_string(stage));
      }
      bool const fails =
        aWorld.stageFails && aWorld.silentBegun && !aWorld.stageFailed && requestId == aWorld.troubled && stage == 3;
      if (fails && failures < kFailedItems) {
        ++failures;
        items.push_back({ { "reason", "error" } });
        continue;
      }
      auto const handle = aAddress.Text() + "/" + std::to_string(++aWorld.lastResult);
      aWorld.results[handle] = {
        requestId, stage, item["segment"].get<unsigned>(), false, std::chrono::steady_clock::now() + kHandleLifetime
      };
      items.push_back({ { "handle_id", handle } });
    }
    aWorld.stageFailed = aWorld.stageFailed || failures > 0;
    auto const& first = body["items"][0];
    text = "stage endpoint " + aAddress.Text() + ": " + std::to_string(items.size()) + " pieces, the first of stage " +
           std::to_string(first["phase"].get<unsigned>()) + " of " + first["id"].get<std::string>() +
           (failures > 0 ? "; " + std::to_string(failures) + " fail" : "");
  }
  aWorld.record.Line(text);
  return aConnection.Write(
    EncodeAnswer(200, idField + "Content-Type: application/json\r\n", json({ { "items", items } }).dump()));
}

std::string
EventOf(unsigned aNumber)
{
  return "id: " + std::to_string(aNumber) + "\ndata: token " + std::to_string(aNumber) + "\n\n";
}

bool
RunModel(World& aWorld, std::string const& aName, Connection& aConnection, Message const& aRequest)
{
  auto const id = aRequest.Field("Hornbeamfront-Request-Id");
  auto const idField = "Hornbeamfront-Request-Id: " + id + "\r\n";
  auto const handles = Split(aRequest.Field("Hornbeamfront-Inputs"));
  auto const last = unsigned(std::atoi(aRequest.Field("Last-Event-Id").c_str()));
  bool silent = false;
  {
    std::unique_lock guard(aWorld.mutex);
    bool const gone =
      std::any_of(handles.begin(), handles.end(), [&](auto const& aHandle) { return !aWorld.Exists(aHandle); });
    if (handles.empty() || gone) {
      guard.unlock();
      aWorld.record.Line("model endpoint " + aName + " rejects " + id +
                         (gone ? ": an input is gone (409)" : ": no inputs (400)"));
      return aConnection.Write(EncodeAnswer(gone ? 409 : 400, idField + "Hornbeamfront-Not-Executed: 1\r\n", ""));
    }
    auto const text = CheckInputs(aWorld, handles, id, { 0, 3 }, "model endpoint " + aName);
    aWorld.record.Line("model endpoint " + aName + " runs " + id + " after event " + std::to_string(last) + " with " +
                       text);
    silent = id == aWorld.troubled && !aWorld.silentBegun;
  }
  // Neither a length nor chunks: the answer ends with its connection.
  aConnection.Write("HTTP/1.1 200 OK\r\n" + idField + "Hornbeamfront-Response-Signature: 3e1b." + aName +
                    "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
  for (unsigned number = last + 1; number <= kEvents; ++number) {
    std::this_thread::sleep_for(kEventInterval);
    if (!aConnection.Write(EventOf(number)))
      return false;
    if (!silent || number != kEventsBeforeSilence)
      continue;
    aWorld.record.Line("model endpoint " + aName + " falls silent after event " + std::to_string(number));
    std::unique_lock guard(aWorld.mutex);
    aWorld.silentBegun = true;
    aWorld.silent = aName;
    if (aWorld.changed.wait_for(guard, kSilence, [&] { return aWorld.crashed; }))
      return false;
  }
  return false;
}

json
Table()
{
  auto const stage = [](std::string const& aService, json aAfter, unsigned aBytes) {
    return json{ { "service", aService }, { "after", std::move(aAfter) }, { "size_bytes", aBytes } };
  };
  json const route{ { "name", "steward-chat" },
                    { "host", "h.example" },
                    { "path_prefix", "/chat/" },
                    { "type", "streaming" },
                    { "timeout_ms", 20000 },
                    { "target_latency_ms", 1900 },
                    { "priority", 2 },
                    { "service", "cellar-model" },
                    { "max_attempts", 2 },
                    { "public", false },
                    { "session_affinity", true },
                    { "resumable", true },
                    { "target_itl_ms", 300 },
                    { "phases",
                      json::array({ stage("member-roll", json::array(), 150000),
                                    stage("member-roll", json::array(), 8000),
                                    stage("cask-inventory", json::array({ 1 }), 60000),
                                    stage("gate-pass", json::array({ 2 }), 6000) }) } };
  auto const stageService = [](std::string const& aName, unsigned aBatch, double aMegabytes) {
    return json{ { "name", aName },
                 { "health_path", "/healthz" },
                 { "max_connections", 620 },
                 { "segments",
                   { { "slots", 1 },
                     { "queue", 2 },
                     { "batch", aBatch },
                     { "call_ms", 200.0 },
                     { "item_ms", 0.1 },
                     { "headroom_mb", aMegabytes },
                     { "handle_ttl_s", 4.0 },
                     { "link_mbps", 10000 } } } };
  };
  json const model{ { "name", "cellar-model" },
                    { "health_path", "/healthz" },
                    { "max_connections", 620 },
                    { "cold_start_s", 0.0 },
                    { "engine", { { "slots", 128 } } } };
  return { { "version", 3 },
           { "route_table", json::array({ route }) },
           { "services",
             json::array({ model,
                           stageService("member-roll", 8, 18.0),
                           stageService("cask-inventory", 20, 2.7),
                           stageService("gate-pass", 34, 0.45) }) },
           { "limits",
             { { "max_header_bytes", 16384 },
               { "max_body_bytes", 4194304 },
               { "header_timeout_ms", 3000 },
               { "idle_timeout_ms", 15000 } } },
           { "tenants", json::array({ { { "name", "members" }, { "api_keys", json::array({ "key-1" }) } } }) } };
}

std::string
RequestOf(std::string const& aId)
{
  std::string pieces;
  for (auto const count : kPieces)
    pieces += (pieces.empty() ? "" : ",") + std::to_string(count);
  std::string const body = "a question of a steward";
  return "POST /chat/1 HTTP/1.1\r\nHost: h.example\r\nHornbeamfront-Request-Id: " + aId +
         "\r\nHornbeamfront-Model: m\r\nHornbeamfront-Token-Usage: 715,279\r\n"
         "Hornbeamfront-Prefix-Hash: 5c1e07a2:103,91bd3f06:69,e4402b7d:543\r\nHornbeamfront-Deadline-Ms: 20000\r\n"
         "Hornbeamfront-Chunks: " +
         pieces + "\r\nHornbeamfront-Chunk-Key: 7c1e07a291bd\r\nAuthorization: Bearer key-1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string
Describe(Answer const& aAnswer)
{
  auto const& body = aAnswer.message.body;
  std::size_t events = 0;
  for (auto position = body.find("id: "); position != std::string::npos; position = body.find("id: ", position + 1))
    ++events;
  return "status " + std::to_string(aAnswer.status) + ", complete " + std::to_string(aAnswer.complete) + ", " +
         std::to_string(events) + " of " + std::to_string(kEvents) + " events" +
         (aAnswer.end.empty() ? "" : ", the connection was " + aAnswer.end);
}

/// Adds endpoints of a service to the store.
template<typename Serve>
void
AddEndpoints(Deployment& aDeployment,
             std::vector<std::unique_ptr<Server>>& aServers,
             std::string const& aService,
             unsigned aNetwork,
             unsigned aCount,
             unsigned aSlots,
             Serve aServe)
{
  static std::vector<std::string> const zones{ "suva-a", "suva-b", "nadi-a" };
  for (unsigned index = 0; index < aCount; ++index) {
    auto const ip = "127.0." + std::to_string(aNetwork) + "." + std::to_string(index + 1);
    Address const address{ ip, FreePort({ ip }) };
    auto const id = "i-" + aService + "-" + std::to_string(index + 1);
    aServers.push_back(std::make_unique<Server>(address, aServe(id, address)));
    aDeployment.store->Put("servers", id, EndpointEntry(aService, address, zones[index % 3], aSlots));
  }
}

int
Run(std::string const& aFolder, Record& aRecord)
{
  // They live as long as the process: threads use them to the end.
  auto& world = *new World(aRecord);
  auto& deployment = *new Deployment({ "suva-a", "suva-b", "nadi-a" }, aFolder);
  auto& servers = *new std::vector<std::unique_ptr<Server>>;
  deployment.store->Put("config", "main", Table());
  auto const asStage = [&](std::string const&, Address const& aAddress) {
    return [&world, aAddress](Connection& aConnection, Message const& aRequest) {
      return RunStage(world, aAddress, aConnection, aRequest);
    };
  };
  auto const asModel = [&](std::string const& aId, Address const&) {
    return [&world, aId](Connection& aConnection, Message const& aRequest) {
      return RunModel(world, aId, aConnection, aRequest);
    };
  };
  AddEndpoints(deployment, servers, "cellar-model", 23, kModels, 128, asModel);
  AddEndpoints(deployment, servers, "member-roll", 24, 5, 1, asStage);
  AddEndpoints(deployment, servers, "cask-inventory", 25, 5, 1, asStage);
  AddEndpoints(deployment, servers, "gate-pass", 26, 5, 1, asStage);
  if (!deployment.Start()) {
    aRecord.Line("the fronts did not start");
    return kExitNotRun;
  }
  for (std::string const id : { "calm-1", "calm-2" }) {
    auto const calm = Call(deployment.CallersOf(0), RequestOf(id), 10s);
    aRecord.Line("the caller of " + id + " got " + Describe(calm));
    if (calm.status != 200 || !calm.complete)
      return kExitNotRun;
  }
  std::string const id = "request-1";
  if (HasTrouble()) {
    std::lock_guard const guard(world.mutex);
    world.troubled = id;
    auto const* const kind = std::getenv("TROUBLE");
    world.stageFails = kind != nullptr && std::string(kind) == "stage";
    for (auto const& server : servers)
      for (unsigned number = 1; number <= kModels; ++number)
        if (server->address.ip == "127.0.23." + std::to_string(number))
          world.models["i-cellar-model-" + std::to_string(number)] = server.get();
  }
  aRecord.Line("POST " + id + " is sent to " + deployment.fronts[0]->name);
  auto const answer = Call(deployment.CallersOf(0), RequestOf(id), 20s);
  aRecord.Line("the caller of " + id + " got " + Describe(answer));
  std::lock_guard const guard(world.mutex);
  if (HasTrouble() && !world.crashed && !world.stageFailed) {
    aRecord.Line("the disruption did not come about");
    return kExitNotRun;
  }
  aRecord.Line(world.violations.empty() ? "MIXED held" : "MIXED broken");
  return world.violations.empty() ? kExitHeld : kExitBroken;
}

}

int
main()
{
  std::signal(SIGPIPE, SIG_IGN);
  LimitTime(100s);
  TemporaryFolder const folder;
  Record record("review/7/record.txt");
  auto const result = Run(folder.path, record);
  folder.Remove();
  Finish(result);
}
