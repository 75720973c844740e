#include "StateCache.h"
#include <algorithm>

namespace Hornbeam::Gateway {

std::uint64_t
StateCache::Era() const
{
  std::uint64_t era = 0;
  for (auto const& [kind, log] : this->logs)
    era = std::max(era, EraOf(log.revision));
  return era;
}

void
StateCache::OnStoreRestored()
{
  // The answer that told of the new era is delivered first; it may be a list itself.
  this->clock.Schedule(Duration::zero(), [this] {
    for (auto const& [kind, watch] : this->watches)
      watch->ListInEra(this->store.Era().latest);
  });
}

void
StateCache::NoteEraOfPeer(std::uint64_t aEra)
{
  if (aEra <= std::max(this->eraOfPeers, this->Era()))
    return;
  PART_LOG("store") << "event=era-of-peer era=" << aEra << " own_era=" << this->Era();
  this->eraOfPeers = aEra;
  for (auto const& [kind, watch] : this->watches)
    watch->ListInEra(aEra);
}

void
StateCache::MoveRevisions(ObjectKind aKind)
{
  auto const move = [&](std::string const& aName, StorePosition& aRevision) {
    auto const object = this->ObjectInLog(aKind, aName);
    if (object && RevisionOf(object->revision) == RevisionOf(aRevision))
      aRevision = object->revision;
  };
  if (aKind == ObjectKind::Front)
    for (auto& [name, front] : this->fronts.byName)
      move(name, front.revision);
  if (aKind == ObjectKind::EndpointCrash)
    for (auto& [process, stored] : this->crashes)
      move(process, stored.revision);
}

std::optional<StoredObject>
StateCache::ObjectInLog(ObjectKind aKind, std::string const& aName) const
{
  auto const& entries = this->logs.at(aKind).entries;
  auto const found = entries.find(aName);
  if (found == entries.end() || !found->second.object.document)
    return std::nullopt;
  auto object = Platform::ParseObjectDocument(*found->second.object.document, 0);
  if (object)
    object->revision = found->second.object.revision;
  return object;
}

}
