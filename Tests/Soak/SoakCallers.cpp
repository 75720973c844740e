#include "SoakCallers.h"
#include <Platform/CallerRequest.h>
#include <iostream>
#include <set>
#include <sstream>

namespace Hornbeam::Testing {

using namespace Gateway;

static constexpr Duration kClientTimeout = 2s;
/// Tolerance beyond the client timeout, because other load on the machine can delay a response.
static constexpr Duration kResponseSlack = 2s;
/// Fraction of the requests that must be served after all faults are cleared. It is below 1 because endpoints may still
/// be ejected briefly.
static constexpr double kMinServedAfterFaults = 0.95;
static constexpr unsigned kRecoveryRequests = 5;
/// Events of a stream.
static constexpr unsigned kEvents = 5;
/// Time within which every front that reaches the store must have applied a new table.
static constexpr Duration kMaxApplyTime = 2s;
/// Items of the stages of the requests that have some.
static constexpr std::size_t kEncodeItems = 2;
static constexpr std::size_t kRankItems = 3;

SoakCallers::SoakCallers(SoakWorld& aWorld, unsigned aSeed)
  : world(aWorld)
  , connections(aWorld.loop.UvLoop(), aWorld.clock)
  , random(aSeed)
{
}

void
SoakCallers::Send(SoakRequestKind aKind, unsigned aFront)
{
  static constexpr char const* kTargets[] = { "/plain/x", "/safe/x", "/model/x", "/staged/x" };
  auto const request = std::make_shared<SoakRequest>();
  request->id = "q" + std::to_string(this->requests.size());
  request->kind = aKind;
  request->front = aFront;
  request->sent = this->world.clock.Now();
  this->requests.push_back(request);
  CallerRequest callerRequest;
  callerRequest.method = aKind == SoakRequestKind::Safe ? "GET" : "POST";
  callerRequest.target = kTargets[static_cast<unsigned>(aKind)];
  callerRequest.id = request->id;
  callerRequest.body = aKind == SoakRequestKind::Safe ? "" : "body of " + request->id;
  callerRequest.clientTimeout = kClientTimeout;
  if (aKind >= SoakRequestKind::Model) {
    auto const session = std::to_string(this->random() % 20);
    callerRequest.extraFields = { { "Hornbeamfront-Prefix-Hash", "aa:10,bb" + session + ":20,cc:5" },
                                  { "Hornbeamfront-Token-Usage", "35,9" } };
  }
  if (aKind == SoakRequestKind::Staged) {
    callerRequest.extraFields.emplace_back("Hornbeamfront-Chunks",
                                           std::to_string(kEncodeItems) + "," + std::to_string(kRankItems));
    callerRequest.extraFields.emplace_back("Hornbeamfront-Chunk-Key", "chunk-" + request->id);
  }
  CallEvents events;
  events.onHead = [request](ResponseHead const& aHead) { request->status = aHead.status; };
  events.onBody = [request](std::string aChunk) { request->body += aChunk; };
  events.onEnd = [this, request](CallEnd aEnd) {
    request->ended = true;
    request->end = aEnd;
    request->endedAt = this->world.clock.Now();
  };
  auto const& address = this->world.fronts[aFront]->Addresses().callers;
  this->connections.Send(CallOf(callerRequest, address, kResponseSlack), std::move(events));
}

void
SoakCallers::WaitForAll()
{
  auto const open = [](auto const& aRequest) { return !aRequest->ended; };
  while (std::ranges::any_of(this->requests, open)) {
    this->world.CheckProcesses();
    this->world.RunFor(20ms);
  }
}

void
SoakCallers::Load(Duration aTime, Duration aGap)
{
  auto const until = this->world.clock.Now() + aTime;
  while (this->world.clock.Now() < until) {
    this->Send(static_cast<SoakRequestKind>(this->random() % 4), this->random() % this->world.settings.fronts);
    this->world.RunFor(aGap);
    this->world.CheckProcesses();
  }
  this->WaitForAll();
}

std::string
WholeStream(std::string const& aId, unsigned aEvents)
{
  std::string events;
  for (unsigned event = 1; event <= aEvents; ++event)
    events += "id: " + std::to_string(event) + "\ndata: t" + std::to_string(event) + "-" + aId + "\n\n";
  return events;
}

bool
SoakCallers::IsServed(SoakRequest const& aRequest) const
{
  if (aRequest.end != CallEnd::Complete || aRequest.status != 200)
    return false;
  return aRequest.kind >= SoakRequestKind::Model
           ? aRequest.body == WholeStream(aRequest.id, kEvents)
           : aRequest.body.starts_with("answer of i-ledger-") && aRequest.body.ends_with("-" + aRequest.id);
}

std::size_t
SoakCallers::Served() const
{
  return std::size_t(
    std::ranges::count_if(this->requests, [this](auto const& aRequest) { return this->IsServed(*aRequest); }));
}

void
SoakCallers::PrintTimes() const
{
  static constexpr char const* kNames[] = { "once", "safe", "model", "staged" };
  std::map<SoakRequestKind, std::vector<Duration>> times;
  for (auto const& request : this->requests)
    if (this->IsServed(*request))
      times[request->kind].push_back(request->endedAt - request->sent);
  for (auto& [kind, list] : times) {
    std::ranges::sort(list);
    std::cout << "  kind=" << kNames[static_cast<unsigned>(kind)] << " served=" << list.size()
              << " p50_ms=" << Milliseconds(list[list.size() / 2])
              << " p99_ms=" << Milliseconds(list[list.size() * 99 / 100]) << "\n";
  }
}

std::optional<std::string>
SoakCallers::ViolationOf(SoakRequest const& aRequest, std::map<std::string, unsigned> const& aRuns) const
{
  auto const found = aRuns.find(aRequest.id);
  unsigned const runs = found == aRuns.end() ? 0 : found->second;
  bool const complete = aRequest.end == CallEnd::Complete;
  bool const refused = complete && (aRequest.status == 503 || aRequest.status == 429);
  bool const success = aRequest.status / 100 == 2;
  if (aRequest.kind == SoakRequestKind::Once && runs > 1)
    return "ran " + std::to_string(runs) + " times";
  if (aRequest.kind == SoakRequestKind::Once && refused && runs != 0)
    return "was refused although it ran";
  if (complete && success && !this->IsServed(aRequest))
    return "got an incomplete or foreign response: " + aRequest.body;
  bool const stream = aRequest.kind >= SoakRequestKind::Model;
  if (!complete && success && stream && !WholeStream(aRequest.id, kEvents).starts_with(aRequest.body))
    return "got bytes that are not part of its response: " + aRequest.body;
  if (this->world.WasUnavailable(aRequest.front, aRequest.sent, aRequest.endedAt))
    return std::nullopt;
  if (aRequest.end == CallEnd::TimedOut)
    return "got no response within its timeout";
  if (aRequest.end == CallEnd::NotSent)
    return "could not connect";
  if (aRequest.end == CallEnd::Broken && runs > 0 && aRequest.status == 0)
    return "was forwarded, but its connection closed without a response";
  if (complete && aRequest.status / 100 == 4 && aRequest.status != 429)
    return "was rejected with status " + std::to_string(aRequest.status);
  return std::nullopt;
}

std::vector<std::string>
SoakCallers::CheckGuarantees() const
{
  std::vector<std::string> violations;
  std::map<std::string, unsigned> runs;
  for (auto const& endpoint : this->world.endpoints) {
    for (auto const& seen : endpoint.standIn->seen) {
      runs[seen.id] += seen.ran ? 1 : 0;
      // The handle of a result ends with the id of its request, in the inputs of requests and of later items.
      std::vector<std::string> handles;
      std::istringstream inputs(FieldValue(seen.fields, "Hornbeamfront-Inputs"));
      for (std::string handle; std::getline(inputs, handle, ',');)
        handles.push_back(handle);
      if (endpoint.service == "rank") {
        auto const item = nlohmann::json::parse(seen.body, nullptr, false);
        for (auto const& input : item.value("inputs", nlohmann::json::array()))
          handles.push_back(input.get<std::string>());
      }
      // Requests with stages read the results of the last one, and each of its items those of the first one.
      bool const readsResults = endpoint.service == "rank" || seen.target.starts_with("/staged/");
      auto const expected = endpoint.service == "rank" ? kEncodeItems : kRankItems;
      std::set<std::string> const distinct(handles.begin(), handles.end());
      if (readsResults && (handles.size() != expected || distinct.size() != expected))
        violations.push_back(seen.id + " was given " + std::to_string(handles.size()) + " inputs, " +
                             std::to_string(distinct.size()) + " of them distinct, where it has " +
                             std::to_string(expected) + ": " + endpoint.standIn->Id());
      for (auto const& handle : handles)
        if (!handle.ends_with("-" + seen.id))
          violations.push_back(seen.id + " was given an input of another request: " + handle);
    }
  }
  for (auto const& request : this->requests)
    if (auto const violation = this->ViolationOf(*request, runs))
      violations.push_back(request->id + " at front-" + std::to_string(request->front) + " sent at " +
                           std::to_string(Milliseconds(request->sent.time_since_epoch()) % 1000000) + " ms " +
                           *violation);
  return violations;
}

std::uint64_t
SoakCallers::TableVersionAt(unsigned aFront)
{
  std::string body;
  bool ended = false;
  auto const done = [&](BufferedResponse aResponse) {
    body = std::move(aResponse.body);
    ended = true;
  };
  auto const& address = this->world.fronts[aFront]->Addresses().metrics;
  SendBuffered(this->connections, GetRequestTo(address, "/beliefs"), done, Reuse::Fresh);
  while (!ended)
    this->world.RunFor(5ms);
  auto const beliefs = nlohmann::json::parse(body, nullptr, false);
  return beliefs.is_object() ? beliefs.value("table_version", std::uint64_t(0)) : 0;
}

std::vector<std::string>
SoakCallers::CheckRecovery()
{
  std::vector<std::string> violations;
  this->world.store->Put("config", "main", this->world.NextTable());
  this->world.RunFor(kMaxApplyTime);
  auto const before = this->requests.size();
  for (unsigned front = 0; front < this->world.settings.fronts; ++front) {
    auto const version = this->TableVersionAt(front);
    if (version != this->world.tableVersion)
      violations.push_back("front-" + std::to_string(front) + " has table version " + std::to_string(version) +
                           ", expected " + std::to_string(this->world.tableVersion));
    for (unsigned index = 0; index < kRecoveryRequests; ++index)
      for (auto const kind :
           { SoakRequestKind::Once, SoakRequestKind::Safe, SoakRequestKind::Model, SoakRequestKind::Staged }) {
        this->Send(kind, front);
        this->world.RunFor(5ms);
      }
  }
  this->WaitForAll();
  std::size_t served = 0;
  for (auto index = before; index < this->requests.size(); ++index)
    served += this->IsServed(*this->requests[index]) ? 1 : 0;
  auto const sentCount = this->requests.size() - before;
  if (double(served) < kMinServedAfterFaults * double(sentCount))
    violations.push_back("after the faults " + std::to_string(served) + " of " + std::to_string(sentCount) +
                         " were served");
  return violations;
}

}
