#include "FakeStore.h"
#include <algorithm>
#include <utility>

namespace Hornbeam {

static constexpr Duration kCallTimeout = 1s;
static constexpr Duration kWatchTimeout = 10s;

FakeStore::FakeStore(Clock& aClock)
  : clock(aClock)
{
}

StoreResponse
FakeStore::ResponseFor(std::string const& aKey) const
{
  auto const found = this->objects.find(aKey);
  if (found == this->objects.end())
    return { StoreStatus::Absent, 0, "" };
  return { StoreStatus::Ok, found->second.version, found->second.value };
}

void
FakeStore::TimeOut(StoreCallback aDone)
{
  this->clock.Schedule(kCallTimeout, [aDone] { aDone({}); });
}

void
FakeStore::Read(std::string const& aKey, StoreCallback aDone)
{
  ++this->calls;
  if (this->fault == StoreFault::Down) {
    this->TimeOut(std::move(aDone));
    return;
  }
  this->clock.Schedule(this->delay, [this, aKey, aDone] {
    auto const response = this->ResponseFor(aKey);
    this->clock.Schedule(this->delay, [response, aDone] { aDone(response); });
  });
}

void
FakeStore::Write(std::string const& aKey, std::string aValue, StoreVersion aExpected, StoreCallback aDone)
{
  ++this->calls;
  if (this->fault == StoreFault::Down) {
    this->TimeOut(std::move(aDone));
    return;
  }
  bool const loseResponse = this->fault == StoreFault::LoseWriteResponses;
  this->clock.Schedule(this->delay, [this, aKey, value = std::move(aValue), aExpected, aDone, loseResponse] {
    auto& object = this->objects[aKey];
    if (object.version != aExpected) {
      this->clock.Schedule(this->delay, [aDone] { aDone({ StoreStatus::Conflict, 0, "" }); });
      return;
    }
    object = { ++this->lastVersion, value };
    auto const version = object.version;
    if (loseResponse)
      this->TimeOut(aDone);
    else
      this->clock.Schedule(this->delay, [aDone, version] { aDone({ StoreStatus::Ok, version, "" }); });
    for (auto const& waiting : std::exchange(this->watches[aKey], {})) {
      auto const response = this->ResponseFor(aKey);
      this->clock.Schedule(this->delay, [waiting, response] { waiting.done(response); });
    }
  });
}

void
FakeStore::Watch(std::string const& aKey, StoreVersion aKnown, StoreCallback aDone)
{
  ++this->calls;
  if (this->fault == StoreFault::Down) {
    this->TimeOut(std::move(aDone));
    return;
  }
  auto const response = this->ResponseFor(aKey);
  if (response.version != aKnown) {
    this->clock.Schedule(this->delay, [response, aDone] { aDone(response); });
    return;
  }
  auto const id = ++this->lastWatch;
  this->watches[aKey].push_back({ id, std::move(aDone) });
  this->clock.Schedule(kWatchTimeout, [this, aKey, id] {
    auto& waiting = this->watches[aKey];
    auto const found = std::ranges::find(waiting, id, &Waiting::id);
    if (found == waiting.end())
      return;
    auto const done = std::move(found->done);
    waiting.erase(found);
    done({ StoreStatus::Unchanged, 0, "" });
  });
}

void
FakeStore::ListVms(std::function<void(VmListResponse)> aDone)
{
  ++this->calls;
  bool const known = this->fault != StoreFault::Down && !this->vms.empty();
  VmListResponse const response{ known ? StoreStatus::Ok : StoreStatus::Unknown, this->vms };
  this->clock.Schedule(this->delay, [aDone, response] { aDone(response); });
}

}
