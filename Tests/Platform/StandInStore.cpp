#include "StandInStore.h"
#include <algorithm>

namespace Hornbeam::Testing {

using namespace Gateway;
using nlohmann::json;

StandInStore::StandInStore(uv_loop_t& aLoop, Clock& aClock, std::string aAddress)
  : clock(aClock)
  , address(std::move(aAddress))
  , entry(aLoop, aClock, [this](std::shared_ptr<Exchange> aExchange) { this->Handle(aExchange); })
{
  VERIFY(this->entry.Open(this->address));
}

void
StandInStore::Respond(Exchange& aExchange, unsigned aStatus, json const& aBody) const
{
  HeaderFields fields{ { "Content-Type", "application/json" } };
  if (!this->era.empty())
    fields.emplace_back("Store-Era", this->era);
  static constexpr std::string_view kRaw = "\"@raw@\"";
  auto text = aBody.dump();
  for (auto found = text.find(kRaw); found != std::string::npos; found = text.find(kRaw, found))
    text.replace(found, kRaw.size(), this->rawValue);
  aExchange.Respond({ aStatus, fields }, text);
}

json
StandInStore::ToDocument(std::string const& aName, Object const& aObject)
{
  json const metadata{ { "name", aName },
                       { "revision", aObject.revision },
                       { "created", 1 },
                       { "finalizers", json::array() },
                       { "deleting", false } };
  return { { "metadata", metadata }, { "spec", aObject.spec }, { "status", aObject.status } };
}

void
StandInStore::Change(std::string const& aKind, std::string const& aName, json aSpec)
{
  auto& object = this->state.objects[aKind][aName];
  object.spec = std::move(aSpec);
  object.revision = ++this->state.revision;
  this->state.history.push_back({ aKind, ToDocument(aName, object), false, this->state.revision });
}

void
StandInStore::Erase(std::string const& aKind, std::string const& aName)
{
  auto const found = this->state.objects[aKind].find(aName);
  if (found == this->state.objects[aKind].end())
    return;
  found->second.revision = ++this->state.revision;
  this->state.history.push_back({ aKind, ToDocument(aName, found->second), true, this->state.revision });
  this->state.objects[aKind].erase(found);
}

void
StandInStore::Put(std::string const& aKind, std::string const& aName, json aSpec)
{
  this->written[aKind][aName] = aSpec;
  this->Change(aKind, aName, std::move(aSpec));
  this->NotifyWatches();
}

void
StandInStore::Remove(std::string const& aKind, std::string const& aName)
{
  this->written[aKind][aName] = std::nullopt;
  this->Erase(aKind, aName);
  this->NotifyWatches();
}

bool
StandInStore::Has(std::string const& aKind, std::string const& aName) const
{
  auto const found = this->state.objects.find(aKind);
  return found != this->state.objects.end() && found->second.contains(aName);
}

json
StandInStore::StatusOf(std::string const& aKind, std::string const& aName) const
{
  return this->Has(aKind, aName) ? this->state.objects.at(aKind).at(aName).status : json();
}

std::size_t
StandInStore::Count(std::string const& aKind) const
{
  auto const found = this->state.objects.find(aKind);
  return found == this->state.objects.end() ? 0 : found->second.size();
}

std::size_t
StandInStore::CountSpecs(std::string const& aKind, json const& aSpec) const
{
  auto const found = this->state.objects.find(aKind);
  if (found == this->state.objects.end())
    return 0;
  return std::size_t(
    std::ranges::count_if(found->second, [&](auto const& aEntry) { return aEntry.second.spec == aSpec; }));
}

void
StandInStore::PutInHistoryGap(std::string const& aKind, std::string const& aName, json aSpec)
{
  this->CutWatches();
  this->Change(aKind, aName, std::move(aSpec));
  // A watch that starts now waits for events that have already been dropped.
  this->state.history.clear();
  this->clock.Schedule(150ms, [this] { this->DropHistory(); });
}

void
StandInStore::PutAfterDisconnect(std::string const& aKind, std::string const& aName, json aSpec, Duration aDelay)
{
  this->CutWatches();
  this->clock.Schedule(aDelay, [this, aKind, aName, aSpec] {
    this->Change(aKind, aName, aSpec);
    this->DropHistory();
  });
}

void
StandInStore::DropHistory()
{
  this->state.history.clear();
  this->state.historyFrom = this->state.revision;
}

void
StandInStore::TakeCopy()
{
  this->copy = this->state;
}

void
StandInStore::WriteAgain()
{
  for (auto const& [kind, objects] : this->written)
    for (auto const& [name, spec] : objects) {
      auto const found = this->state.objects[kind].find(name);
      bool const exists = found != this->state.objects[kind].end();
      if (!spec && exists)
        this->Erase(kind, name);
      else if (spec && (!exists || found->second.spec != *spec))
        this->Change(kind, name, *spec);
    }
  this->NotifyWatches();
}

void
StandInStore::Restore(WaitingWatches aWatches)
{
  if (aWatches == WaitingWatches::Cut)
    this->CutWatches();
  this->state = this->copy;
  this->era = std::to_string(std::stoull(this->era) + 1);
}

void
StandInStore::CutWatches()
{
  auto const cut = std::move(this->pendingWatches);
  this->pendingWatches.clear();
  for (auto const& watch : cut)
    watch.exchange->Abort();
}

void
StandInStore::NotifyWatches()
{
  auto const woken = std::move(this->pendingWatches);
  this->pendingWatches.clear();
  for (auto const& watch : woken)
    if (!this->TryCompleteWatch(watch))
      this->pendingWatches.push_back(watch);
}

bool
StandInStore::TryCompleteWatch(PendingWatch const& aWatch)
{
  if (aWatch.since < this->state.historyFrom) {
    this->Respond(*aWatch.exchange, 410, { { "error", "history is gone" } });
    return true;
  }
  json events = json::array();
  for (auto const& event : this->state.history)
    if (event.kind == aWatch.kind && event.revision > aWatch.since)
      events.push_back({ { "deleted", event.removed }, { "object", event.object } });
  if (events.empty())
    return false;
  this->RespondToWatch(aWatch.exchange, { { "events", events }, { "as_of", this->state.revision } });
  return true;
}

void
StandInStore::RespondToWatch(std::shared_ptr<Exchange> const& aExchange, json const& aBody)
{
  if (this->lostAnswer == LostAnswer::None) {
    this->Respond(*aExchange, 200, aBody);
    return;
  }
  this->abandoned.push_back(aExchange);
  if (this->lostAnswer == LostAnswer::Whole)
    return;
  aExchange->BeginStream({ 200, { { "Content-Type", "application/json" }, { "Store-Era", this->era } } });
  if (this->lostAnswer == LostAnswer::InsideBody)
    aExchange->SendChunk(aBody.dump().substr(0, 20));
}

void
StandInStore::Handle(std::shared_ptr<Exchange> const& aExchange)
{
  ++this->calls;
  switch (this->behavior) {
    case StoreBehavior::Refusing:
      return this->Respond(*aExchange, 503, json::object());
    case StoreBehavior::Resetting:
      return aExchange->Abort();
    case StoreBehavior::Silent:
      this->abandoned.push_back(aExchange);
      return;
    case StoreBehavior::Healthy:
      break;
  }
  auto const& request = aExchange->Request();
  auto const target = ParseStandInTarget(request.target);
  if (!target)
    return this->Respond(*aExchange, 400, json::object());
  auto const& [kind, name, isStatus, query] = *target;
  if (!this->unknownKind.empty() && kind == this->unknownKind)
    return this->Respond(*aExchange, this->unknownKindStatus, json::object());
  if (request.method == "PUT" && isStatus)
    return this->HandleStatusWrite(*aExchange, kind, name);
  if (request.method != "GET")
    return this->HandleWrite(*aExchange, *target);
  if (query.contains("watch"))
    return this->HandleWatch(
      aExchange, kind, std::stoull(query.at("watch")), std::chrono::milliseconds(std::stoull(query.at("wait_ms"))));
  if (!name.empty())
    return this->HandleGet(*aExchange, kind, name);
  this->HandleList(*aExchange, kind, query.contains("after") ? query.at("after") : "");
}

void
StandInStore::HandleGet(Exchange& aExchange, std::string const& aKind, std::string const& aName)
{
  auto const& objects = this->state.objects[aKind];
  auto const found = objects.find(aName);
  if (found == objects.end())
    return this->Respond(aExchange, 404, json::object());
  this->Respond(aExchange, 200, ToDocument(aName, found->second));
}

void
StandInStore::HandleList(Exchange& aExchange, std::string const& aKind, std::string const& aAfter)
{
  ++this->lists[aKind];
  json items = json::array();
  auto const& all = this->state.objects[aKind];
  auto next = all.upper_bound(aAfter);
  for (; next != all.end() && items.size() < this->pageSize; ++next)
    items.push_back(ToDocument(next->first, next->second));
  this->Respond(
    aExchange, 200, { { "items", items }, { "has_more", next != all.end() }, { "as_of", this->state.revision } });
}

void
StandInStore::HandleWatch(std::shared_ptr<Exchange> const& aExchange,
                          std::string const& aKind,
                          std::uint64_t aSince,
                          Duration aWait)
{
  if (this->watchStatus != 0)
    return this->Respond(*aExchange, this->watchStatus, json::object());
  PendingWatch const watch{ aExchange, aKind, aSince };
  if (aSince > this->state.revision)
    return this->Respond(*aExchange, 410, { { "error", "unknown revision" } });
  if (this->TryCompleteWatch(watch))
    return;
  if (this->answersWatchesAtOnce)
    return this->Respond(*aExchange, 200, { { "events", json::array() }, { "as_of", aSince } });
  this->pendingWatches.push_back(watch);
  this->clock.Schedule(aWait, [this, aExchange, aSince] {
    auto const erased =
      std::erase_if(this->pendingWatches, [&](PendingWatch const& aOther) { return aOther.exchange == aExchange; });
    // Events that were dropped meanwhile are not made up for: the response names the requested revision.
    if (erased != 0)
      this->Respond(*aExchange, 200, { { "events", json::array() }, { "as_of", aSince } });
  });
}

void
StandInStore::HandleWrite(Exchange& aExchange, StandInTarget const& aTarget)
{
  auto const& request = aExchange.Request();
  auto const& kind = aTarget.kind;
  auto const body = json::parse(request.body, nullptr, false);
  auto const name = aTarget.name.empty() ? body["metadata"]["name"].get<std::string>() : aTarget.name;
  auto const existing = this->state.objects[kind].find(name);
  bool const exists = existing != this->state.objects[kind].end();
  std::uint64_t expected = 0;
  if (auto const revision = aTarget.query.find("revision"); revision != aTarget.query.end())
    expected = std::stoull(revision->second);
  else if (body.is_object() && body["metadata"].contains("revision"))
    expected = body["metadata"]["revision"].get<std::uint64_t>();
  bool const differs = exists && expected != 0 && existing->second.revision != expected;
  if (exists && (request.method == "POST" || differs || kind == this->conflictingKind)) {
    ++this->conflicts;
    return this->Respond(aExchange, 409, ToDocument(name, existing->second));
  }
  if (request.method != "POST" && !exists)
    return this->Respond(aExchange, 404, json::object());
  if (request.method == "POST")
    ++this->creations;
  if (request.method == "DELETE") {
    ++this->removals;
    this->Erase(kind, name);
  } else
    this->Change(kind, name, body["spec"]);
  bool const lost = this->responsesToLose > 0;
  if (lost) {
    --this->responsesToLose;
    aExchange.Abort();
  } else if (request.method == "DELETE") {
    this->Respond(aExchange, 200, json::object());
  } else {
    this->Respond(aExchange, 200, ToDocument(name, this->state.objects[kind][name]));
  }
  this->NotifyWatches();
}

void
StandInStore::HandleStatusWrite(Exchange& aExchange, std::string const& aKind, std::string const& aName)
{
  auto const body = json::parse(aExchange.Request().body, nullptr, false);
  auto const found = this->state.objects[aKind].find(aName);
  if (found == this->state.objects[aKind].end())
    return this->Respond(aExchange, 404, json::object());
  // The condition is not optional.
  if (!body.is_object() || body["metadata"]["name"] != aName || !body["metadata"]["revision"].is_number_unsigned())
    return this->Respond(aExchange, 400, json::object());
  if (body["metadata"]["revision"].get<std::uint64_t>() != found->second.revision)
    return this->Respond(aExchange, 409, ToDocument(aName, found->second));
  ++this->statusWrites;
  found->second.status = body["status"];
  this->Change(aKind, aName, found->second.spec);
  this->Respond(aExchange, 200, ToDocument(aName, found->second));
  this->NotifyWatches();
}

}
