#pragma once

// Stand-ins of the cases: the platform's store, servers and clients on loopback addresses, and the front processes.
// One thread serves each connection. Everything ends with the process of the case.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review {

using nlohmann::json;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

inline void
Pause(std::chrono::milliseconds aTime)
{
  std::this_thread::sleep_for(aTime);
}

/// Writes what was sent, answered and run, with the milliseconds since the start of the case.
class Record
{
public:
  explicit Record(std::string const& aFile)
    : file(aFile)
  {
  }

  void Note(std::string const& aLine)
  {
    std::lock_guard const lock(this->mutex);
    this->file << this->Milliseconds() << ' ' << aLine << '\n' << std::flush;
  }

  long Milliseconds() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(SteadyClock::now() - this->start).count();
  }

private:
  std::mutex mutex;
  std::ofstream file;
  SteadyClock::time_point start{ SteadyClock::now() };
};

using Fields = std::map<std::string, std::string>;

struct Message
{
  /// The request line or the status line.
  std::string first;
  /// Names are in lower case.
  Fields fields;
  std::string body;

  std::string Field(std::string const& aName) const
  {
    auto const found = this->fields.find(aName);
    return found == this->fields.end() ? "" : found->second;
  }
  std::string Method() const { return this->first.substr(0, this->first.find(' ')); }
  std::string Target() const
  {
    auto const begin = this->first.find(' ') + 1;
    return this->first.substr(begin, this->first.find(' ', begin) - begin);
  }
  int Status() const { return this->first.size() < 12 ? 0 : std::atoi(this->first.c_str() + 9); }
};

/// A connection with blocking reads; it closes its socket.
class Connection
{
public:
  explicit Connection(int aDescriptor)
    : descriptor(aDescriptor)
  {
    int const on = 1;
    setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  Connection(Connection const&) = delete;
  Connection& operator=(Connection const&) = delete;
  ~Connection() { close(this->descriptor); }

  static std::shared_ptr<Connection> Open(std::string const& aAddress)
  {
    auto const colon = aAddress.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(std::atoi(aAddress.c_str() + colon + 1)));
    inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
    int const descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
      return nullptr;
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      close(descriptor);
      return nullptr;
    }
    return std::make_shared<Connection>(descriptor);
  }

  void SetTimeout(std::chrono::milliseconds aTime) const
  {
    timeval const value{ aTime.count() / 1000, (aTime.count() % 1000) * 1000 };
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
  }

  bool Send(std::string const& aBytes)
  {
    std::lock_guard const lock(this->writing);
    for (std::size_t sent = 0; sent < aBytes.size();) {
      auto const count = send(this->descriptor, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      sent += std::size_t(count);
    }
    return true;
  }

  /// Reads a head and its body; nothing if the connection ends before.
  std::optional<Message> Read()
  {
    auto message = this->ReadHead();
    if (!message)
      return std::nullopt;
    if (message->Field("transfer-encoding") == "chunked") {
      while (true) {
        auto const line = this->ReadLine();
        if (!line)
          return std::nullopt;
        auto const size = std::strtoul(line->c_str(), nullptr, 16);
        auto const chunk = this->ReadBytes(size + 2);
        if (!chunk)
          return std::nullopt;
        if (size == 0)
          return message;
        message->body += chunk->substr(0, size);
      }
    }
    auto const body = this->ReadBytes(std::strtoul(message->Field("content-length").c_str(), nullptr, 10));
    if (!body)
      return std::nullopt;
    message->body = *body;
    return message;
  }

  std::optional<Message> ReadHead()
  {
    auto const first = this->ReadLine();
    if (!first)
      return std::nullopt;
    Message message{ *first, {}, "" };
    while (true) {
      auto const line = this->ReadLine();
      if (!line)
        return std::nullopt;
      if (line->empty())
        return message;
      auto const colon = line->find(':');
      auto name = line->substr(0, colon);
      std::ranges::transform(name, name.begin(), [](unsigned char aByte) { return std::tolower(aByte); });
      auto value = colon == std::string::npos ? "" : line->substr(colon + 1);
      value.erase(0, value.find_first_not_of(' '));
      message.fields[name] = value;
    }
  }

  std::optional<std::string> ReadLine()
  {
    while (true) {
      auto const end = this->buffer.find("\r\n");
      if (end != std::string::npos) {
        auto line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        return line;
      }
      if (!this->Receive())
        return std::nullopt;
    }
  }

  std::optional<std::string> ReadBytes(std::size_t aCount)
  {
    while (this->buffer.size() < aCount)
      if (!this->Receive())
        return std::nullopt;
    auto bytes = this->buffer.substr(0, aCount);
    this->buffer.erase(0, aCount);
    return bytes;
  }

  /// Whether the peer has closed or reset the connection.
  bool IsClosed() const
  {
    pollfd entry{ this->descriptor, POLLRDHUP, 0 };
    return poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  /// Drops what was received and not read yet, and adds its size to aTotal.
  void Discard(std::size_t& aTotal)
  {
    aTotal += this->buffer.size();
    this->buffer.clear();
  }

private:
  bool Receive()
  {
    char bytes[65536];
    auto const count = recv(this->descriptor, bytes, sizeof(bytes), 0);
    if (count <= 0)
      return false;
    this->buffer.append(bytes, std::size_t(count));
    return true;
  }

  int descriptor;
  std::mutex writing;
  std::string buffer;
};

inline std::string
Answer(int aStatus, std::string const& aFields, std::string const& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

inline std::string
JsonAnswer(int aStatus, json const& aBody)
{
  return Answer(aStatus, "Content-Type: application/json\r\n", aBody.dump());
}

inline std::string
Chunk(std::string const& aBytes)
{
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", aBytes.size());
  return size + aBytes + "\r\n";
}

/// A port on the loopback address that was free a moment ago. It lies below the range from which the kernel takes the
/// ports of outgoing connections.
inline std::string
FreeAddress()
{
  static constexpr unsigned kFirst = 20000;
  static constexpr unsigned kCount = 12000;
  static std::atomic<unsigned> next{ unsigned(getpid()) * 41 };
  for (unsigned tries = 0; tries < kCount; ++tries) {
    auto const port = kFirst + next++ % kCount;
    int const descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(std::uint16_t(port));
    bool const bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(descriptor);
    if (bound)
      return "127.0.0.1:" + std::to_string(port);
  }
  return "";
}

/// Listens on a free loopback port and runs the handler in a thread for each connection.
class Server
{
public:
  using Handler = std::function<void(std::shared_ptr<Connection>)>;

  void Start(Handler aHandler)
  {
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    bind(this->listener, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size);
    listen(this->listener, 256);
    this->address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    std::thread([descriptor = this->listener, aHandler = std::move(aHandler)] {
      while (true) {
        int const accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
          return;
        std::thread([aHandler, connection = std::make_shared<Connection>(accepted)] { aHandler(connection); }).detach();
      }
    }).detach();
  }

  std::string const& Address() const { return this->address; }

private:
  int listener{ -1 };
  std::string address;
};

/// The platform's store: objects by kind and name, conditional writes and watches.
class Store
{
public:
  /// The way of one machine to the store, which may turn it away while it serves the others.
  struct Door
  {
    Server server;
    std::atomic<bool> closed{ false };
  };

  /// Opens a door. It stays until the process ends.
  Door& AddDoor()
  {
    auto* const door = new Door;
    door->server.Start([this, door](std::shared_ptr<Connection> const& aConnection) {
      while (auto const request = aConnection->Read())
        if (!aConnection->Send(door->closed ? JsonAnswer(503, json::object()) : this->Handle(*request, *door)))
          return;
    });
    return *door;
  }

  /// Turns the machine of a door away from now on, or serves it again.
  void SetClosed(Door& aDoor, bool aClosed)
  {
    std::lock_guard const lock(this->mutex);
    aDoor.closed = aClosed;
    this->changed.notify_all();
  }

  void Put(std::string const& aKind, std::string const& aName, json aSpec)
  {
    std::lock_guard const lock(this->mutex);
    this->Change(aKind, aName, std::move(aSpec));
  }

  void Remove(std::string const& aKind, std::string const& aName)
  {
    std::lock_guard const lock(this->mutex);
    this->Erase(aKind, aName);
  }

  std::size_t Count(std::string const& aKind)
  {
    std::lock_guard const lock(this->mutex);
    return this->objects[aKind].size();
  }

private:
  struct Object
  {
    json spec;
    std::uint64_t revision{ 0 };
  };
  struct Event
  {
    std::string kind;
    json object;
    bool deleted{ false };
    std::uint64_t revision{ 0 };
  };

  static json Document(std::string const& aName, Object const& aObject)
  {
    return { { "metadata",
               { { "name", aName },
                 { "revision", aObject.revision },
                 { "created", 1 },
                 { "finalizers", json::array() },
                 { "deleting", false } } },
             { "spec", aObject.spec },
             { "status", nullptr } };
  }

  void Change(std::string const& aKind, std::string const& aName, json aSpec)
  {
    auto const found = this->objects[aKind].find(aName);
    if (found != this->objects[aKind].end() && found->second.spec == aSpec)
      return;
    auto& object = this->objects[aKind][aName];
    object = { std::move(aSpec), ++this->revision };
    this->history.push_back({ aKind, Document(aName, object), false, this->revision });
    this->changed.notify_all();
  }

  void Erase(std::string const& aKind, std::string const& aName)
  {
    auto const found = this->objects[aKind].find(aName);
    if (found == this->objects[aKind].end())
      return;
    found->second.revision = ++this->revision;
    this->history.push_back({ aKind, Document(aName, found->second), true, this->revision });
    this->objects[aKind].erase(found);
    this->changed.notify_all();
  }

  static std::string Query(std::string const& aTarget, std::string const& aName)
  {
    for (auto const* mark : { "?", "&" })
      if (auto const found = aTarget.find(mark + aName + "="); found != std::string::npos) {
        auto const begin = found + aName.size() + 2;
        return aTarget.substr(begin, aTarget.find('&', begin) - begin);
      }
    return "";
  }

  std::string Handle(Message const& aRequest, Door const& aDoor)
  {
    auto const target = aRequest.Target();
    auto path = target.substr(0, target.find('?')).substr(std::strlen("/objects/"));
    auto const slash = path.find('/');
    auto const kind = path.substr(0, slash);
    auto const name = slash == std::string::npos ? "" : path.substr(slash + 1);
    std::unique_lock lock(this->mutex);
    if (aRequest.Method() != "GET")
      return this->HandleWrite(aRequest, kind, name);
    auto const since = Query(target, "watch");
    if (!since.empty())
      return this->HandleWatch(lock, aDoor, kind, std::stoull(since), std::atoi(Query(target, "wait_ms").c_str()));
    json items = json::array();
    for (auto const& [each, object] : this->objects[kind])
      items.push_back(Document(each, object));
    return JsonAnswer(200, { { "items", items }, { "has_more", false }, { "as_of", this->revision } });
  }

  std::string HandleWatch(std::unique_lock<std::mutex>& aLock,
                          Door const& aDoor,
                          std::string const& aKind,
                          std::uint64_t aSince,
                          int aWait)
  {
    auto const end = SteadyClock::now() + std::chrono::milliseconds(aWait);
    while (true) {
      if (aDoor.closed)
        return JsonAnswer(503, json::object());
      json events = json::array();
      for (auto const& event : this->history)
        if (event.kind == aKind && event.revision > aSince)
          events.push_back({ { "deleted", event.deleted }, { "object", event.object } });
      if (!events.empty())
        return JsonAnswer(200, { { "events", events }, { "as_of", this->revision } });
      if (this->changed.wait_until(aLock, end) == std::cv_status::timeout)
        return JsonAnswer(200, { { "events", json::array() }, { "as_of", aSince } });
    }
  }

  std::string HandleWrite(Message const& aRequest, std::string const& aKind, std::string const& aName)
  {
    auto const body = json::parse(aRequest.body, nullptr, false);
    auto const name = aName.empty() ? body["metadata"]["name"].get<std::string>() : aName;
    auto const condition = Query(aRequest.Target(), "revision");
    std::uint64_t expected = condition.empty() ? 0 : std::stoull(condition);
    if (body.is_object() && body.contains("metadata") && body["metadata"].contains("revision"))
      expected = body["metadata"]["revision"].get<std::uint64_t>();
    auto const existing = this->objects[aKind].find(name);
    bool const exists = existing != this->objects[aKind].end();
    bool const creates = aRequest.Method() == "POST";
    if (!creates && !exists)
      return JsonAnswer(404, json::object());
    if (exists && (creates || (expected != 0 && expected != existing->second.revision)))
      return JsonAnswer(409, Document(name, existing->second));
    if (aRequest.Method() == "DELETE") {
      this->Erase(aKind, name);
      return JsonAnswer(200, json::object());
    }
    this->Change(aKind, name, body["spec"]);
    return JsonAnswer(200, Document(name, this->objects[aKind][name]));
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, Object>> objects;
  std::deque<Event> history;
  std::uint64_t revision{ 100 };
};

/// A front process, started with the command of the deploy file.
class Front
{
public:
  Front(std::string aName, std::filesystem::path const& aDirectory, Store& aStore)
    : name(std::move(aName))
    , door(aStore.AddDoor())
    , settings(aDirectory / (this->name + ".yaml"))
    , log(aDirectory / (this->name + ".log"))
  {
  }

  void WriteSettings(std::vector<std::string> const& aSeeds, bool aFirstStart) const
  {
    std::ofstream file(this->settings);
    file << "name: " << this->name << "\ndata_center: zone-a\nregion: region-a\nmachine:\n  cores: 0.25\naddresses:\n"
         << "  callers: " << this->callers << "\n  readiness: " << this->readiness
         << "\n  directory: " << this->directory << "\n  peers: " << this->peers << "\n  metrics: " << this->metrics
         << "\nstore:\n  address: " << this->door.server.Address() << "\nseeds: " << json(aSeeds).dump()
         << "\nfirst_start: " << (aFirstStart ? "true" : "false")
         << "\nshutdown:\n  grace_s: 8\ndirectory:\n  longest_lifetime_s: 5\nretries:\n  ratio: 0.2\n  window_s: 10\n"
         << "  slack: 56\ncold:\n  overshoot: 1.5\n  slack: 5\n";
  }

  bool Start()
  {
    this->process = fork();
    if (this->process != 0)
      return this->process > 0;
    // The front must not outlive the case.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (std::freopen(this->log.c_str(), "a", stdout) == nullptr || dup2(STDOUT_FILENO, STDERR_FILENO) < 0)
      _exit(127);
    execl("target/hornbeamfront",
          "target/hornbeamfront",
          "--platform",
          "--settings",
          this->settings.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }

  void Signal(int aSignal) const
  {
    if (this->process > 0)
      kill(this->process, aSignal);
  }

  /// How the process ended; nothing while it runs.
  std::optional<std::string> Ended()
  {
    if (!this->end && this->process > 0) {
      int status = 0;
      if (waitpid(this->process, &status, WNOHANG) == this->process) {
        this->process = -1;
        this->end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                        : "exit status " + std::to_string(WEXITSTATUS(status));
      }
    }
    return this->end;
  }

  void Stop()
  {
    if (this->process <= 0)
      return;
    kill(this->process, SIGKILL);
    waitpid(this->process, nullptr, 0);
    this->process = -1;
  }

  bool IsReady() const
  {
    auto const connection = Connection::Open(this->readiness);
    if (!connection || !connection->Send("GET /readyz HTTP/1.1\r\nHost: " + this->readiness + "\r\n\r\n"))
      return false;
    connection->SetTimeout(1000ms);
    auto const answer = connection->Read();
    return answer && answer->Status() == 200;
  }

  bool AwaitReady(std::chrono::seconds aTime = 15s) const
  {
    for (auto const end = SteadyClock::now() + aTime; SteadyClock::now() < end; Pause(50ms))
      if (this->IsReady())
        return true;
    return false;
  }

  std::string const name;
  Store::Door& door;
  std::string const callers{ FreeAddress() };
  std::string const readiness{ FreeAddress() };
  std::string const directory{ FreeAddress() };
  std::string const peers{ FreeAddress() };
  std::string const metrics{ FreeAddress() };

private:
  std::filesystem::path const settings;
  std::filesystem::path const log;
  pid_t process{ -1 };
  std::optional<std::string> end;
};

/// A small deployment: a store and fronts that are ready. Their settings and logs lie in a temporary folder.
class Deployment
{
public:
  Deployment()
  {
    auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    this->directory = mkdtemp(pattern.data());
    // A case that hangs ends before its time is over, and its fronts with it.
    alarm(115);
  }
  Deployment(Deployment const&) = delete;
  Deployment& operator=(Deployment const&) = delete;
  ~Deployment()
  {
    for (auto const& front : this->fronts)
      front->Stop();
    if (std::getenv("KEEP_LOGS") == nullptr)
      std::filesystem::remove_all(this->directory);
    else
      std::fprintf(stderr, "logs: %s\n", this->directory.c_str());
  }

  bool StartFronts(unsigned aCount)
  {
    std::vector<std::string> seeds;
    for (unsigned index = 0; index < aCount; ++index) {
      this->fronts.push_back(
        std::make_unique<Front>("front-" + std::to_string(index + 1), this->directory, this->store));
      if (seeds.size() < 3)
        seeds.push_back(this->fronts.back()->peers);
    }
    for (auto const& front : this->fronts) {
      front->WriteSettings(seeds, true);
      if (!front->Start())
        return false;
    }
    if (!std::ranges::all_of(this->fronts, [](auto const& aFront) { return aFront->AwaitReady(); }))
      return false;
    // All fronts know each other after their registration.
    for (int tries = 0; tries < 100 && this->store.Count("fronts") < aCount; ++tries)
      Pause(50ms);
    Pause(1500ms);
    return this->store.Count("fronts") == aCount;
  }

  /// Its threads run until the process of the case ends, so it is never destroyed.
  Store& store{ *new Store };
  std::filesystem::path directory;
  std::vector<std::unique_ptr<Front>> fronts;
};

/// Writes a server's entry, and its check-ins every 1.2 s.
class CheckIn
{
public:
  CheckIn(Store& aStore, std::string aId, json aEntry)
  {
    aStore.Put("servers", aId, aEntry);
    std::thread([&aStore, aId = std::move(aId), aEntry = std::move(aEntry), left = this->left]() mutable {
      for (int sequence = 2;; ++sequence) {
        Pause(1200ms);
        if (*left)
          return;
        aEntry["sequence"] = sequence;
        aStore.Put("servers", aId, aEntry);
      }
    }).detach();
  }
  void Leave() const { *this->left = true; }

private:
  std::shared_ptr<std::atomic<bool>> left{ std::make_shared<std::atomic<bool>>(false) };
};

inline json
Entry(std::string const& aService, std::string const& aAddress, unsigned aSlots, std::string const& aVersion = "v1")
{
  auto const now = std::chrono::system_clock::now().time_since_epoch();
  return { { "service", aService },    { "address", aAddress },
           { "zone", "zone-a" },       { "version", aVersion },
           { "slots", aSlots },        { "state", "ready" },
           { "cold_remaining_ms", 0 }, { "born", std::chrono::duration_cast<std::chrono::milliseconds>(now).count() },
           { "sequence", 1 } };
}

inline json
Limits()
{
  return { { "max_header_bytes", 16384 },
           { "max_body_bytes", 4194304 },
           { "header_timeout_ms", 3000 },
           { "idle_timeout_ms", 15000 } };
}

inline json
Tenants()
{
  return json::array({ { { "name", "tenant-1" }, { "api_keys", json::array({ "key-1" }) }, { "priority", 1 } } });
}

/// Ends the case with the result of the check. Threads of stand-ins still run, so nothing is destroyed after this.
[[noreturn]] inline void
Finish(int aStatus)
{
  std::fflush(stdout);
  _exit(aStatus);
}

}
