#pragma once

// Small stand-ins for the cases of review/6 to review/10: HTTP servers and callers on blocking sockets, the platform's
// store, and fronts as processes of their own. Everything listens on loopback addresses.

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review {

using json = nlohmann::json;
using namespace std::chrono_literals;
using SteadyTime = std::chrono::steady_clock::time_point;

inline constexpr int kExitHeld = 0;
inline constexpr int kExitBroken = 1;
inline constexpr int kExitNotRun = 2;

/// Writes what happens, with milliseconds since the start, to record.txt and to standard output.
class Record
{
public:
  explicit Record(std::string const& aFile)
    : file(aFile)
  {
  }

  void Line(std::string const& aText)
  {
    std::lock_guard const guard(this->mutex);
    auto const time =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - this->start);
    char stamp[32];
    std::snprintf(stamp, sizeof stamp, "%7lld ms  ", static_cast<long long>(time.count()));
    this->file << stamp << aText << std::endl;
    std::printf("%s%s\n", stamp, aText.c_str());
    std::fflush(stdout);
  }

private:
  std::mutex mutex;
  std::ofstream file;
  SteadyTime start{ std::chrono::steady_clock::now() };
};

struct Address
{
  std::string ip;
  int port{ 0 };

  std::string Text() const { return this->ip + ":" + std::to_string(this->port); }
};

inline sockaddr_in
ToSocketAddress(Address const& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.ip.c_str(), &result.sin_addr);
  return result;
}

/// Returns a listening socket; -1 if the address is taken.
inline int
Listen(Address const& aAddress, int aBacklog)
{
  int const descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int const on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  auto const address = ToSocketAddress(aAddress);
  if (bind(descriptor, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0 &&
      listen(descriptor, aBacklog) == 0)
    return descriptor;
  close(descriptor);
  return -1;
}

/// Returns a port that is free at all of the IP addresses now. It lies below the range of the kernel's own choices.
inline int
FreePort(std::vector<std::string> const& aIps)
{
  static std::set<int> given;
  static std::mt19937 random(std::random_device{}());
  for (int attempt = 0; attempt < 1000; ++attempt) {
    int const port = 15000 + int(random() % 15000);
    if (given.contains(port))
      continue;
    bool isFree = true;
    for (auto const& ip : aIps) {
      int const descriptor = Listen({ ip, port }, 1);
      isFree = isFree && descriptor >= 0;
      if (descriptor >= 0)
        close(descriptor);
    }
    if (!isFree)
      continue;
    given.insert(port);
    return port;
  }
  std::fprintf(stderr, "no free port\n");
  std::exit(kExitNotRun);
}

/// A connected socket with a buffer of what was read.
class Connection
{
public:
  explicit Connection(int aDescriptor)
    : descriptor(aDescriptor)
  {
    int const on = 1;
    setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(Connection const&) = delete;
  Connection& operator=(Connection const&) = delete;
  ~Connection() { this->Close(); }

  static std::unique_ptr<Connection> To(Address const& aAddress)
  {
    int const socketDescriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto const address = ToSocketAddress(aAddress);
    if (connect(socketDescriptor, reinterpret_cast<sockaddr const*>(&address), sizeof address) == 0)
      return std::make_unique<Connection>(socketDescriptor);
    close(socketDescriptor);
    return nullptr;
  }

  bool Write(std::string const& aBytes)
  {
    std::size_t written = 0;
    while (written < aBytes.size()) {
      auto const count = send(this->descriptor, aBytes.data() + written, aBytes.size() - written, MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      written += std::size_t(count);
    }
    return true;
  }

  /// Reads more bytes; returns false at the end of the connection, after a reset or at the time.
  bool Read(SteadyTime aUntil)
  {
    auto const left =
      std::chrono::duration_cast<std::chrono::milliseconds>(aUntil - std::chrono::steady_clock::now()).count();
    pollfd ready{ this->descriptor, POLLIN, 0 };
    if (left <= 0 || poll(&ready, 1, int(left)) <= 0) {
      this->end = "silent";
      return false;
    }
    char bytes[65536];
    auto const count = recv(this->descriptor, bytes, sizeof bytes, 0);
    if (count <= 0) {
      this->end = count == 0 ? "closed" : "reset";
      return false;
    }
    this->received.append(bytes, std::size_t(count));
    return true;
  }

  /// Closes with a reset.
  void Reset()
  {
    linger const option{ 1, 0 };
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    this->Close();
  }

  void Close()
  {
    if (this->descriptor >= 0)
      close(this->descriptor);
    this->descriptor = -1;
  }

  int descriptor;
  std::string received;
  std::string end;
};

inline std::string
Lower(std::string aText)
{
  for (auto& character : aText)
    character = char(std::tolower(static_cast<unsigned char>(character)));
  return aText;
}

struct Message
{
  /// The first line.
  std::string line;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(std::string const& aName) const
  {
    auto const found = this->fields.find(Lower(aName));
    return found == this->fields.end() ? "" : found->second;
  }
  std::string Word(unsigned aIndex) const
  {
    std::istringstream words(this->line);
    std::string word;
    for (unsigned index = 0; index <= aIndex; ++index)
      words >> word;
    return word;
  }
};

/// Takes the head of a message from what was received; nothing if it is not there in time.
inline std::optional<Message>
ReadHead(Connection& aConnection, SteadyTime aUntil)
{
  std::size_t end = 0;
  while ((end = aConnection.received.find("\r\n\r\n")) == std::string::npos)
    if (!aConnection.Read(aUntil))
      return std::nullopt;
  std::istringstream lines(aConnection.received.substr(0, end));
  aConnection.received.erase(0, end + 4);
  Message message;
  std::getline(lines, message.line);
  if (message.line.ends_with('\r'))
    message.line.pop_back();
  for (std::string line; std::getline(lines, line);) {
    if (line.ends_with('\r'))
      line.pop_back();
    auto const colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    auto const value = line.find_first_not_of(' ', colon + 1);
    message.fields[Lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
  }
  return message;
}

/// Reads a whole request with a length; nothing if the connection ends before.
inline std::optional<Message>
ReadRequest(Connection& aConnection, SteadyTime aUntil)
{
  auto message = ReadHead(aConnection, aUntil);
  if (!message)
    return std::nullopt;
  auto const length = std::strtoul(message->Field("Content-Length").c_str(), nullptr, 10);
  while (aConnection.received.size() < length)
    if (!aConnection.Read(aUntil))
      return std::nullopt;
  message->body = aConnection.received.substr(0, length);
  aConnection.received.erase(0, length);
  return message;
}

/// What a caller has received.
struct Answer
{
  /// Zero without one.
  int status{ 0 };
  Message message;
  /// Whether the framing says that the answer is whole.
  bool complete{ false };
  /// How the connection ended, if it did.
  std::string end;
};

inline Answer
ReadAnswer(Connection& aConnection, SteadyTime aUntil)
{
  Answer answer;
  auto head = ReadHead(aConnection, aUntil);
  if (!head) {
    answer.end = aConnection.end;
    return answer;
  }
  answer.message = std::move(*head);
  answer.status = std::atoi(answer.message.Word(1).c_str());
  auto& body = answer.message.body;
  auto& received = aConnection.received;
  if (Lower(answer.message.Field("Transfer-Encoding")) != "chunked") {
    auto const length = std::strtoul(answer.message.Field("Content-Length").c_str(), nullptr, 10);
    while (received.size() < length && aConnection.Read(aUntil))
      ;
    answer.complete = received.size() >= length;
    body = received.substr(0, length);
    answer.end = aConnection.end;
    return answer;
  }
  while (true) {
    auto const lineEnd = received.find("\r\n");
    if (lineEnd == std::string::npos) {
      if (aConnection.Read(aUntil))
        continue;
      break;
    }
    auto const length = std::strtoul(received.c_str(), nullptr, 16);
    if (received.size() < lineEnd + 2 + length + 2) {
      if (aConnection.Read(aUntil))
        continue;
      break;
    }
    body += received.substr(lineEnd + 2, length);
    received.erase(0, lineEnd + 2 + length + 2);
    if (length == 0) {
      answer.complete = true;
      return answer;
    }
  }
  answer.end = aConnection.end;
  return answer;
}

/// Sends a request on a connection of its own and reads the answer.
inline Answer
Call(Address const& aAddress, std::string const& aRequest, std::chrono::milliseconds aTimeout)
{
  auto const until = std::chrono::steady_clock::now() + aTimeout;
  auto const connection = Connection::To(aAddress);
  if (!connection || !connection->Write(aRequest))
    return {};
  return ReadAnswer(*connection, until);
}

inline std::string
EncodeAnswer(int aStatus, std::string const& aFields, std::string const& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " X\r\n" + aFields +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/// Serves each connection on a thread of its own, for as long as the process lives.
class Server
{
public:
  /// Handles one request; the connection ends if it returns false.
  using Handler = std::function<bool(Connection&, Message const&)>;

  Server(Address aAddress, Handler aHandler)
    : address(std::move(aAddress))
    , handler(std::move(aHandler))
    , descriptor(Listen(this->address, 511))
  {
    if (this->descriptor < 0) {
      std::fprintf(stderr, "cannot listen on %s\n", this->address.Text().c_str());
      std::exit(kExitNotRun);
    }
    std::thread([this] { this->Accept(); }).detach();
  }

  /// From now on, new connections are refused, as after the end of a process.
  void StopListening() { shutdown(this->descriptor, SHUT_RDWR); }

  Address const address;

private:
  void Accept()
  {
    while (true) {
      int const accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0)
        return;
      std::thread([this, accepted] {
        Connection connection(accepted);
        while (auto const request = ReadRequest(connection, std::chrono::steady_clock::now() + 200s))
          if (!this->handler(connection, *request))
            return;
      }).detach();
    }
  }

  Handler handler;
  int descriptor;
};

/// The platform's store: lists, watches, and writes on the condition of a revision.
class Store
{
public:
  explicit Store(Address const& aAddress)
    : server(aAddress, [this](Connection& aConnection, Message const& aRequest) {
      return aConnection.Write(this->Handle(aRequest));
    })
  {
  }

  /// Writes an object as the operator or an endpoint does.
  void Put(std::string const& aKind, std::string const& aName, json aSpec)
  {
    std::lock_guard const guard(this->mutex);
    this->Change(aKind, aName, { { "spec", std::move(aSpec) }, { "status", nullptr } });
  }

  std::size_t Count(std::string const& aKind)
  {
    std::lock_guard const guard(this->mutex);
    return this->objects[aKind].size();
  }

private:
  struct Event
  {
    std::uint64_t revision{ 0 };
    std::string kind;
    json object;
    bool deleted{ false };
  };

  json Change(std::string const& aKind, std::string const& aName, json aParts)
  {
    auto& known = this->objects[aKind][aName];
    auto const created = known.is_object() ? known["metadata"]["created"] : json(this->revision + 1);
    aParts["metadata"] = { { "name", aName },
                           { "revision", ++this->revision },
                           { "created", created },
                           { "finalizers", json::array() },
                           { "deleting", false } };
    known = aParts;
    this->events.push_back({ this->revision, aKind, known, false });
    this->changed.notify_all();
    return known;
  }

  static std::map<std::string, std::string> QueryOf(std::string const& aTarget)
  {
    std::map<std::string, std::string> query;
    auto const mark = aTarget.find('?');
    std::istringstream parts(mark == std::string::npos ? "" : aTarget.substr(mark + 1));
    for (std::string part; std::getline(parts, part, '&');)
      query[part.substr(0, part.find('='))] =
        part.find('=') == std::string::npos ? "" : part.substr(part.find('=') + 1);
    return query;
  }

  static std::string Answer(int aStatus, json const& aBody)
  {
    return EncodeAnswer(aStatus, "Content-Type: application/json\r\nStore-Era: 1\r\n", aBody.dump());
  }

  std::string Handle(Message const& aRequest)
  {
    std::unique_lock guard(this->mutex);
    auto const target = aRequest.Word(1);
    auto query = QueryOf(target);
    auto path = target.substr(0, target.find('?'));
    static std::string const prefix = "/objects/";
    if (!path.starts_with(prefix))
      return Answer(404, json::object());
    path.erase(0, prefix.size());
    auto const slash = path.find('/');
    auto const kind = path.substr(0, slash);
    auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
    bool const ofStatus = name.ends_with("/status");
    if (ofStatus)
      name.erase(name.size() - 7);
    auto const method = aRequest.Word(0);
    auto& ofKind = this->objects[kind];
    auto const found = ofKind.find(name);
    if (method == "GET" && name.empty())
      return query.contains("watch") ? this->Watch(guard, kind, query) : this->List(kind, query["after"]);
    if (method == "GET")
      return found == ofKind.end() ? Answer(404, json::object()) : Answer(200, found->second);
    auto const body = aRequest.body.empty() ? json::object() : json::parse(aRequest.body);
    if (method == "POST") {
      auto const created = body["metadata"]["name"].get<std::string>();
      if (ofKind.contains(created))
        return Answer(409, ofKind[created]);
      return Answer(201, this->Change(kind, created, { { "spec", body["spec"] }, { "status", nullptr } }));
    }
    if (found == ofKind.end())
      return Answer(404, json::object());
    auto const known = found->second["metadata"]["revision"].get<std::uint64_t>();
    auto const wanted = method == "DELETE" ? std::strtoull(query["revision"].c_str(), nullptr, 10)
                                           : body["metadata"].value("revision", std::uint64_t(0));
    if (wanted != 0 && wanted != known)
      return Answer(409, found->second);
    if (method == "DELETE") {
      auto object = found->second;
      ofKind.erase(found);
      this->events.push_back({ ++this->revision, kind, object, true });
      this->events.back().object["metadata"]["revision"] = this->revision;
      this->changed.notify_all();
      return Answer(200, object);
    }
    auto const spec = ofStatus ? found->second["spec"] : body["spec"];
    auto const status = ofStatus ? body["status"] : found->second["status"];
    return Answer(200, this->Change(kind, name, { { "spec", spec }, { "status", status } }));
  }

  std::string List(std::string const& aKind, std::string const& aAfter)
  {
    auto items = json::array();
    for (auto const& [name, object] : this->objects[aKind])
      if (name > aAfter)
        items.push_back(object);
    return Answer(200, { { "items", items }, { "has_more", false }, { "as_of", this->revision } });
  }

  std::string Watch(std::unique_lock<std::mutex>& aGuard,
                    std::string const& aKind,
                    std::map<std::string, std::string>& aQuery)
  {
    auto const after = std::strtoull(aQuery["watch"].c_str(), nullptr, 10);
    auto const until =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(std::atoi(aQuery["wait_ms"].c_str()));
    auto list = json::array();
    while (true) {
      for (auto const& event : this->events)
        if (event.kind == aKind && event.revision > after)
          list.push_back({ { "deleted", event.deleted }, { "object", event.object } });
      if (!list.empty() || this->changed.wait_until(aGuard, until) == std::cv_status::timeout)
        break;
    }
    return Answer(200, { { "events", list }, { "as_of", this->revision } });
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, std::map<std::string, json>> objects;
  std::vector<Event> events;
  std::uint64_t revision{ 100 };
  Server server;
};

/// The processes that run now; they end with this one.
inline std::mutex processesMutex;
inline std::set<pid_t> processes;

/// Ends all processes and this one.
[[noreturn]] inline void
Finish(int aExitCode)
{
  std::lock_guard const guard(processesMutex);
  for (auto const id : processes) {
    kill(id, SIGKILL);
    waitpid(id, nullptr, 0);
  }
  std::_Exit(aExitCode);
}

/// Ends this process as not run if it lasts longer than a script may.
inline void
LimitTime(std::chrono::seconds aTime)
{
  std::thread([aTime] {
    std::this_thread::sleep_for(aTime);
    std::fprintf(stderr, "took too long\n");
    Finish(kExitNotRun);
  }).detach();
}

/// A process that this one started and ends.
class Process
{
public:
  Process() = default;
  Process(Process const&) = delete;
  Process& operator=(Process const&) = delete;
  ~Process() { this->Kill(); }

  /// Standard output and error go to a file, standard input comes from aInput if that is not negative.
  bool Start(std::vector<std::string> aWords, std::string const& aOutput, int aInput = -1, int aOutputPipe = -1)
  {
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (aInput >= 0)
      posix_spawn_file_actions_adddup2(&actions, aInput, 0);
    if (aOutputPipe >= 0)
      posix_spawn_file_actions_adddup2(&actions, aOutputPipe, 1);
    else
      posix_spawn_file_actions_addopen(&actions, 1, aOutput.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addopen(&actions, 2, (aOutput + ".err").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::vector<char*> words;
    for (auto& word : aWords)
      words.push_back(word.data());
    words.push_back(nullptr);
    std::string path = "PATH=/usr/bin:/bin";
    char* environment[] = { path.data(), nullptr };
    bool const started = posix_spawn(&this->id, words[0], &actions, nullptr, words.data(), environment) == 0;
    posix_spawn_file_actions_destroy(&actions);
    if (!started)
      this->id = -1;
    std::lock_guard const guard(processesMutex);
    if (started)
      processes.insert(this->id);
    return started;
  }

  void Signal(int aSignal) const
  {
    if (this->id > 0)
      kill(this->id, aSignal);
  }

  void Kill()
  {
    if (this->id <= 0)
      return;
    std::lock_guard const guard(processesMutex);
    kill(this->id, SIGKILL);
    waitpid(this->id, nullptr, 0);
    processes.erase(this->id);
    this->id = -1;
  }

  bool Runs() const { return this->id > 0 && waitpid(this->id, nullptr, WNOHANG) == 0; }

  pid_t id{ -1 };
};

struct Front
{
  std::string name;
  std::string ip;
  std::string zone;
  Process process;
};

/// Fronts as the deploy file starts them, with settings like those of the template, behind one store.
class Deployment
{
public:
  Deployment(std::vector<std::string> const& aZones, std::string aDirectory)
    : directory(std::move(aDirectory))
  {
    std::vector<std::string> ips;
    for (std::size_t index = 0; index < aZones.size(); ++index)
      ips.push_back("127.0.21." + std::to_string(index + 1));
    this->callers = FreePort(ips);
    this->ready = FreePort(ips);
    this->lookup = FreePort(ips);
    this->peers = FreePort(ips);
    this->metrics = FreePort(ips);
    this->tunnels = FreePort(ips);
    this->storeAddress = { "127.0.20.1", FreePort({ "127.0.20.1" }) };
    this->store = std::make_unique<Store>(this->storeAddress);
    for (std::size_t index = 0; index < aZones.size(); ++index) {
      auto front = std::make_unique<Front>();
      front->name = "edge-" + aZones[index] + "-" + std::to_string(index + 1);
      front->ip = ips[index];
      front->zone = aZones[index];
      this->fronts.push_back(std::move(front));
    }
  }

  Address CallersOf(std::size_t aFront) const { return { this->fronts[aFront]->ip, this->callers }; }

  bool StartFront(std::size_t aFront)
  {
    auto& front = *this->fronts[aFront];
    auto const file = this->directory + "/" + front.name + ".yaml";
    auto const at = [&](int aPort) { return Address{ front.ip, aPort }.Text(); };
    json seeds = json::array();
    for (auto const& other : this->fronts)
      if (seeds.size() < 3)
        seeds.push_back(Address{ other->ip, this->peers }.Text());
    std::ofstream(file) << "name: " << front.name << "\ndata_center: " << front.zone
                        << "\nregion: viti-levu\nmachine:\n  cores: 0.25\n  memory_mb: 260\n  max_descriptors: 4100\n"
                        << "addresses:\n  callers: " << at(this->callers) << "\n  readiness: " << at(this->ready)
                        << "\n  directory: " << at(this->lookup) << "\n  peers: " << at(this->peers)
                        << "\n  metrics: " << at(this->metrics) << "\n  tunnels: " << at(this->tunnels)
                        << "\nstore:\n  address: " << this->storeAddress.Text() << "\nseeds: " << seeds.dump()
                        << "\nfirst_start: true\nshutdown:\n  grace_s: 8\ndirectory:\n  longest_lifetime_s: 5\n"
                        << "retries:\n  ratio: 0.2\n  window_s: 10\n  slack: 56\n"
                        << "cold:\n  overshoot: 1.5\n  slack: 5\n";
    return front.process.Start({ "target/hornbeamfront", "--platform", "--settings", file },
                               this->directory + "/" + front.name + ".log");
  }

  /// Starts all fronts and waits until each is ready and knows the others.
  bool Start()
  {
    for (std::size_t index = 0; index < this->fronts.size(); ++index)
      if (!this->StartFront(index))
        return false;
    auto const until = std::chrono::steady_clock::now() + 20s;
    while (std::chrono::steady_clock::now() < until) {
      bool all = true;
      for (auto const& front : this->fronts) {
        auto const ready = Call({ front->ip, this->ready }, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", 1s);
        auto const named =
          Call({ front->ip, this->lookup },
               "GET /lookup?name=h.example&region=viti-levu&zone=" + front->zone + " HTTP/1.1\r\nHost: x\r\n\r\n",
               1s);
        auto const body = json::parse(named.message.body, nullptr, false);
        all = all && ready.status == 200 && body.is_object() && body.contains("addresses") &&
              body["addresses"].size() == this->fronts.size();
      }
      if (all)
        return true;
      std::this_thread::sleep_for(100ms);
    }
    return false;
  }

  std::string directory;
  Address storeAddress;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Front>> fronts;
  int callers{ 0 };
  int ready{ 0 };
  int lookup{ 0 };
  int peers{ 0 };
  int metrics{ 0 };
  int tunnels{ 0 };
};

/// A folder for settings and logs, removed at the end unless KEEP is set in the environment.
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    this->path = mkdtemp(pattern.data());
  }
  TemporaryFolder(TemporaryFolder const&) = delete;
  TemporaryFolder& operator=(TemporaryFolder const&) = delete;
  ~TemporaryFolder() { this->Remove(); }

  void Remove() const
  {
    std::error_code failure;
    if (std::getenv("KEEP") == nullptr)
      std::filesystem::remove_all(this->path, failure);
  }

  std::string path;
};

/// Whether the case is to bring its disruption about.
inline bool
HasTrouble()
{
  auto const* const text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

inline json
EndpointEntry(std::string const& aService, Address const& aAddress, std::string const& aZone, unsigned aSlots)
{
  auto const now =
    std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  return { { "service", aService }, { "address", aAddress.Text() }, { "zone", aZone }, { "version", "v1" },
           { "slots", aSlots },     { "state", "ready" },           { "sequence", 4 }, { "cold_remaining_ms", 0 },
           { "born", now.count() } };
}

}
