// A client sends a request with many pieces, while others have plain requests in flight at the same front.

#include "review/common/Pipeline.h"

using namespace Review;

static json
Service(std::string const& aName)
{
  return { { "name", aName }, { "health_path", "/healthz" }, { "max_connections", 620 }, { "protocol", "h1" },
           { "tls", false },  { "cold_start_s", 0.0 },       { "cold_per_s", 0.0 } };
}

static json
Route(std::string const& aName, std::string const& aPrefix, std::string const& aType, std::string const& aService)
{
  return { { "name", aName },   { "host", "pipeline.example" }, { "path_prefix", aPrefix },
           { "type", aType },   { "timeout_ms", 20000 },        { "target_latency_ms", 1900 },
           { "priority", 2 },   { "service", aService },        { "max_attempts", 2 },
           { "public", false }, { "session_affinity", false } };
}

static json
Table()
{
  auto chat = Route("chat", "/chat/", "streaming", "model");
  chat["phases"] = json::array({ { { "service", "encode" }, { "after", json::array() }, { "size_bytes", 6000 } } });
  chat["session_affinity"] = true;
  chat["resumable"] = true;
  chat["target_itl_ms"] = 300;
  auto const redeem = Route("redeem", "/redeem/", "unsafe", "ledger");
  auto encode = Service("encode");
  encode["segments"] = { { "slots", 1 },     { "queue", 2 },          { "batch", 76 },         { "call_ms", 200.0 },
                         { "item_ms", 2.3 }, { "headroom_mb", 10.0 }, { "handle_ttl_s", 4.0 }, { "link_mbps", 10000 } };
  auto model = Service("model");
  model["engine"] = { { "slots", 128 } };
  return { { "version", 7 },
           { "route_table", json::array({ chat, redeem }) },
           { "services", json::array({ model, encode, Service("ledger") }) },
           { "limits", Limits() },
           { "tenants", Tenants() } };
}

/// A server of a plain service, which works for 300 ms on a request.
class LedgerServer
{
public:
  LedgerServer(std::string aId, Record& aRecord)
    : id(std::move(aId))
    , record(aRecord)
  {
  }

  void Start()
  {
    this->server.Start([this](std::shared_ptr<Connection> const& aConnection) {
      while (auto const request = aConnection->Read()) {
        auto const name = request->Field("hornbeamfront-request-id");
        auto const head = "Hornbeamfront-Request-Id: " + name + "\r\n";
        if (request->Field("hornbeamfront-expected-instance") != this->id) {
          if (!aConnection->Send(Answer(421, head, "")))
            return;
          continue;
        }
        this->record.Note(this->id + " runs " + name);
        {
          std::lock_guard const lock(this->mutex);
          this->ran.insert(name);
        }
        Pause(300ms);
        if (!aConnection->Send(
              Answer(200, head + "Hornbeamfront-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", "done")))
          return;
      }
    });
  }

  bool HasRun(std::string const& aRequest)
  {
    std::lock_guard const lock(this->mutex);
    return this->ran.contains(aRequest);
  }

  std::string const& Address() const { return this->server.Address(); }

private:
  std::string const id;
  Record& record;
  std::mutex mutex;
  std::set<std::string> ran;
  Server server;
};

/// Plain requests of clients that keep their connections.
struct PlainClients
{
  std::atomic<bool> stop{ false };
  std::atomic<unsigned> served{ 0 };
  std::mutex mutex;
  /// Requests whose connection ended without an answer.
  std::vector<std::string> unanswered;

  void Run(std::string const& aAddress, Record& aRecord)
  {
    std::shared_ptr<Connection> connection;
    bool kept = false;
    while (!this->stop) {
      if (!connection) {
        connection = Connection::Open(aAddress);
        kept = false;
      }
      if (!connection) {
        Pause(100ms);
        continue;
      }
      connection->SetTimeout(3000ms);
      auto const id = NextRequestId();
      auto const answer = connection->Send("POST /redeem/1 HTTP/1.1\r\nHost: pipeline.example\r\n"
                                           "Hornbeamfront-Request-Id: " +
                                           id +
                                           "\r\nHornbeamfront-Deadline-Ms: 2500\r\nAuthorization: Bearer key-1\r\n"
                                           "Content-Length: 4\r\n\r\npour")
                            ? connection->Read()
                            : std::nullopt;
      aRecord.Note("plain client gets " + id + " " + (answer ? std::to_string(answer->Status()) : "no answer"));
      if (answer && answer->Status() == 200)
        ++this->served;
      if (!answer) {
        std::lock_guard const lock(this->mutex);
        if (kept)
          this->unanswered.push_back(id);
      }
      kept = true;
      if (!answer || answer->Field("connection") == "close")
        connection.reset();
    }
  }
};

/// Sends the request at one front after the other until it is answered with success; clients retry once.
static unsigned
SendPipelineRequest(Deployment& aDeployment, Record& aRecord, std::string const& aChunks)
{
  unsigned served = 0;
  for (unsigned attempt = 0; attempt < 2 && served == 0; ++attempt) {
    StreamRequest const request{ NextRequestId(), "/chat/1", aChunks, 20000ms };
    auto const connection = Connection::Open(aDeployment.fronts[attempt]->callers);
    if (!connection)
      continue;
    connection->SetTimeout(21000ms);
    aRecord.Note("client sends " + request.id + " with " + aChunks + " pieces to " + aDeployment.fronts[attempt]->name);
    auto const answer = connection->Send(Encode(request)) ? connection->Read() : std::nullopt;
    aRecord.Note("client gets " + request.id + " " + (answer ? std::to_string(answer->Status()) : "no answer"));
    served += answer && answer->Status() == 200 ? 1 : 0;
  }
  return served;
}

static int
Run(Record& aRecord, std::string const& aTrouble)
{
  Deployment deployment;
  auto& results = *new Results;
  auto& stageServers = *new std::vector<std::unique_ptr<StageServer>>;
  auto& model = *new ModelServer("i-model-1", results, aRecord);
  auto& ledger = *new LedgerServer("i-ledger-1", aRecord);
  std::vector<CheckIn> checkIns;
  for (unsigned index = 1; index <= 6; ++index) {
    auto const id = "i-encode-" + std::to_string(index);
    stageServers.push_back(std::make_unique<StageServer>(id, results, aRecord, StageTimes{ 76, 200000us, 2300us }));
    stageServers.back()->Start();
    checkIns.emplace_back(deployment.store, id, Entry("encode", stageServers.back()->Address(), 1));
  }
  model.Start();
  ledger.Start();
  checkIns.emplace_back(deployment.store, "i-model-1", Entry("model", model.Address(), 128));
  checkIns.emplace_back(deployment.store, "i-ledger-1", Entry("ledger", ledger.Address(), 64));
  deployment.store.Put("config", "main", Table());
  if (!deployment.StartFronts(3)) {
    aRecord.Note("the fronts did not become ready");
    return 2;
  }
  auto& plain = *new PlainClients;
  std::vector<std::thread> clients;
  for (unsigned index = 0; index < 18; ++index)
    clients.emplace_back([&, index] { plain.Run(deployment.fronts[index % 3]->callers, aRecord); });
  Pause(3000ms);
  auto const* const chunks = aTrouble == "0" ? "200" : aTrouble == "malformed" ? "4294967295" : "2600";
  auto const served = SendPipelineRequest(deployment, aRecord, chunks);
  Pause(2000ms);
  plain.stop = true;
  for (auto& client : clients)
    client.join();
  unsigned ended = 0;
  for (auto const& front : deployment.fronts)
    if (auto const end = front->Ended()) {
      ++ended;
      aRecord.Note(front->name + " ended by itself: " + *end);
    }
  unsigned lost = 0;
  for (auto const& id : plain.unanswered)
    lost += ledger.HasRun(id) ? 1 : 0;
  aRecord.Note("pipeline requests served " + std::to_string(served) + ", plain requests served " +
               std::to_string(plain.served) + ", passed on from a kept connection and lost " + std::to_string(lost) +
               ", fronts that ended by themselves " + std::to_string(ended));
  if (plain.served < 50)
    return 2;
  return lost > 3 ? 1 : 0;
}

int
main(int aCount, char** aArguments)
{
  auto const* const trouble = std::getenv("TROUBLE");
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Finish(Run(record, trouble == nullptr ? "1" : trouble));
}
