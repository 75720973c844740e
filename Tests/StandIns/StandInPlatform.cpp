/// stand-in-platform: simulates the object API and the VM list of the platform over HTTP for tests. It can be
/// unavailable or slow, or lose the responses to writes that have taken effect.

#include <CLI/CLI.hpp>
#include <LibHttp/LibHttp.h>
#include <nlohmann/json.hpp>

using namespace Hornbeam;
using nlohmann::json;

namespace {

enum class FaultMode
{
  None,
  Down,
  LoseWriteResponses,
};

struct StoredObject
{
  std::uint64_t version{ 0 };
  std::string value;
};

struct PendingWatch
{
  std::uint64_t knownVersion{ 0 };
  HttpResponder responder;
  std::uint64_t id{ 0 };
};

class StandInPlatform
{
public:
  explicit StandInPlatform(Clock& aClock)
    : clock(aClock)
  {
  }

  void Handle(HttpRequest const& aRequest, HttpResponder aResponder)
  {
    if (aRequest.path == "/fault") {
      this->SetFault(aRequest, aResponder);
      return;
    }
    ++this->calls;
    if (this->mode == FaultMode::Down)
      return;
    auto const serve = [this, aRequest, aResponder] { this->HandleApiRequest(aRequest, aResponder); };
    if (this->delay > 0ms)
      this->clock.Schedule(this->delay, serve);
    else
      serve();
  }

private:
  void SetFault(HttpRequest const& aRequest, HttpResponder const& aResponder)
  {
    auto const body = json::parse(aRequest.body, nullptr, false);
    if (!body.is_object()) {
      aResponder.Respond({ 400, "text/plain", "a JSON object with mode and delay_ms\n", "" });
      return;
    }
    auto const name = body.value("mode", "none");
    this->mode = name == "down"          ? FaultMode::Down
                 : name == "lose-writes" ? FaultMode::LoseWriteResponses
                                         : FaultMode::None;
    this->delay = std::chrono::milliseconds(body.value("delay_ms", 0));
    if (body.contains("vms"))
      this->vms = body["vms"];
    aResponder.Respond({ 200, "application/json", json{ { "calls", this->calls } }.dump(), "" });
  }

  void HandleApiRequest(HttpRequest const& aRequest, HttpResponder const& aResponder)
  {
    if (aRequest.path == "/vms") {
      // Without a VM list, the platform reports no state of any VM.
      int const status = this->vms.is_null() ? 503 : 200;
      aResponder.Respond({ status, "application/json", json{ { "vms", this->vms } }.dump(), "" });
      return;
    }
    if (!aRequest.path.starts_with("/objects/")) {
      aResponder.Respond({ 404, "text/plain", "", "" });
      return;
    }
    auto const key = aRequest.path.substr(9);
    if (aRequest.method == HttpMethod::Put)
      this->Write(key, aRequest, aResponder);
    else if (auto const watch = aRequest.query.find("watch"); watch != aRequest.query.end())
      this->Watch(key, std::stoull(watch->second), aRequest, aResponder);
    else
      this->Read(key, aResponder);
  }

  void Read(std::string const& aKey, HttpResponder const& aResponder)
  {
    auto const found = this->objects.find(aKey);
    if (found == this->objects.end()) {
      aResponder.Respond({ 404, "application/json", "{}", "" });
      return;
    }
    json const body = { { "version", found->second.version }, { "value", found->second.value } };
    aResponder.Respond({ 200, "application/json", body.dump(), "" });
  }

  void Write(std::string const& aKey, HttpRequest const& aRequest, HttpResponder const& aResponder)
  {
    auto const found = this->objects.find(aKey);
    std::uint64_t const currentVersion = found == this->objects.end() ? 0 : found->second.version;
    if (aRequest.headers.ifMatch != "\"" + std::to_string(currentVersion) + "\"") {
      aResponder.Respond({ 412, "application/json", "{}", "" });
      return;
    }
    this->objects[aKey] = { ++this->lastVersion, aRequest.body };
    if (this->mode != FaultMode::LoseWriteResponses)
      aResponder.Respond({ 200, "application/json", json{ { "version", this->lastVersion } }.dump(), "" });
    auto const waiting = std::exchange(this->watches[aKey], {});
    for (auto const& watch : waiting)
      this->Read(aKey, watch.responder);
  }

  void Watch(std::string const& aKey,
             std::uint64_t aKnownVersion,
             HttpRequest const& aRequest,
             HttpResponder const& aResponder)
  {
    auto const found = this->objects.find(aKey);
    if (found != this->objects.end() && found->second.version != aKnownVersion) {
      this->Read(aKey, aResponder);
      return;
    }
    auto const id = ++this->lastWatch;
    this->watches[aKey].push_back({ aKnownVersion, aResponder, id });
    auto const wait = aRequest.query.find("wait_ms");
    std::chrono::milliseconds const timeout(wait == aRequest.query.end() ? 10000 : std::stoll(wait->second));
    this->clock.Schedule(timeout, [this, aKey, id] {
      auto& waiting = this->watches[aKey];
      auto const found =
        std::find_if(waiting.begin(), waiting.end(), [&](auto const& aWatch) { return aWatch.id == id; });
      if (found == waiting.end())
        return;
      found->responder.Respond({ 304, "application/json", "", "" });
      waiting.erase(found);
    });
  }

  Clock& clock;
  FaultMode mode{ FaultMode::None };
  Duration delay{ 0 };
  json vms;
  std::map<std::string, StoredObject> objects;
  std::map<std::string, std::vector<PendingWatch>> watches;
  std::uint64_t lastVersion{ 0 };
  std::uint64_t lastWatch{ 0 };
  std::uint64_t calls{ 0 };
};

}

int
main(int aCount, char** aArguments)
{
  CLI::App application{ "stand-in-platform: simulates the store and the VM list of the platform for tests" };
  std::string address;
  application.add_option("--address", address, "Address to listen on")->required();
  CLI11_PARSE(application, aCount, aArguments);
  StartLogging(aArguments[0]);
  Clock clock(ClockMode::Running);
  EventLoop loop(clock);
  HttpContext http(loop);
  StandInPlatform platform(clock);
  HttpServer const server(
    http,
    address,
    [&](HttpRequest const& aRequest, HttpResponder aResponder) { platform.Handle(aRequest, std::move(aResponder)); },
    4 * 1024 * 1024);
  if (!server.IsListening())
    return 1;
  loop.Run();
}
