// A release brings a second software version while the store turns one front away. Then another front is killed, and
// clients take their streams up at the fronts that are left.

#include "review/common/Pipeline.h"
#include "review/common/StandIns.h"

using namespace Review;

static constexpr unsigned kEvents = 60;
static constexpr auto kEventTime = 100ms;

static json
Table()
{
  json const route{ { "name", "chat" },      { "host", "pipeline.example" }, { "path_prefix", "/chat/" },
                    { "type", "streaming" }, { "timeout_ms", 20000 },        { "target_latency_ms", 1900 },
                    { "priority", 2 },       { "service", "model" },         { "max_attempts", 2 },
                    { "public", false },     { "session_affinity", true },   { "resumable", true },
                    { "target_itl_ms", 300 } };
  json const model{ { "name", "model" },        { "health_path", "/healthz" },
                    { "max_connections", 620 }, { "protocol", "h1" },
                    { "tls", false },           { "cold_start_s", 0.0 },
                    { "cold_per_s", 0.0 },      { "engine", { { "slots", 128 } } } };
  return { { "version", 7 },
           { "route_table", json::array({ route }) },
           { "services", json::array({ model }) },
           { "limits", Limits() },
           { "tenants", Tenants() } };
}

/// A model server of one software version. Its events name the version.
class VersionedServer
{
public:
  VersionedServer(std::string aId, std::string aVersion, Record& aRecord)
    : id(std::move(aId))
    , version(std::move(aVersion))
    , record(aRecord)
  {
    this->server.Start([this](std::shared_ptr<Connection> const& aConnection) {
      while (auto const request = aConnection->Read())
        if (!this->Handle(*aConnection, *request))
          return;
    });
  }

  json MakeEntry() const { return Entry("model", this->server.Address(), 128, this->version); }
  std::string const& Id() const { return this->id; }

private:
  bool Handle(Connection& aConnection, Message const& aRequest)
  {
    auto const request = aRequest.Field("hornbeamfront-request-id");
    auto const head = "Hornbeamfront-Request-Id: " + request + "\r\n";
    if (aRequest.Field("hornbeamfront-expected-instance") != this->id)
      return aConnection.Send(Answer(421, head, ""));
    auto const last = std::atoi(aRequest.Field("last-event-id").c_str());
    this->record.Note(this->id + " (" + this->version + ") runs " + request + " after event " + std::to_string(last));
    Pause(150ms);
    if (!aConnection.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
                          head + "Hornbeamfront-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n"))
      return false;
    for (unsigned event = unsigned(last) + 1; event <= kEvents; ++event) {
      if (!aConnection.Send(Chunk("id: " + std::to_string(event) + "\ndata: " + this->version + "\n\n")))
        return false;
      Pause(kEventTime);
    }
    return aConnection.Send("0\r\n\r\n");
  }

  std::string const id;
  std::string const version;
  Record& record;
  Server server;
};

struct Outcome
{
  std::atomic<unsigned> streams{ 0 };
  std::atomic<unsigned> whole{ 0 };
  std::atomic<unsigned> takenUp{ 0 };
  std::atomic<unsigned> refused{ 0 };
  std::atomic<unsigned> ofTwoVersions{ 0 };
};

/// Reads the events of an answer; returns whether it ended regularly.
static bool
ReadEvents(Connection& aConnection, unsigned& aLast, std::vector<std::string>& aVersions)
{
  std::string text;
  while (true) {
    auto const size = aConnection.ReadLine();
    if (!size)
      return false;
    auto const count = std::strtoul(size->c_str(), nullptr, 16);
    auto const chunk = aConnection.ReadBytes(count + 2);
    if (!chunk)
      return false;
    if (count == 0)
      return true;
    text += chunk->substr(0, count);
    for (auto end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n")) {
      aLast = unsigned(std::atoi(text.c_str() + 4));
      aVersions.push_back(text.substr(text.find("data: ") + 6, end - text.find("data: ") - 6));
      text.erase(0, end + 2);
    }
  }
}

/// One stream with the tries of its client: the first at a front, the next at others while the stream is not whole.
static void
RunStream(std::vector<std::string> const& aAddresses, Record& aRecord, Outcome& aOutcome)
{
  unsigned last = 0;
  std::vector<std::string> versions;
  std::string began;
  bool whole = false;
  for (std::size_t attempt = 0; attempt < aAddresses.size() && !whole; ++attempt) {
    auto const connection = Connection::Open(aAddresses[attempt]);
    if (!connection)
      continue;
    connection->SetTimeout(3000ms);
    StreamRequest const request{ NextRequestId(), "/chat/1", "", 20000ms };
    auto bytes = Encode(request);
    if (!began.empty()) {
      bytes.insert(bytes.find("Authorization"),
                   "Last-Event-Id: " + std::to_string(last) + "\r\nResumes: " + began + "\r\n");
      ++aOutcome.takenUp;
      aRecord.Note("client takes " + began + " up with " + request.id + " after event " + std::to_string(last));
    }
    auto const head = connection->Send(bytes) ? connection->ReadHead() : std::nullopt;
    if (!head || head->Status() != 200) {
      aRecord.Note("client gets " + request.id + " " + (head ? std::to_string(head->Status()) : "no answer"));
      aOutcome.refused += head && head->Status() == 503 ? 1 : 0;
      continue;
    }
    auto const before = versions.size();
    whole = ReadEvents(*connection, last, versions);
    if (began.empty() && versions.size() > before)
      began = request.id;
    aRecord.Note("client gets " + request.id + " 200 with " + std::to_string(versions.size() - before) + " events of " +
                 (versions.size() > before ? versions.back() : "none") + (whole ? ", whole" : ", broken off"));
  }
  ++aOutcome.streams;
  aOutcome.whole += whole ? 1 : 0;
  if (std::ranges::any_of(versions, [&](auto const& aVersion) { return aVersion != versions.front(); })) {
    ++aOutcome.ofTwoVersions;
    aRecord.Note("ORDER: the stream of " + began + " holds events of two software versions");
  }
}

static int
Run(Record& aRecord, std::string const& aTrouble)
{
  Deployment deployment;
  std::vector<CheckIn> checkIns;
  auto const add = [&](std::string const& aId, std::string const& aVersion) {
    auto& server = *new VersionedServer(aId, aVersion, aRecord);
    checkIns.emplace_back(deployment.store, aId, server.MakeEntry());
  };
  add("i-model-1", "v1");
  add("i-model-2", "v1");
  deployment.store.Put("config", "main", Table());
  if (!deployment.StartFronts(3)) {
    aRecord.Note("the fronts did not become ready");
    return 2;
  }
  auto const& fronts = deployment.fronts;
  if (aTrouble == "1") {
    aRecord.Note("the store turns " + fronts[0]->name + " away and serves the others");
    deployment.store.SetClosed(fronts[0]->door, true);
  }
  Pause(500ms);
  aRecord.Note("a release adds two servers of version v2");
  add("i-model-3", "v2");
  add("i-model-4", "v2");
  Pause(3000ms);
  // Clients of the second front; their next tries go to the first front or to the third.
  auto& outcome = *new Outcome;
  std::vector<std::thread> clients;
  for (unsigned index = 0; index < 24; ++index)
    clients.emplace_back([&, index] {
      auto const& other = fronts[index % 2 == 0 ? 0 : 2]->callers;
      RunStream({ fronts[1]->callers, other }, aRecord, outcome);
    });
  Pause(2000ms);
  if (aTrouble != "0") {
    aRecord.Note(fronts[1]->name + " is killed");
    fronts[1]->Signal(SIGKILL);
  }
  for (auto& client : clients)
    client.join();
  aRecord.Note("streams " + std::to_string(outcome.streams) + ", whole " + std::to_string(outcome.whole) +
               ", take-ups " + std::to_string(outcome.takenUp) + ", refused " + std::to_string(outcome.refused) +
               ", of two versions " + std::to_string(outcome.ofTwoVersions));
  if (outcome.whole == 0 && outcome.ofTwoVersions == 0)
    return 2;
  return outcome.ofTwoVersions > 2 ? 1 : 0;
}

int
main(int aCount, char** aArguments)
{
  auto const* const trouble = std::getenv("TROUBLE");
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Finish(Run(record, trouble == nullptr ? "1" : trouble));
}
