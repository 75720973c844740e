#pragma once

#include <cstdint>
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
  /// The store's revision of the object's last change.
  std::uint64_t revision{ 0 };
  /// The object as JSON text.
  std::optional<std::string> document;
};

/// How the objects of one kind changed from one revision of the store to another. Contains the latest state of each
/// changed object, not each change.
struct ObjectUpdate
{
  /// Set if the update lists all objects that exist; `from` is then unused.
  bool complete{ false };
  std::uint64_t from{ 0 };
  std::uint64_t to{ 0 };
  std::vector<LoggedObject> objects;
  /// Readers beyond this revision cannot use the update: they may know objects that its sender never saw.
  std::uint64_t readerLimit{ std::numeric_limits<std::uint64_t>::max() };
};

/// All objects of one kind as of one revision of the store, and which of them changed lately.
struct ObjectLog
{
  struct Entry
  {
    LoggedObject object;
    /// Readers at this revision or later know the state.
    std::uint64_t changedAt{ 0 };
  };
  /// A complete update took the log from one revision to another. Objects that existed only in between are unknown, so
  /// a reader whose revision lies in between needs a complete update, too.
  struct Gap
  {
    std::uint64_t after{ 0 };
    std::uint64_t to{ 0 };
  };
  /// Zero until the first complete update.
  std::uint64_t revision{ 0 };
  /// Removals up to this revision have been forgotten.
  std::uint64_t removalsForgottenTo{ 0 };
  /// Objects that exist, and objects that were removed lately.
  std::map<std::string, Entry> entries;
  std::vector<Gap> gaps;
};

/// Applies an update and returns the objects that it changed. Updates come from several sources that lag behind each
/// other; one that adds nothing to the log's revision, or does not connect to it, is ignored.
std::vector<LoggedObject>
ApplyUpdate(ObjectLog& aLog, ObjectUpdate const& aUpdate);

/// Returns the changes since a revision that a reader already has, or all objects if they cannot be determined. The
/// update is empty, with `to` at most aSince, if this log has nothing newer.
ObjectUpdate
UpdateSince(ObjectLog const& aLog, std::uint64_t aSince);

}
