#pragma once

#include <LibServing/StorePosition.h>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam::Gateway {

/// An object of the store at some revision; without a document if it does not exist.
struct LoggedObject
{
  std::string name;
  /// Where in the store's history the object last changed.
  StorePosition revision{ 0 };
  /// The object as JSON text.
  std::optional<std::string> document;
};

/// How the objects of one kind changed from one revision of the store to another. Contains the latest state of each
/// changed object, not each change.
struct ObjectUpdate
{
  /// Set if the update lists all objects that exist; `from` is then unused.
  bool complete{ false };
  StorePosition from{ 0 };
  StorePosition to{ 0 };
  std::vector<LoggedObject> objects;
  /// Readers beyond this revision cannot use the update: they may know objects that its sender never saw.
  StorePosition readerLimit{ std::numeric_limits<StorePosition>::max() };
};

/// All objects of one kind as of one revision of the store, and which of them changed lately.
struct ObjectLog
{
  struct Entry
  {
    LoggedObject object;
    /// Readers at this revision or later know the state.
    StorePosition changedAt{ 0 };
  };
  /// A complete update took the log from one revision to another. Objects that existed only in between are unknown, so
  /// a reader whose revision lies in between needs a complete update, too.
  struct Gap
  {
    StorePosition after{ 0 };
    StorePosition to{ 0 };
  };
  /// Zero until the first complete update.
  StorePosition revision{ 0 };
  /// Removals up to this revision have been forgotten.
  StorePosition removalsForgottenTo{ 0 };
  /// Objects that exist, and objects that were removed lately.
  std::map<std::string, Entry> entries;
  std::vector<Gap> gaps;
};

/// Applies an update and returns the objects that it changed. Updates come from several sources that lag behind each
/// other; one that adds nothing to the log's revision, or does not connect to it, is ignored. An update of a new era of
/// the store adds to every former one: it is complete, or comes from a log that a complete one has taken to that era.
std::vector<LoggedObject>
ApplyUpdate(ObjectLog& aLog, ObjectUpdate const& aUpdate);

/// Returns the changes since a revision that a reader already has, or all objects if they cannot be determined. The
/// update is empty, with `to` at most aSince, if this log has nothing newer.
ObjectUpdate
UpdateSince(ObjectLog const& aLog, StorePosition aSince);

}
