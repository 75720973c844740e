#include "Scenario.h"
#include <algorithm>

namespace Hornbeam {

static Duration
MillisecondsAt(YAML::Node const& aNode, char const* aKey, std::int64_t aDefault = 0)
{
  return std::chrono::milliseconds(aNode[aKey] ? aNode[aKey].as<std::int64_t>() : aDefault);
}

static std::string
TextAt(YAML::Node const& aNode, char const* aKey)
{
  return aNode[aKey] ? aNode[aKey].as<std::string>() : std::string();
}

static ScenarioExpectation
ReadExpectation(YAML::Node const& aNode)
{
  auto const number = [&](char const* aKey, int aDefault) { return aNode[aKey] ? aNode[aKey].as<int>() : aDefault; };
  ScenarioExpectation expectation;
  expectation.completePercent = number("complete_percent", 0);
  expectation.members = number("members", 0);
  expectation.acceptedEdits = number("accepted_edits", -1);
  expectation.conflictingEdits = number("conflicting_edits", -1);
  expectation.unavailableEdits = number("unavailable_edits", -1);
  expectation.coldOverloads = number("cold_overloads", -1);
  expectation.idleTarget = TextAt(aNode, "quiet");
  expectation.idleFrom = MillisecondsAt(aNode, "from_ms");
  expectation.idleUntil = MillisecondsAt(aNode, "until_ms");
  expectation.endedFront = TextAt(aNode, "ended");
  return expectation;
}

Scenario
LoadScenario(std::string const& aFile)
{
  auto const document = YAML::LoadFile(aFile);
  Scenario scenario;
  scenario.name = document["name"].as<std::string>();
  scenario.startsWarm = TextAt(document, "endpoints") != "cold";
  scenario.length = MillisecondsAt(document, "length_ms", 10000);
  for (auto const& load : document["load"]) {
    scenario.loads.push_back({ load["pipeline"].as<std::string>(),
                               load["account"].as<std::string>(),
                               MillisecondsAt(load, "every_ms"),
                               MillisecondsAt(load, "from_ms"),
                               MillisecondsAt(load, "until_ms", Milliseconds(scenario.length)),
                               TextAt(load, "keyed") == "yes",
                               MillisecondsAt(load, "resend_after_ms") });
  }
  for (auto const& event : document["events"]) {
    scenario.events.push_back({ MillisecondsAt(event, "at_ms"),
                                event["do"].as<std::string>(),
                                TextAt(event, "target"),
                                TextAt(event, "value"),
                                MillisecondsAt(event, "for_ms") });
  }
  for (auto const& expectation : document["expect"])
    scenario.expectations.push_back(ReadExpectation(expectation));
  return scenario;
}

/// An edit of one cell, given as "cell=value".
static TableEdit
CellEdit(World& aWorld, std::string const& aRow, std::string const& aCellAndValue, std::optional<Revision> aExpected)
{
  LastReason reason;
  auto const key = ParseRowKey(aRow, reason);
  VERIFY(key.has_value()) << reason.detail;
  auto const equals = aCellAndValue.find('=');
  RowEdit edit{
    *key, RowEditKind::Merge, { { aCellAndValue.substr(0, equals), aCellAndValue.substr(equals + 1) } }, aExpected
  };
  return { "edit-" + std::to_string(aWorld.Random()), { edit } };
}

static bool
ExecuteFrontEvent(World& aWorld, ScenarioEvent const& aEvent)
{
  auto const& target = aEvent.target;
  if (aEvent.action == "kill")
    aWorld.Kill(target);
  else if (aEvent.action == "restart")
    aWorld.Restart(target);
  else if (aEvent.action == "freeze")
    aWorld.Freeze(target, aEvent.duration);
  else if (aEvent.action == "cut-store")
    aWorld.SetStoreReachable(target, Reachability::Cut);
  else if (aEvent.action == "cut-peers")
    aWorld.SetPeersReachable(target, Reachability::Cut);
  else if (aEvent.action == "heal") {
    aWorld.SetStoreReachable(target, Reachability::Connected);
    aWorld.SetPeersReachable(target, Reachability::Connected);
  } else if (aEvent.action == "shutdown")
    aWorld.Shutdown(target);
  else
    return false;
  return true;
}

static bool
ExecuteStoreEvent(World& aWorld, ScenarioEvent const& aEvent)
{
  auto& store = aWorld.Store();
  if (aEvent.action == "store-down")
    store.SetFault(StoreFault::Down);
  else if (aEvent.action == "store-loses-write-answers")
    store.SetFault(StoreFault::LoseWriteResponses);
  else if (aEvent.action == "store-slow")
    store.SetDelay(aEvent.duration);
  else if (aEvent.action == "store-well") {
    store.SetFault(StoreFault::None);
    store.SetDelay(1ms);
  } else if (aEvent.action == "vm-leaving")
    store.SetVms({ { aEvent.target + ":1", VmState::Leaving },
                   { "front-1:1", VmState::Live },
                   { "front-2:1", VmState::Live },
                   { "front-3:1", VmState::Live } });
  else
    return false;
  return true;
}

static bool
ExecuteEndpointEvent(World& aWorld, ScenarioEvent const& aEvent)
{
  if (!aEvent.action.starts_with("endpoint-"))
    return false;
  auto& endpoint = aWorld.Endpoint(aEvent.target);
  if (aEvent.action == "endpoint-kill") {
    endpoint.alive = false;
    endpoint.Restart();
  } else if (aEvent.action == "endpoint-back")
    endpoint.alive = true;
  else if (aEvent.action == "endpoint-restart")
    endpoint.Restart();
  else if (aEvent.action == "endpoint-slow")
    endpoint.Model().slowness = std::stod(aEvent.value);
  else if (aEvent.action == "endpoint-cold")
    endpoint.Model().MakeCold();
  else if (aEvent.action == "endpoint-loses-answers")
    endpoint.responsesToLose = std::stoi(aEvent.value);
  else if (aEvent.action == "endpoint-mixes-up")
    endpoint.responsesToMisattribute = std::stoi(aEvent.value);
  else if (aEvent.action == "endpoint-doubles") {
    endpoint.duplicateTokens = true;
    endpoint.duplicateResponses = true;
  } else
    return false;
  return true;
}

void
ExecuteEvent(World& aWorld, ScenarioEvent const& aEvent, std::vector<std::shared_ptr<TrackedEdit>>& aEdits)
{
  if (ExecuteFrontEvent(aWorld, aEvent) || ExecuteStoreEvent(aWorld, aEvent) || ExecuteEndpointEvent(aWorld, aEvent))
    return;
  if (aEvent.action == "data-center-out" || aEvent.action == "data-center-in") {
    auto const state = aEvent.action.substr(aEvent.action.rfind('-') + 1);
    aEdits.push_back(aWorld.SetDataCenterState(aEvent.value, aEvent.target, state));
    return;
  }
  if (aEvent.action == "edit" || aEvent.action == "edit-if-unchanged") {
    // value: "front-1 warm_limit=6"
    auto const space = aEvent.value.find(' ');
    auto const front = aEvent.value.substr(0, space);
    std::optional<Revision> expected;
    if (aEvent.action == "edit-if-unchanged")
      expected = Revision(1);
    aEdits.push_back(aWorld.Edit(front, CellEdit(aWorld, aEvent.target, aEvent.value.substr(space + 1), expected)));
    return;
  }
  VERIFY(false) << "unknown scenario event " << aEvent.action;
}

/// The callers of a scenario. They ask any running front which front to use.
class ScenarioCallers
{
public:
  explicit ScenarioCallers(World& aWorld)
    : world(aWorld)
  {
  }

  void Send(ScenarioLoad const& aLoad)
  {
    auto const front = this->NextFront();
    if (front.empty())
      return;
    auto const number = std::to_string(++this->sent);
    auto const input = aLoad.pipeline + "-" + number;
    auto const key = aLoad.keyed ? this->world.KeyPrefix(front) + "~k" + number : std::string();
    this->world.Submit(front, aLoad.pipeline, aLoad.account, input, key);
    if (aLoad.resendAfter > 0ms)
      this->resends.push_back({ this->world.Now() + aLoad.resendAfter, aLoad, input, key });
  }

  void Resend()
  {
    auto const due = std::ranges::partition(
      this->resends, [&](PendingResend const& aResend) { return aResend.at > this->world.Now(); });
    std::vector<PendingResend> const now(due.begin(), due.end());
    this->resends.erase(due.begin(), due.end());
    for (auto const& each : now) {
      auto const front = this->NextFront();
      if (!front.empty())
        this->world.Submit(front, each.load.pipeline, each.load.account, each.input, each.key);
    }
  }

private:
  struct PendingResend
  {
    MonotonicTime at{};
    ScenarioLoad load;
    std::string input;
    std::string key;
  };

  /// The front that GET /v1/entry of the first running front would return.
  std::string NextFront()
  {
    for (std::string const name : { "front-1", "front-2", "front-3" }) {
      if (!this->world.IsAlive(name) || this->world.HasEnded(name))
        continue;
      auto const members =
        this->world.FrontNamed(name).Find<MembershipService>(ServiceName::kMembership).AvailableMembers();
      for (std::size_t tries = 0; tries < members.size(); ++tries) {
        auto const& chosen = members[this->turn++ % members.size()].name;
        // A caller whose connection is refused tries the next address.
        if (this->world.IsAlive(chosen) && !this->world.HasEnded(chosen))
          return chosen;
      }
    }
    return {};
  }

  World& world;
  std::size_t turn{ 0 };
  int sent{ 0 };
  std::vector<PendingResend> resends;
};

static int
CountEdits(std::vector<std::shared_ptr<TrackedEdit>> const& aEdits, EditStatus aStatus)
{
  return static_cast<int>(std::ranges::count_if(
    aEdits, [&](auto const& aEdit) { return aEdit->result && aEdit->result->status == aStatus; }));
}

static std::vector<std::string>
EndpointsOf(std::string const& aTarget)
{
  if (!aTarget.starts_with("dc-"))
    return { aTarget };
  auto const number = aTarget.substr(3);
  std::vector<std::string> endpoints{ "encode-" + number, "generate-" + number };
  if (number != "3")
    endpoints.push_back("redemption-" + number);
  return endpoints;
}

/// Checks the outcome of a run against its expectations.
struct ScenarioChecker
{
  World& world;
  std::vector<std::shared_ptr<TrackedEdit>> const& edits;
  MonotonicTime startedAt;
  std::vector<std::string>& violations;

  void Compare(char const* aWhat, int aExpected, int aActual)
  {
    if (aExpected >= 0 && aExpected != aActual)
      this->violations.push_back(std::string(aWhat) + ": expected " + std::to_string(aExpected) + ", saw " +
                                 std::to_string(aActual));
  }

  void CheckCompletion(int aPercent)
  {
    auto const& requests = this->world.Requests();
    auto const complete = std::ranges::count_if(
      requests, [](auto const& aEach) { return aEach->responseCount == 1 && !aEach->response.refusal; });
    auto const needed = static_cast<std::int64_t>(requests.size()) * aPercent;
    if (aPercent > 0 && (requests.empty() || complete * 100 < needed))
      this->violations.push_back(std::to_string(complete) + " of " + std::to_string(requests.size()) +
                                 " requests completed; expected " + std::to_string(aPercent) + "%; " +
                                 this->Refusals());
  }

  /// How many requests were refused, by reason, and in which time range they were sent.
  std::string Refusals() const
  {
    struct Span
    {
      int count{ 0 };
      MonotonicTime first{};
      MonotonicTime last{};
    };
    std::map<std::string, Span> spans;
    for (auto const& request : this->world.Requests()) {
      bool const complete = request->responseCount > 0 && !request->response.refusal;
      if (complete)
        continue;
      auto const reason = request->responseCount == 0 ? "connection lost" : ToString(request->response.refusal->reason);
      auto& span = spans[request->request.pipeline + " " + reason];
      span.first = span.count++ == 0 ? request->sentAt : span.first;
      span.last = request->sentAt;
    }
    std::string text;
    for (auto const& [reason, span] : spans)
      text += std::to_string(span.count) + " " + reason + " sent " +
              std::to_string(Milliseconds(span.first - this->startedAt)) + ".." +
              std::to_string(Milliseconds(span.last - this->startedAt)) + " ms; ";
    return text;
  }

  void CheckNoNewWork(ScenarioExpectation const& aExpectation)
  {
    for (auto const& name : EndpointsOf(aExpectation.idleTarget)) {
      for (auto const arrival : this->world.Endpoint(name).History().arrivals) {
        auto const at = arrival - this->startedAt;
        if (at > aExpectation.idleFrom && at < aExpectation.idleUntil)
          this->violations.push_back(name + " got new work at " + std::to_string(Milliseconds(at)) + " ms");
      }
    }
  }

  void CheckMembers(int aMembers)
  {
    for (std::string const name : { "front-1", "front-2", "front-3" }) {
      if (!this->world.IsAlive(name) || this->world.HasEnded(name))
        continue;
      auto const* const record =
        this->world.FrontNamed(name).Find<MembershipService>(ServiceName::kMembership).ActiveRecord();
      this->Compare((name + " sees members").c_str(), aMembers, record ? static_cast<int>(record->members.size()) : 0);
    }
  }

  void CheckColdOverloads(int aExpected)
  {
    int overloads = 0;
    std::string times;
    for (std::string const pool : { "encode-", "generate-", "redemption-" }) {
      for (std::string const number : { "1", "2", "3" }) {
        if (pool == "redemption-" && number == "3")
          continue;
        for (auto const sinceRestart : this->world.Endpoint(pool + number).History().coldOverloads) {
          ++overloads;
          times += " " + pool + number + " " + std::to_string(Milliseconds(sinceRestart)) + " ms after its restart";
        }
      }
    }
    this->Compare(("calls to cold endpoints beyond their capacity" + times).c_str(), aExpected, overloads);
  }

  void Check(ScenarioExpectation const& aExpectation)
  {
    this->CheckCompletion(aExpectation.completePercent);
    this->Compare("accepted edits", aExpectation.acceptedEdits, CountEdits(this->edits, EditStatus::Accepted));
    this->Compare("conflicting edits", aExpectation.conflictingEdits, CountEdits(this->edits, EditStatus::Conflict));
    this->Compare(
      "unavailable edits", aExpectation.unavailableEdits, CountEdits(this->edits, EditStatus::StoreUnavailable));
    if (aExpectation.members > 0)
      this->CheckMembers(aExpectation.members);
    if (aExpectation.coldOverloads >= 0)
      this->CheckColdOverloads(aExpectation.coldOverloads);
    if (!aExpectation.idleTarget.empty())
      this->CheckNoNewWork(aExpectation);
    if (!aExpectation.endedFront.empty() && !this->world.HasEnded(aExpectation.endedFront))
      this->violations.push_back(aExpectation.endedFront + " has not ended");
  }
};

std::vector<std::string>
RunScenario(Scenario const& aScenario, std::uint64_t aSeed)
{
  auto const world = MakeStandardWorld(aSeed, aScenario.startsWarm);
  std::vector<std::string> violations;
  if (!world->AwaitMembership(20s))
    violations.push_back("the fronts did not become members");
  ScenarioCallers callers(*world);
  std::vector<std::shared_ptr<TrackedEdit>> edits;
  auto const startedAt = world->Now();
  for (Duration now{ 0 }; now < aScenario.length; now += 1ms) {
    for (auto const& event : aScenario.events) {
      if (event.at == now)
        ExecuteEvent(*world, event, edits);
    }
    for (auto const& load : aScenario.loads) {
      if (now >= load.from && now < load.until && (now - load.from) % load.interval == 0ms)
        callers.Send(load);
    }
    callers.Resend();
    world->Advance(1ms);
  }
  world->Advance(7s);
  world->CheckResponses();
  std::ranges::copy(world->Violations(), std::back_inserter(violations));
  ScenarioChecker checker{ *world, edits, startedAt, violations };
  for (auto const& expectation : aScenario.expectations)
    checker.Check(expectation);
  return violations;
}

}
