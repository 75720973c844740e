#include "StreamOriginService.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

using Platform::ObjectKind;
using Platform::StoreOutcome;

/// Records are passed on in batches. A caller does not take up a stream earlier than this after its first event.
static constexpr Duration kSendDelay = 10ms;
static constexpr Duration kResendDelay = 100ms;
static constexpr unsigned kMaxSends = 3;
/// With two, a record outlives the front that began the stream, even if that front is one of the keepers.
static constexpr std::size_t kKeepersPerRecord = 2;
/// What a keeper has not written when all fronts are killed is lost: shorter delays save more, and cost more writes.
static constexpr Duration kWriteDelay = 250ms;
/// The objects of a keeper are written again in turn; by then, the streams in the oldest one have ended.
static constexpr std::size_t kObjectsPerKeeper = 160;
static constexpr std::size_t kMaxUnwritten = 65536;
/// An unknown request makes a keeper read the store again at most this often.
static constexpr Duration kMinLoadInterval = 500ms;
static constexpr Duration kLoadRetryInterval = 1s;
static constexpr Duration kRefreshInterval = 5s;
static constexpr char kVersionsKey[] = "stream-versions";

StreamOriginService::StreamOriginService(Kernel& aKernel)
  : settings(aKernel.Find<GatewaySettings const>(GatewayName::kSettings))
  , stateCache(aKernel.Find<StateCache>(GatewayName::kStateCache))
  , clock(aKernel.Find<Clock>(GatewayName::kClock))
  , peers(aKernel.Find<FrontPeers>(GatewayName::kPeers))
  , store(aKernel.Find<StoreClient>(GatewayName::kStore))
  , versionReader(aKernel)
{
  this->stateCache.AddChangeListener([this] { this->OnStateChanged(); });
}

void
StreamOriginService::Start()
{
  this->started = this->clock.Now();
  this->ScheduleRefresh();
  if (this->settings.firstStart)
    return;
  this->LoadUntilKnown();
}

void
StreamOriginService::ScheduleRefresh()
{
  // Without changes of the state, the versions in use would seem to have been seen long ago.
  this->clock.Schedule(kRefreshInterval, [this] {
    this->ScheduleRefresh();
    this->OnStateChanged();
  });
}

void
StreamOriginService::LoadUntilKnown()
{
  this->Load([this] {
    if (!this->loaded && this->clock.Now() - this->started < kVersionMemory)
      this->clock.Schedule(kLoadRetryInterval, [this] { this->LoadUntilKnown(); });
  });
}

bool
StreamOriginService::KnowsFormerVersions() const
{
  return this->settings.firstStart || this->storedVersions || this->clock.Now() - this->started >= kVersionMemory;
}

void
StreamOriginService::OnStateChanged()
{
  for (auto const& service : NoteVersions(this->versions, this->stateCache.Endpoints(), this->clock.Now()))
    this->OnBecameSeveral(service);
  this->WriteVersionsIfChanged();
}

void
StreamOriginService::OnBecameSeveral(std::string const& aService)
{
  auto const records = RecordsOf(this->origins, aService);
  PART_LOG("streams") << "event=several-versions service=" << aService << " streams=" << records.size();
  // Streams that began while there was one version may be taken up from now on.
  for (auto const& record : records)
    this->QueueForKeeper(record);
}

void
StreamOriginService::OnStreamBegun(StreamRecord const& aRecord)
{
  if (RecordOrigin(this->origins, aRecord, this->clock.Now()) &&
      (HasSeveralVersions(this->versions, aRecord.origin.service) || !this->KnowsFormerVersions()))
    this->QueueForKeeper(aRecord);
}

std::vector<FrontEntry>
StreamOriginService::KeepersOf(std::string const& aRequestId) const
{
  auto const& fronts = this->stateCache.Fronts();
  return OwnersOf(fronts, KeeperKeyOf(aRequestId, fronts.byName.size()), kKeepersPerRecord, this->clock.Now());
}

bool
StreamOriginService::Writes(std::string const& aRequestId) const
{
  auto const keepers = this->KeepersOf(aRequestId);
  return keepers.empty() || keepers.front().name == this->settings.name;
}

void
StreamOriginService::QueueForKeeper(StreamRecord const& aRecord)
{
  this->unsent.push_back(aRecord);
  if (this->sendScheduled)
    return;
  this->sendScheduled = true;
  this->clock.Schedule(kSendDelay, [this] {
    this->sendScheduled = false;
    this->SendToKeepers();
  });
}

void
StreamOriginService::SendToKeepers()
{
  std::map<std::string, std::pair<FrontEntry, std::vector<StreamRecord>>> batches;
  for (auto const& record : std::exchange(this->unsent, {})) {
    if (this->Writes(record.requestId))
      this->QueueForStore(record);
    for (auto const& keeper : this->KeepersOf(record.requestId)) {
      if (keeper.name == this->settings.name)
        continue;
      auto& [entry, records] = batches[keeper.name];
      entry = keeper;
      records.push_back(record);
    }
  }
  for (auto const& [name, batch] : batches)
    this->SendBatch(batch.first, batch.second, 1);
}

void
StreamOriginService::SendBatch(FrontEntry const& aKeeper, std::vector<StreamRecord> const& aRecords, unsigned aAttempt)
{
  this->peers.RecordStreams(aKeeper.peerAddress, aRecords, [this, aKeeper, aRecords, aAttempt](bool aRecorded) {
    if (aRecorded)
      return;
    PART_WARNING("streams") << "event=keeper-failed front=" << aKeeper.name << " records=" << aRecords.size()
                            << " attempt=" << aAttempt;
    // A keeper that stays away is replaced; until then, this front keeps the records.
    if (aAttempt < kMaxSends)
      this->clock.Schedule(kResendDelay,
                           [this, aKeeper, aRecords, aAttempt] { this->SendBatch(aKeeper, aRecords, aAttempt + 1); });
    else
      for (auto const& record : aRecords)
        this->QueueForStore(record);
  });
}

void
StreamOriginService::OnRecords(std::vector<StreamRecord> const& aRecords)
{
  for (auto const& record : aRecords)
    if (RecordOrigin(this->origins, record, this->clock.Now()) && this->Writes(record.requestId))
      this->QueueForStore(record);
}

void
StreamOriginService::QueueForStore(StreamRecord const& aRecord)
{
  if (this->unwritten.size() >= kMaxUnwritten) {
    PART_WARNING("streams") << "event=records-dropped records=" << this->unwritten.size();
    this->unwritten.clear();
  }
  this->unwritten.push_back(aRecord);
  this->ScheduleWrite();
}

void
StreamOriginService::ScheduleWrite()
{
  if (this->writeScheduled || this->unwritten.empty())
    return;
  this->writeScheduled = true;
  this->clock.Schedule(kWriteDelay, [this] { this->WriteBatch(); });
}

void
StreamOriginService::WriteBatch()
{
  auto const name = this->ObjectName(this->nextObject++);
  auto const records = std::exchange(this->unwritten, {});
  auto const done = [this, name, records](Platform::WriteResult const& aResult) {
    this->writeScheduled = false;
    if (aResult.object)
      this->ownObjects[name] = aResult.object->revision;
    else
      this->ownObjects.erase(name);
    if (aResult.outcome != StoreOutcome::Done) {
      PART_LOG("streams") << "event=records-not-written object=" << name << " outcome=" << ToString(aResult.outcome)
                          << " records=" << records.size();
      // The object of a former process under this name is replaced next; the store may also be away.
      this->unwritten.insert(this->unwritten.begin(), records.begin(), records.end());
      --this->nextObject;
    }
    this->ScheduleWrite();
  };
  auto const known = this->ownObjects.find(name);
  if (known == this->ownObjects.end())
    this->store.Create(ObjectKind::StreamOrigin, name, Platform::EncodeStreamRecords(records), done);
  else
    this->store.Replace(ObjectKind::StreamOrigin, name, known->second, Platform::EncodeStreamRecords(records), done);
}

void
StreamOriginService::WriteVersionsIfChanged()
{
  auto const owner = OwnerOf(this->stateCache.Fronts(), kVersionsKey, this->clock.Now());
  if (!this->KnowsFormerVersions() || this->writingVersions || !this->stateCache.IsInitialized() || !owner ||
      owner->name != this->settings.name)
    return;
  Platform::VersionsByService present;
  for (auto const& [service, versions] : this->versions.lastSeen)
    for (auto const& [version, lastSeen] : versions)
      present[service].insert(version);
  if (present.empty() || this->storedVersions == present)
    return;
  this->writingVersions = true;
  auto const done = [this, present](Platform::WriteResult const& aResult) {
    this->writingVersions = false;
    PART_LOG("streams") << "event=versions-written outcome=" << ToString(aResult.outcome);
    this->storedVersionsRevision = aResult.object ? aResult.object->revision : 0;
    if (aResult.outcome == StoreOutcome::Done)
      this->storedVersions = present;
    else
      this->clock.Schedule(kLoadRetryInterval, [this] { this->WriteVersionsIfChanged(); });
  };
  auto value = Platform::EncodeSoftwareVersions(present);
  if (this->storedVersionsRevision == 0)
    this->store.Create(ObjectKind::StreamOrigin, Platform::kSoftwareVersionsObject, std::move(value), done);
  else
    this->store.Replace(ObjectKind::StreamOrigin,
                        Platform::kSoftwareVersionsObject,
                        this->storedVersionsRevision,
                        std::move(value),
                        done);
}

void
StreamOriginService::Load(std::function<void()> aDone)
{
  this->waitingForLoad.push_back(std::move(aDone));
  if (this->loading)
    return;
  this->loading = true;
  this->store.List(ObjectKind::StreamOrigin, [this](Platform::ObjectList const& aList) {
    this->loading = false;
    this->OnLoaded(aList);
    for (auto const& done : std::exchange(this->waitingForLoad, {}))
      done();
  });
}

void
StreamOriginService::AdoptOwnObjects(std::vector<Platform::StoredObject> const& aObjects)
{
  StorePosition latest{ 0 };
  for (std::size_t index = 0; index < kObjectsPerKeeper; ++index) {
    auto const found = std::ranges::find(aObjects, this->ObjectName(index), &Platform::StoredObject::name);
    if (found == aObjects.end())
      continue;
    this->ownObjects[found->name] = found->revision;
    if (found->revision < latest)
      continue;
    latest = found->revision;
    this->nextObject = index + 1;
  }
}

std::string
StreamOriginService::ObjectName(std::size_t aIndex) const
{
  return this->settings.name + "-" + std::to_string(aIndex % kObjectsPerKeeper);
}

void
StreamOriginService::OnLoaded(Platform::ObjectList const& aList)
{
  PART_LOG("streams") << "event=loaded outcome=" << ToString(aList.outcome) << " objects=" << aList.objects.size();
  if (aList.outcome != StoreOutcome::Done)
    return;
  auto const now = this->clock.Now();
  bool const first = !this->loaded && this->ownObjects.empty();
  this->loaded = now;
  if (first)
    this->AdoptOwnObjects(aList.objects);
  for (auto const& object : aList.objects) {
    if (object.name != Platform::kSoftwareVersionsObject) {
      for (auto const& record : Platform::DecodeStreamRecords(object))
        RecordOrigin(this->origins, record, now);
      continue;
    }
    auto const stored = Platform::DecodeSoftwareVersions(object);
    if (!stored)
      PART_WARNING("streams") << "event=versions-refused reason=unreadable";
    this->NoteStoredVersions(stored, object.revision);
  }
}

void
StreamOriginService::NoteStoredVersions(std::optional<Platform::VersionsByService> const& aVersions,
                                        StorePosition aRevision)
{
  this->storedVersionsRevision = aRevision;
  if (!aVersions)
    return;
  for (auto const& [service, versions] : *aVersions)
    for (auto const& version : versions)
      // What is read back must not keep alive what is written.
      if (!IsKnownVersion(this->versions, service, version) &&
          NoteVersion(this->versions, service, version, this->clock.Now()))
        this->OnBecameSeveral(service);
  this->storedVersions = aVersions;
}

void
StreamOriginService::OnVersionsRead(ReadVersions const& aVersions)
{
  // An object that is missing is created by its owner.
  if (aVersions.seenLately)
    this->NoteStoredVersions(aVersions.seenLately, aVersions.seenLatelyRevision);
  for (auto const& [service, versions] : aVersions.present)
    for (auto const& version : versions)
      if (NoteVersion(this->versions, service, version, this->clock.Now()))
        this->OnBecameSeveral(service);
}

void
StreamOriginService::ConfirmOnlyVersion(std::string const& aService,
                                        std::function<void(std::optional<std::string>)> aDone)
{
  if (HasSeveralVersions(this->versions, aService))
    return aDone(std::nullopt);
  this->versionReader.Read([this, aService, aDone](std::optional<ReadVersions> const& aVersions) {
    if (!aVersions)
      return aDone(std::nullopt);
    this->OnVersionsRead(*aVersions);
    aDone(this->KnowsFormerVersions() ? OnlyVersion(this->versions, aService) : std::nullopt);
  });
}

void
StreamOriginService::Find(StreamQuestion const& aQuestion, std::function<void(FoundOrigin)> aDone)
{
  auto const check = [aQuestion, aDone](std::optional<StreamOrigin> const& aOrigin, std::string_view aSource) {
    if (!aOrigin)
      aDone({ std::nullopt, aQuestion.requestId.empty() ? "not-named" : "unknown" });
    else if (aOrigin->requester != aQuestion.requester)
      aDone({ std::nullopt, "of-another-request" });
    else
      aDone({ aOrigin, aSource });
  };
  if (auto const* const known = FindOrigin(this->origins, aQuestion.requestId))
    return check(*known, "own");
  this->ConfirmOnlyVersion(aQuestion.service, [this, aQuestion, check](std::optional<std::string> const& aOnly) {
    if (aOnly)
      return check(StreamOrigin{ aQuestion.service, *aOnly, aQuestion.requester }, "only-version");
    this->AskKeepers(aQuestion, [this, aQuestion, check](std::optional<StreamOrigin> const& aOrigin) {
      if (aOrigin)
        return check(aOrigin, "keeper");
      this->FindRecord(aQuestion, [check](auto const& aStored) { check(aStored, "store"); });
    });
  });
}

void
StreamOriginService::AskKeepers(StreamQuestion const& aQuestion, OriginCallback aDone)
{
  struct Inquiry
  {
    OriginCallback done;
    std::size_t unanswered{ 0 };
  };
  auto const inquiry = std::make_shared<Inquiry>(Inquiry{ std::move(aDone), 0 });
  auto const answer = [inquiry](std::optional<StreamOrigin> const& aOrigin) {
    --inquiry->unanswered;
    if (!inquiry->done || (!aOrigin && inquiry->unanswered > 0))
      return;
    std::exchange(inquiry->done, nullptr)(aOrigin);
  };
  auto keepers = this->KeepersOf(aQuestion.requestId);
  std::erase_if(keepers, [&](auto const& aKeeper) { return aKeeper.name == this->settings.name; });
  inquiry->unanswered = keepers.size();
  if (keepers.empty())
    return inquiry->done(std::nullopt);
  for (auto const& keeper : keepers)
    this->peers.FindStream(keeper.peerAddress, aQuestion, answer);
}

void
StreamOriginService::FindAsKeeper(StreamQuestion const& aQuestion, OriginCallback aDone)
{
  if (auto const* const known = FindOrigin(this->origins, aQuestion.requestId))
    return aDone(*known);
  this->ConfirmOnlyVersion(aQuestion.service, [this, aQuestion, aDone](std::optional<std::string> const& aOnly) {
    if (aOnly)
      return aDone(StreamOrigin{ aQuestion.service, *aOnly, aQuestion.requester });
    this->FindRecord(aQuestion, aDone);
  });
}

void
StreamOriginService::FindRecord(StreamQuestion const& aQuestion, OriginCallback aDone)
{
  auto const find = [this, requestId = aQuestion.requestId, aDone] {
    auto const* const known = FindOrigin(this->origins, requestId);
    aDone(known == nullptr ? std::nullopt : std::optional(*known));
  };
  // Without several versions, the store has no records or did not answer just now.
  bool const mayBeStored = !aQuestion.requestId.empty() && HasSeveralVersions(this->versions, aQuestion.service);
  bool const loadedLately = this->loaded && this->clock.Now() - *this->loaded < kMinLoadInterval;
  if (!mayBeStored || loadedLately || FindOrigin(this->origins, aQuestion.requestId) != nullptr)
    return find();
  this->Load(find);
}

}
