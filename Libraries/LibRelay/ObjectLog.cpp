#include "ObjectLog.h"
#include <algorithm>
#include <set>

namespace Hornbeam::Gateway {

/// Number of removed objects, and of gaps, to remember for each kind. A reader that needs more receives all objects.
static constexpr std::size_t kMaxRemovals = 512;
static constexpr std::size_t kMaxGaps = 16;

static void
ForgetOldRemovals(ObjectLog& aLog)
{
  std::vector<std::pair<StorePosition, std::string>> removals;
  for (auto const& [name, entry] : aLog.entries)
    if (!entry.object.document)
      removals.emplace_back(entry.changedAt, name);
  if (removals.size() <= kMaxRemovals)
    return;
  std::ranges::sort(removals);
  removals.resize(removals.size() / 2);
  for (auto const& [changedAt, name] : removals)
    aLog.entries.erase(name);
  aLog.removalsForgottenTo = std::max(aLog.removalsForgottenTo, removals.back().first);
}

static void
RecordGap(ObjectLog& aLog, StorePosition aTo)
{
  aLog.gaps.push_back({ aLog.revision, aTo });
  if (aLog.gaps.size() <= kMaxGaps)
    return;
  aLog.removalsForgottenTo = std::max(aLog.removalsForgottenTo, aLog.gaps.front().to);
  aLog.gaps.erase(aLog.gaps.begin());
}

/// Records the state of an object; returns whether it is a change.
static bool
Record(ObjectLog& aLog, LoggedObject const& aObject, StorePosition aTo)
{
  auto const known = aLog.entries.find(aObject.name);
  bool const exists = known != aLog.entries.end() && known->second.object.document;
  if (!aObject.document) {
    // Recorded even if the object is unknown here: a reader may know it from another front.
    aLog.entries[aObject.name] = { aObject, aTo };
    return exists;
  }
  // A page of a list may already contain a state from after the list's revision.
  bool const older = exists && aObject.revision < known->second.object.revision;
  if (older || (exists && known->second.object.document == aObject.document))
    return false;
  aLog.entries[aObject.name] = { aObject, std::max(aTo, aObject.revision) };
  return true;
}

std::vector<LoggedObject>
ApplyUpdate(ObjectLog& aLog, ObjectUpdate const& aUpdate)
{
  std::vector<LoggedObject> changed;
  bool const connected = aLog.revision != 0 && aUpdate.from <= aLog.revision && aLog.revision <= aUpdate.readerLimit;
  if ((!aUpdate.complete && !connected) || aUpdate.to <= aLog.revision)
    return changed;
  std::set<std::string> listed;
  for (auto const& object : aUpdate.objects) {
    if (Record(aLog, object, aUpdate.to))
      changed.push_back(object);
    listed.insert(object.name);
  }
  if (aUpdate.complete) {
    for (auto& [name, entry] : aLog.entries)
      if (entry.object.document && !listed.contains(name)) {
        entry = { { name, aUpdate.to, std::nullopt }, aUpdate.to };
        changed.push_back(entry.object);
      }
  }
  // An update that spans a gap of its sender hides the same objects from the readers of this log.
  if (aUpdate.complete || aUpdate.readerLimit < aUpdate.to)
    RecordGap(aLog, aUpdate.to);
  // Objects that a restored store still has in the same state have it at the same revision.
  if (EraOf(aUpdate.to) != EraOf(aLog.revision))
    for (auto& [name, entry] : aLog.entries)
      entry.object.revision = MoveToEra(entry.object.revision, EraOf(aUpdate.to));
  aLog.revision = aUpdate.to;
  ForgetOldRemovals(aLog);
  return changed;
}

ObjectUpdate
UpdateSince(ObjectLog const& aLog, StorePosition aSince)
{
  ObjectUpdate update;
  update.from = aSince;
  update.to = aLog.revision;
  if (aLog.revision <= aSince)
    return update;
  bool const inGap =
    std::ranges::any_of(aLog.gaps, [&](auto const& aGap) { return aGap.after < aSince && aSince < aGap.to; });
  update.complete = aSince == 0 || inGap || aSince < aLog.removalsForgottenTo;
  for (auto const& gap : aLog.gaps)
    if (!update.complete && gap.after >= aSince)
      update.readerLimit = std::min(update.readerLimit, gap.after);
  for (auto const& [name, entry] : aLog.entries)
    if (update.complete ? entry.object.document.has_value() : entry.changedAt > aSince)
      update.objects.push_back(entry.object);
  return update;
}

}
