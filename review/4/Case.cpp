// Model servers under load: one preempts a stream for two seconds, the other has no place. Before, the fronts got
// SIGHUP.

#include "review/common/Pipeline.h"
#include <array>

using namespace Review;

static constexpr unsigned kEvents = 30;
static constexpr unsigned kSlots = 8;
static constexpr unsigned kQueue = 2;

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
                    { "cold_per_s", 0.0 },      { "engine", { { "slots", kSlots } } } };
  return { { "version", 7 },
           { "route_table", json::array({ route }) },
           { "services", json::array({ model }) },
           { "limits", Limits() },
           { "tenants", Tenants() } };
}

/// A sound model server with a few slots and a short queue. While more streams run than its memory holds, it preempts
/// the newest one in the middle and goes on with it two seconds later.
class LoadedServer
{
public:
  LoadedServer(std::string aId, Record& aRecord, bool aPreempts)
    : id(std::move(aId))
    , record(aRecord)
    , preempts(aPreempts)
  {
    this->server.Start([this](std::shared_ptr<Connection> const& aConnection) {
      while (auto const request = aConnection->Read())
        if (!this->Handle(*aConnection, *request))
          return;
    });
  }

  std::string const& Address() const { return this->server.Address(); }

private:
  static constexpr unsigned kStreamsInMemory = kSlots - 2;

  bool Handle(Connection& aConnection, Message const& aRequest)
  {
    auto const request = aRequest.Field("hornbeamfront-request-id");
    auto const head = "Hornbeamfront-Request-Id: " + request + "\r\n";
    if (aRequest.Field("hornbeamfront-expected-instance") != this->id)
      return aConnection.Send(Answer(421, head, ""));
    std::unique_lock lock(this->mutex);
    if (this->present >= kSlots + kQueue) {
      lock.unlock();
      return this->Reject(aConnection, request, head);
    }
    ++this->present;
    while (this->running >= kSlots) {
      this->left.wait_for(lock, 50ms);
      if (!aConnection.IsClosed())
        continue;
      --this->present;
      return false;
    }
    auto const runs = ++this->running;
    lock.unlock();
    bool const sent = this->Stream(aConnection, aRequest, head, runs > kStreamsInMemory);
    lock.lock();
    --this->running;
    --this->present;
    this->left.notify_one();
    return sent;
  }

  bool Reject(Connection& aConnection, std::string const& aRequest, std::string const& aHead)
  {
    this->record.Note(this->id + " is full and rejects " + aRequest);
    return aConnection.Send(Answer(503, aHead + "Hornbeamfront-Not-Executed: 1\r\n", ""));
  }

  bool Stream(Connection& aConnection, Message const& aRequest, std::string const& aHead, bool aPreempted)
  {
    auto const request = aRequest.Field("hornbeamfront-request-id");
    auto const last = unsigned(std::atoi(aRequest.Field("last-event-id").c_str()));
    this->record.Note(this->id + " runs " + request + " after event " + std::to_string(last));
    Pause(150ms);
    if (!aConnection.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" +
                          aHead + "Hornbeamfront-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n"))
      return false;
    for (unsigned event = last + 1; event <= kEvents; ++event) {
      if (this->preempts && aPreempted && event == last + 5) {
        this->record.Note(this->id + " preempts " + request);
        // A server drops a request whose connection closes.
        for (unsigned step = 0; step < 40 && !aConnection.IsClosed(); ++step)
          Pause(50ms);
      }
      if (!aConnection.Send(Chunk("id: " + std::to_string(event) + "\ndata: " + request + "\n\n"))) {
        this->record.Note(this->id + " sees the connection of " + request + " closed");
        return false;
      }
      Pause(100ms);
    }
    return aConnection.Send("0\r\n\r\n");
  }

  std::string const id;
  Record& record;
  bool const preempts;
  std::mutex mutex;
  std::condition_variable left;
  /// The requests that run, and with them those that wait.
  unsigned running{ 0 };
  unsigned present{ 0 };
  Server server;
};

struct Counts
{
  std::atomic<unsigned> sent{ 0 };
  std::atomic<unsigned> whole{ 0 };
  std::atomic<unsigned> refused{ 0 };
  /// On a kept connection that the front closed without a complete answer.
  std::atomic<unsigned> cut{ 0 };
  /// Of these, sent up to two seconds after a SIGHUP of the front.
  std::atomic<unsigned> cutAfterReload{ 0 };
};

/// The time of a front's last SIGHUP, in milliseconds since the start of the case.
using ReloadTime = std::atomic<long>;

static void
RunClient(std::string const& aAddress,
          Record& aRecord,
          Counts& aCounts,
          ReloadTime const& aReload,
          SteadyClock::time_point aEnd)
{
  static constexpr long kConfigApplyMs = 2000;
  std::shared_ptr<Connection> connection;
  bool kept = false;
  while (SteadyClock::now() < aEnd) {
    if (!connection) {
      connection = Connection::Open(aAddress);
      kept = false;
    }
    if (!connection)
      return;
    // Longer than four times the objective, after which clients abandon a stream.
    connection->SetTimeout(8000ms);
    auto const id = NextRequestId();
    StreamRequest const request{ id, "/chat/1", "", 20000ms, "5c1e" + id.substr(8) };
    ++aCounts.sent;
    bool const afterReload = aReload != 0 && aRecord.Milliseconds() - aReload <= kConfigApplyMs;
    auto const head = connection->Send(Encode(request)) ? connection->ReadHead() : std::nullopt;
    bool whole = false;
    std::size_t bytes = 0;
    while (head && head->Status() == 200 && !whole) {
      auto const size = connection->ReadLine();
      auto const count = size ? std::strtoul(size->c_str(), nullptr, 16) : 0;
      if (!size || !connection->ReadBytes(count + 2))
        break;
      bytes += count;
      whole = count == 0;
    }
    if (head && head->Status() != 200)
      connection->ReadBytes(std::strtoul(head->Field("content-length").c_str(), nullptr, 10));
    aRecord.Note("client gets " + id + " " + (head ? std::to_string(head->Status()) : "no answer") + ", " +
                 std::to_string(bytes) + " bytes" + (whole ? ", whole" : ", not whole") +
                 (afterReload ? ", sent after SIGHUP" : ""));
    aCounts.whole += whole ? 1 : 0;
    aCounts.refused += head && head->Status() == 503 ? 1 : 0;
    bool const cut = !head || (head->Status() == 200 && !whole);
    aCounts.cut += cut && kept ? 1 : 0;
    aCounts.cutAfterReload += cut && kept && afterReload ? 1 : 0;
    kept = true;
    if (cut || head->Field("connection") == "close")
      connection.reset();
    if (!whole)
      Pause(300ms);
  }
}

static int
Run(Record& aRecord, bool aTrouble)
{
  Deployment deployment;
  std::vector<CheckIn> checkIns;
  for (auto const* id : { "i-model-1", "i-model-2" }) {
    auto& server = *new LoadedServer(id, aRecord, aTrouble);
    checkIns.emplace_back(deployment.store, id, Entry("model", server.Address(), kSlots));
  }
  deployment.store.Put("config", "main", Table());
  if (!deployment.StartFronts(3)) {
    aRecord.Note("the fronts did not become ready");
    return 2;
  }
  Counts counts;
  std::array<ReloadTime, 3> reloads{};
  auto const end = SteadyClock::now() + 40s;
  std::vector<std::thread> clients;
  for (unsigned index = 0; index < 2 * (kSlots + kQueue); ++index)
    clients.emplace_back(
      [&, index] { RunClient(deployment.fronts[index % 3]->callers, aRecord, counts, reloads[index % 3], end); });
  for (unsigned reload = 0; reload < 9; ++reload) {
    Pause(3000ms);
    auto const& front = deployment.fronts[reload % 3];
    aRecord.Note(front->name + " gets SIGHUP");
    front->Signal(SIGHUP);
    reloads[reload % 3] = aRecord.Milliseconds();
  }
  for (auto& client : clients)
    client.join();
  aRecord.Note("sent " + std::to_string(counts.sent) + ", whole " + std::to_string(counts.whole) + ", refused " +
               std::to_string(counts.refused) + ", cut " + std::to_string(counts.cut) + ", of them sent after SIGHUP " +
               std::to_string(counts.cutAfterReload));
  if (counts.whole < 30)
    return 2;
  return counts.cutAfterReload > 0 ? 1 : 0;
}

int
main(int aCount, char** aArguments)
{
  auto const* const trouble = std::getenv("TROUBLE");
  Record record(aCount > 1 ? aArguments[1] : "record.txt");
  Finish(Run(record, trouble == nullptr || std::string(trouble) != "0"));
}
