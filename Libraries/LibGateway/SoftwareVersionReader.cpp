#include "SoftwareVersionReader.h"
#include "GatewayNames.h"

namespace Hornbeam::Gateway {

using Platform::ObjectKind;
using Platform::StoreOutcome;

/// A caller that takes a stream up is not kept waiting longer for a store that is silent.
static constexpr Duration kReadTimeout = 700ms;
/// Endpoints and fronts have written again what a restored copy lacks about two seconds after the store's return.
static constexpr Duration kRewriteTime = 2300ms;

SoftwareVersionReader::SoftwareVersionReader(Kernel& aKernel)
  : clock(aKernel.Find<Clock>(GatewayName::kClock))
  , store(aKernel.Find<StoreClient>(GatewayName::kStore))
{
  this->store.AddRestoreListener([this] { this->restored = this->clock.Now(); });
}

void
SoftwareVersionReader::Read(Callback aDone)
{
  auto const question = ++this->lastQuestion;
  auto const timeout = this->clock.Schedule(kReadTimeout, [this, question] { this->Answer(question, std::nullopt); });
  this->questions[question] = { std::move(aDone), timeout };
  if (!this->reading)
    this->BeginRead();
}

void
SoftwareVersionReader::BeginRead()
{
  this->reading = true;
  this->lastOfRead = this->lastQuestion;
  this->answers = {};
  this->store.List(ObjectKind::Endpoint, [this](Platform::ObjectList aList) {
    this->answers.endpoints = std::move(aList);
    this->EndReadIfAnswered();
  });
  this->store.Get(ObjectKind::StreamOrigin, Platform::kSoftwareVersionsObject, [this](Platform::ObjectRead aRead) {
    this->answers.seenLately = std::move(aRead);
    this->EndReadIfAnswered();
  });
}

void
SoftwareVersionReader::EndReadIfAnswered()
{
  if (!this->answers.endpoints || !this->answers.seenLately)
    return;
  auto const versions = this->Decode();
  PART_LOG("streams") << "event=versions-read endpoints=" << ToString(this->answers.endpoints->outcome)
                      << " seen_lately=" << ToString(this->answers.seenLately->outcome)
                      << " usable=" << versions.has_value();
  this->reading = false;
  while (!this->questions.empty() && this->questions.begin()->first <= this->lastOfRead)
    this->Answer(this->questions.begin()->first, versions);
  if (!this->questions.empty() && !this->reading)
    this->BeginRead();
}

std::optional<ReadVersions>
SoftwareVersionReader::Decode() const
{
  auto const& [endpoints, seenLately] = this->answers;
  bool const read = endpoints->outcome == StoreOutcome::Done &&
                    (seenLately->outcome == StoreOutcome::Done || seenLately->outcome == StoreOutcome::NotFound);
  if (!read || (this->restored && this->clock.Now() - *this->restored < kRewriteTime))
    return std::nullopt;
  ReadVersions versions;
  for (auto const& object : endpoints->objects) {
    // An entry that cannot be read names no endpoint to use; the state cache logs it.
    std::string error;
    if (auto const entry = Platform::DecodeEndpoint(object, error))
      versions.present[entry->service].insert(entry->softwareVersion);
  }
  if (!seenLately->object)
    return versions;
  versions.seenLately = Platform::DecodeSoftwareVersions(*seenLately->object);
  versions.seenLatelyRevision = seenLately->object->revision;
  if (!versions.seenLately) {
    PART_WARNING("streams") << "event=versions-refused reason=unreadable";
    return std::nullopt;
  }
  return versions;
}

void
SoftwareVersionReader::Answer(std::uint64_t aQuestion, std::optional<ReadVersions> const& aVersions)
{
  auto const found = this->questions.find(aQuestion);
  VERIFY(found != this->questions.end());
  auto const question = std::move(found->second);
  this->questions.erase(found);
  this->clock.Cancel(question.timeout);
  question.done(aVersions);
}

}
