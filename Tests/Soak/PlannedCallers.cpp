#include "PlannedCallers.h"
#include "SoakCallers.h"
#include <Platform/CallerRequest.h>
#include <iostream>

namespace Hornbeam::Testing {

using namespace Gateway;

static constexpr unsigned kCallers = 20;
static constexpr unsigned kMaxAttempts = 2;
static constexpr unsigned kDirectoryTries = 3;
static constexpr Duration kDirectoryTimeout = 1s;
static constexpr Duration kClientTimeout = 2s;
/// Tolerance beyond the client timeout, because other load on the machine can delay a response.
static constexpr Duration kResponseSlack = 2s;
/// A request that was not forwarded may cross the close of its connection for this long (`loss_slack_ms`).
static constexpr Duration kCrossingTime = 200ms;
/// An endpoint may still be at work in the last sixth of the grace time on requests sent this long after SIGTERM.
static constexpr Duration kExemptSendTime = 3s;

struct KindTraits
{
  std::string_view name;
  unsigned events;
};

/// In the order of PlannedKind.
static constexpr KindTraits kTraits[] = { { "plain", 0 },
                                          { "safe", 0 },
                                          { "model", 5 },
                                          { "staged", 5 },
                                          { "slow-model", kSlowEvents },
                                          { "slow-staged", kSlowEvents } };

static KindTraits const&
TraitsOf(PlannedKind aKind)
{
  return kTraits[static_cast<unsigned>(aKind)];
}

static Duration
TimeoutOf(PlannedKind aKind)
{
  return aKind >= PlannedKind::SlowModel ? kSlowTimeout : kClientTimeout;
}

PlannedCallers::PlannedCallers(SoakWorld& aWorld, unsigned aSeed)
  : world(aWorld)
  , random(aSeed)
{
  for (unsigned index = 0; index < this->world.fronts.size(); ++index)
    this->frontOf[this->world.fronts[index]->Addresses().callers] = index;
  for (unsigned index = 0; index < kCallers; ++index) {
    PlannedCaller caller;
    caller.connections = std::make_unique<ConnectionPool>(this->world.loop.UvLoop(), this->world.clock);
    caller.patience = index % 3 == 0 ? 3 : 1;
    this->callers.push_back(std::move(caller));
  }
}

void
PlannedCallers::Refresh(PlannedCaller& aCaller, unsigned aTries)
{
  aCaller.isRefreshing = aTries > 0;
  if (aTries == 0)
    return;
  auto const done = [this, &aCaller, aTries](BufferedResponse const& aResponse) {
    auto const body = nlohmann::json::parse(aResponse.body, nullptr, false);
    if (aResponse.status != 200 || !body.is_object())
      return this->Refresh(aCaller, aTries - 1);
    auto const old = std::move(aCaller.addresses);
    aCaller.addresses = body.at("addresses").get<std::vector<std::string>>();
    for (auto const& address : old)
      if (std::ranges::find(aCaller.addresses, address) == aCaller.addresses.end())
        aCaller.connections->CloseIdleConnections(address);
    aCaller.failed.clear();
    aCaller.refreshAt = this->world.clock.Now() + aCaller.patience * FromSeconds(body.at("ttl_s").get<double>());
    aCaller.isRefreshing = false;
  };
  auto const& front = *this->world.fronts[this->random() % this->world.fronts.size()];
  auto call = GetRequestTo(front.Addresses().directory, "/lookup?name=h.example&region=r&zone=a");
  call.timeout = kDirectoryTimeout;
  SendBuffered(*aCaller.connections, std::move(call), done, Reuse::Fresh);
}

std::string const&
PlannedCallers::ChooseAddress(PlannedCaller const& aCaller)
{
  std::vector<std::string const*> usable;
  for (auto const& address : aCaller.addresses)
    if (!aCaller.failed.contains(address))
      usable.push_back(&address);
  if (usable.empty())
    return aCaller.addresses[this->random() % aCaller.addresses.size()];
  return *usable[this->random() % usable.size()];
}

void
PlannedCallers::Begin(PlannedCaller& aCaller)
{
  if (aCaller.refreshAt <= this->world.clock.Now() && !aCaller.isRefreshing)
    this->Refresh(aCaller, kDirectoryTries);
  if (aCaller.addresses.empty())
    return;
  // Plain and safe requests are as frequent as all streams together.
  static constexpr PlannedKind kMix[] = { PlannedKind::Once,      PlannedKind::Once,      PlannedKind::Safe,
                                          PlannedKind::Safe,      PlannedKind::Model,     PlannedKind::Staged,
                                          PlannedKind::SlowModel, PlannedKind::SlowStaged };
  auto const request = std::make_shared<PlannedRequest>();
  request->kind = kMix[this->random() % std::size(kMix)];
  request->name = "p" + std::to_string(this->requests.size());
  request->begin = this->world.clock.Now();
  this->requests.push_back(request);
  this->Send(aCaller, request, this->random() % 4 == 0 ? Reuse::Fresh : Reuse::Kept);
}

void
PlannedCallers::Send(PlannedCaller& aCaller, std::shared_ptr<PlannedRequest> const& aRequest, Reuse aReuse)
{
  auto const kind = aRequest->kind;
  auto const& address = this->ChooseAddress(aCaller);
  auto& attempt = aRequest->attempts.emplace_back();
  attempt.id = aRequest->name + "." + std::to_string(aRequest->attempts.size());
  attempt.front = this->frontOf.at(address);
  attempt.sent = this->world.clock.Now();
  CallerRequest callerRequest;
  callerRequest.method = kind == PlannedKind::Safe ? "GET" : "POST";
  callerRequest.target = "/" + std::string(TraitsOf(kind).name) + "/x";
  callerRequest.id = attempt.id;
  callerRequest.body = kind == PlannedKind::Safe ? "" : "body of " + attempt.id;
  callerRequest.clientTimeout = TimeoutOf(kind) - (attempt.sent - aRequest->begin);
  if (kind >= PlannedKind::Model)
    callerRequest.extraFields = { { "Hornbeamfront-Prefix-Hash", "aa:10,cc:5" },
                                  { "Hornbeamfront-Token-Usage", "35,9" } };
  if (kind == PlannedKind::Staged || kind == PlannedKind::SlowStaged) {
    callerRequest.extraFields.emplace_back("Hornbeamfront-Chunks", "2,3");
    callerRequest.extraFields.emplace_back("Hornbeamfront-Chunk-Key", "chunk-" + attempt.id);
  }
  CallEvents events;
  events.onHead = [aRequest](ResponseHead const& aHead) { aRequest->attempts.back().head = aHead; };
  events.onBody = [aRequest](std::string const& aChunk) { aRequest->attempts.back().body += aChunk; };
  events.onEnd = [this, &aCaller, aRequest](CallEnd aEnd) { this->OnEnd(aCaller, aRequest, aEnd); };
  aCaller.connections->Send(CallOf(callerRequest, address, kResponseSlack), std::move(events), aReuse);
}

void
PlannedCallers::OnEnd(PlannedCaller& aCaller, std::shared_ptr<PlannedRequest> const& aRequest, CallEnd aEnd)
{
  auto const now = this->world.clock.Now();
  auto& attempt = aRequest->attempts.back();
  attempt.end = aEnd;
  attempt.endedAt = now;
  attempt.outcome = this->OutcomeOf(attempt);
  if (aEnd != CallEnd::Complete)
    aCaller.failed.insert(this->world.fronts[attempt.front]->Addresses().callers);
  bool const mayRepeat = attempt.outcome == PlannedOutcome::Refused || attempt.outcome == PlannedOutcome::Unreached ||
                         (aRequest->kind == PlannedKind::Safe && attempt.outcome != PlannedOutcome::Answered);
  auto const left = aRequest->begin + TimeoutOf(aRequest->kind) - now;
  if (!mayRepeat || aRequest->attempts.size() == kMaxAttempts || left <= Duration::zero()) {
    aRequest->ended = true;
    return;
  }
  auto const stated = FieldValue(attempt.head.fields, "Retry-After");
  auto const wait = stated.empty() ? Duration::zero() : std::min<Duration>(FromSeconds(std::stod(stated)), left / 3);
  this->world.clock.Schedule(wait, [this, &aCaller, aRequest] { this->Send(aCaller, aRequest, Reuse::Fresh); });
}

void
PlannedCallers::Load(Duration aTime, Duration aGap)
{
  auto const until = this->world.clock.Now() + aTime;
  while (this->world.clock.Now() < until) {
    this->Begin(this->callers[this->random() % this->callers.size()]);
    this->world.RunFor(aGap);
    this->world.CheckProcesses();
  }
  while (std::ranges::any_of(this->requests, [](auto const& aRequest) { return !aRequest->ended; })) {
    this->world.CheckProcesses();
    this->world.RunFor(20ms);
  }
}

unsigned
PlannedCallers::EndpointsReached(std::string const& aId) const
{
  unsigned count = 0;
  for (auto const& endpoint : this->world.endpoints)
    count += unsigned(std::ranges::count(endpoint.standIn->seen, aId, &SeenRequest::id));
  return count;
}

PlannedOutcome
PlannedCallers::OutcomeOf(PlannedAttempt const& aAttempt) const
{
  static constexpr unsigned kPromises[] = { 408, 421, 429, 503 };
  auto const status = aAttempt.head.status;
  switch (aAttempt.end) {
    case CallEnd::Complete:
      if (status / 100 == 2)
        return PlannedOutcome::Answered;
      return std::ranges::count(kPromises, status) > 0 ? PlannedOutcome::Refused : PlannedOutcome::Error;
    case CallEnd::NotSent:
      return PlannedOutcome::Unreached;
    default:
      break;
  }
  bool const crossing = status == 0 && aAttempt.endedAt - aAttempt.sent <= kCrossingTime;
  return crossing && this->EndpointsReached(aAttempt.id) == 0 ? PlannedOutcome::Unreached : PlannedOutcome::Lost;
}

/// Whether an endpoint was still at work in the last sixth of the grace time, on a request sent early in it.
bool
PlannedCallers::IsExempt(PlannedAttempt const& aAttempt) const
{
  for (auto const& period : this->world.UnavailablePeriodsOf(aAttempt.front)) {
    auto const lastSixth = period.begin + this->world.settings.graceTime * 5 / 6;
    if (aAttempt.sent > period.begin + kExemptSendTime || aAttempt.endedAt < lastSixth || aAttempt.endedAt > period.end)
      continue;
    for (auto const& endpoint : this->world.endpoints)
      for (auto const& seen : endpoint.standIn->seen) {
        auto const& standIn = *endpoint.standIn;
        auto const workTime = standIn.workTime + standIn.events * standIn.eventTime;
        if (seen.id == aAttempt.id && standIn.Kind() != EndpointKind::Stage && seen.at + workTime > lastSixth)
          return true;
      }
  }
  return false;
}

std::optional<std::string>
PlannedCallers::ViolationOf(PlannedKind aKind, PlannedAttempt const& aAttempt, unsigned aRuns) const
{
  if (aKind == PlannedKind::Once && aRuns > 1)
    return "ran " + std::to_string(aRuns) + " times";
  if (aAttempt.outcome == PlannedOutcome::Refused && aRuns != 0)
    return "was refused although it ran";
  auto const events = TraitsOf(aKind).events;
  auto const plainPrefix =
    aAttempt.body.starts_with("answer of i-ledger-") && aAttempt.body.ends_with("-" + aAttempt.id);
  auto const stream = WholeStream(aAttempt.id, events);
  if (aAttempt.outcome == PlannedOutcome::Answered && !(events == 0 ? plainPrefix : aAttempt.body == stream))
    return "got an incomplete or foreign response: " + aAttempt.body;
  if (aAttempt.outcome == PlannedOutcome::Lost && aAttempt.head.status == 200 && events != 0 &&
      !stream.starts_with(aAttempt.body))
    return "got bytes that are not part of its response: " + aAttempt.body;
  if (aAttempt.outcome == PlannedOutcome::Error && aAttempt.head.status / 100 == 4)
    return "was rejected with status " + std::to_string(aAttempt.head.status);
  if (aAttempt.outcome == PlannedOutcome::Lost && !this->IsExempt(aAttempt))
    return "ended without a complete response: " + std::string(ToString(aAttempt.end)) + " after " +
           std::to_string(Milliseconds(aAttempt.endedAt - aAttempt.sent)) + " ms, status " +
           std::to_string(aAttempt.head.status) + ", body bytes " + std::to_string(aAttempt.body.size()) +
           ", endpoints reached " + std::to_string(this->EndpointsReached(aAttempt.id));
  return std::nullopt;
}

std::vector<std::string>
PlannedCallers::CheckGuarantees() const
{
  std::vector<std::string> violations;
  std::map<std::string, unsigned> runs;
  for (auto const& endpoint : this->world.endpoints)
    if (endpoint.standIn->Kind() != EndpointKind::Stage)
      for (auto const& seen : endpoint.standIn->seen)
        runs[seen.id] += seen.ran ? 1 : 0;
  for (auto const& request : this->requests)
    for (auto const& attempt : request->attempts) {
      auto const violation = this->ViolationOf(request->kind, attempt, runs[attempt.id]);
      if (!violation)
        continue;
      auto line = attempt.id + " (" + std::string(TraitsOf(request->kind).name) + ") at front-" +
                  std::to_string(attempt.front) + " sent at " +
                  std::to_string(Milliseconds(attempt.sent.time_since_epoch()) % 1000000) + " ms";
      for (auto const& period : this->world.UnavailablePeriodsOf(attempt.front))
        if (period.begin <= attempt.endedAt && attempt.sent <= period.end)
          line += ", " + std::to_string(Milliseconds(attempt.sent - period.begin)) + " ms after the signal,";
      violations.push_back(line + " " + *violation);
    }
  return violations;
}

void
PlannedCallers::PrintCounts() const
{
  auto const print = [](std::string const& aName, Counts const& aCounts) {
    std::cout << "  " << aName << ": answered=" << aCounts[0] << " refused=" << aCounts[1] << " errors=" << aCounts[2]
              << " unreached=" << aCounts[3] << " lost=" << aCounts[4] << "\n";
  };
  Counts first{};
  Counts after{};
  for (auto const& request : this->requests) {
    ++first[static_cast<unsigned>(request->attempts.front().outcome)];
    ++after[static_cast<unsigned>(request->attempts.back().outcome)];
  }
  print("first attempts", first);
  print("after all attempts", after);
}

}
