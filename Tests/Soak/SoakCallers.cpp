#include "SoakCallers.h"
#include <Platform/CallerRequest.h>
#include <Platform/StandInTable.h>
#include <iostream>
#include <sstream>

namespace Hornbeam::Testing {

using namespace Gateway;

static constexpr Duration kPatience = 2s;
/// An answer may be this much later than the caller's patience; the machine may be busy with other work.
static constexpr Duration kAnswerSlack = 2s;
/// The part of the requests that must be served once all is well: endpoints may be ejected for a moment still.
static constexpr double kServedWhenCalm = 0.95;
static constexpr unsigned kCalmRequests = 5;
/// The table must be in force this soon at every front that reaches the store.
static constexpr Duration kApplyBound = 2s;

SoakCallers::SoakCallers(SoakWorld& aWorld, unsigned aSeed)
  : world(aWorld)
  , connections(aWorld.loop.Embedded(), aWorld.clock)
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
  CallerRequest asked;
  asked.method = aKind == SoakRequestKind::Safe ? "GET" : "POST";
  asked.target = kTargets[static_cast<unsigned>(aKind)];
  asked.id = request->id;
  asked.body = aKind == SoakRequestKind::Safe ? "" : "body of " + request->id;
  asked.clientTimeout = kPatience;
  if (aKind >= SoakRequestKind::Model) {
    auto const session = std::to_string(this->random() % 20);
    asked.extraFields = { { "Hornbeamfront-Prefix-Hash", "aa:10,bb" + session + ":20,cc:5" },
                          { "Hornbeamfront-Token-Usage", "35,9" } };
  }
  if (aKind == SoakRequestKind::Staged) {
    asked.extraFields.emplace_back("Hornbeamfront-Chunks", "2,3");
    asked.extraFields.emplace_back("Hornbeamfront-Chunk-Key", "chunk-" + request->id);
  }
  CallEvents events;
  events.onHead = [request](ResponseHead const& aHead) { request->status = aHead.status; };
  events.onBody = [request](std::string aPiece) { request->body += aPiece; };
  events.onEnd = [this, request](CallEnd aEnd) {
    request->ended = true;
    request->end = aEnd;
    request->endedAt = this->world.clock.Now();
  };
  auto const& address = this->world.fronts[aFront]->Addresses().callers;
  this->connections.Send(CallOf(asked, address, kAnswerSlack), std::move(events));
}

void
SoakCallers::WaitForAll()
{
  auto const open = [](auto const& aRequest) { return !aRequest->ended; };
  while (std::ranges::any_of(this->requests, open)) {
    this->world.Review();
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
    this->world.Review();
  }
  this->WaitForAll();
}

static std::string
WholeStream(std::string const& aId)
{
  std::string events;
  for (int event = 1; event <= 5; ++event)
    events += "id: " + std::to_string(event) + "\ndata: t" + std::to_string(event) + "-" + aId + "\n\n";
  return events;
}

bool
SoakCallers::IsServed(SoakRequest const& aRequest) const
{
  if (aRequest.end != CallEnd::Complete || aRequest.status != 200)
    return false;
  return aRequest.kind >= SoakRequestKind::Model
           ? aRequest.body == WholeStream(aRequest.id)
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
SoakCallers::FaultOf(SoakRequest const& aRequest, std::map<std::string, unsigned> const& aRuns) const
{
  auto const found = aRuns.find(aRequest.id);
  unsigned const runs = found == aRuns.end() ? 0 : found->second;
  bool const complete = aRequest.end == CallEnd::Complete;
  bool const refused = complete && (aRequest.status == 503 || aRequest.status == 429);
  bool const success = aRequest.status / 100 == 2;
  if (aRequest.kind == SoakRequestKind::Once && runs > 1)
    return "ran " + std::to_string(runs) + " times";
  if (aRequest.kind == SoakRequestKind::Once && refused && runs != 0)
    return "was refused, and ran";
  if (complete && success && !this->IsServed(aRequest))
    return "got an answer that is not its whole own one: " + aRequest.body;
  bool const stream = aRequest.kind >= SoakRequestKind::Model;
  if (!complete && success && stream && !WholeStream(aRequest.id).starts_with(aRequest.body))
    return "got other bytes than its own: " + aRequest.body;
  if (this->world.WasInTrouble(aRequest.front, aRequest.sent, aRequest.endedAt))
    return std::nullopt;
  if (aRequest.end == CallEnd::TimedOut)
    return "got no answer in time";
  if (aRequest.end == CallEnd::NotSent)
    return "could not connect";
  if (aRequest.end == CallEnd::Broken && runs > 0 && aRequest.status == 0)
    return "was passed on, and its connection closed without an answer";
  if (complete && aRequest.status / 100 == 4 && aRequest.status != 429)
    return "was denied with " + std::to_string(aRequest.status);
  return std::nullopt;
}

std::vector<std::string>
SoakCallers::CheckPromises() const
{
  std::vector<std::string> faults;
  std::map<std::string, unsigned> runs;
  for (auto const& endpoint : this->world.endpoints) {
    for (auto const& seen : endpoint.standIn->seen) {
      runs[seen.id] += seen.ran ? 1 : 0;
      // Results are named after their request, in the inputs of requests and of later pieces.
      std::vector<std::string> handles;
      std::istringstream inputs(FieldValue(seen.fields, "Hornbeamfront-Inputs"));
      for (std::string handle; std::getline(inputs, handle, ',');)
        handles.push_back(handle);
      if (endpoint.service == "rank") {
        auto const item = nlohmann::json::parse(seen.body, nullptr, false);
        for (auto const& input : item.value("inputs", nlohmann::json::array()))
          handles.push_back(input.get<std::string>());
      }
      for (auto const& handle : handles)
        if (!handle.ends_with("-" + seen.id))
          faults.push_back(seen.id + " was given an input of another request: " + handle);
    }
  }
  for (auto const& request : this->requests)
    if (auto const fault = this->FaultOf(*request, runs))
      faults.push_back(request->id + " at front-" + std::to_string(request->front) + " sent at " +
                       std::to_string(Milliseconds(request->sent.time_since_epoch()) % 1000000) + " ms " + *fault);
  return faults;
}

std::uint64_t
SoakCallers::TableVersionAt(unsigned aFront)
{
  std::string body;
  bool ended = false;
  auto const done = [&](WholeResponse aResponse) {
    body = std::move(aResponse.body);
    ended = true;
  };
  auto const& address = this->world.fronts[aFront]->Addresses().metrics;
  SendWhole(this->connections, GetRequestTo(address, "/beliefs"), done, Reuse::Fresh);
  while (!ended)
    this->world.RunFor(5ms);
  auto const beliefs = nlohmann::json::parse(body, nullptr, false);
  return beliefs.is_object() ? beliefs.value("table_version", std::uint64_t(0)) : 0;
}

std::vector<std::string>
SoakCallers::CheckRecovery()
{
  std::vector<std::string> faults;
  this->world.store->Put("config", "main", StandInTable(++this->world.tableVersion));
  this->world.RunFor(kApplyBound);
  auto const before = this->requests.size();
  for (unsigned front = 0; front < this->world.settings.fronts; ++front) {
    auto const version = this->TableVersionAt(front);
    if (version != this->world.tableVersion)
      faults.push_back("front-" + std::to_string(front) + " has table " + std::to_string(version) + ", not " +
                       std::to_string(this->world.tableVersion));
    for (unsigned index = 0; index < kCalmRequests; ++index)
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
  auto const asked = this->requests.size() - before;
  if (double(served) < kServedWhenCalm * double(asked))
    faults.push_back("after the faults " + std::to_string(served) + " of " + std::to_string(asked) + " were served");
  return faults;
}

}
