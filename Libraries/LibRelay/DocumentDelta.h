#pragma once

#include <LibCore/LibCore.h>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hornbeam::Gateway {

/// A large document as its differences from an earlier one that the reader has.
struct DocumentDelta
{
  /// Either bytes of the base document or, if size is zero, new ones.
  struct Piece
  {
    std::size_t offset{ 0 };
    std::size_t size{ 0 };
    std::string bytes;

    bool operator==(Piece const&) const = default;
  };
  /// The hashes of the base document and of the result.
  std::uint64_t base{ 0 };
  std::uint64_t result{ 0 };
  std::vector<Piece> pieces;
};

/// Returns the differences between two JSON texts. The pieces contain little more than the objects that differ.
DocumentDelta
MakeDelta(std::string_view aBase, std::string_view aDocument);

/// Returns nothing if the pieces do not fit the base document, or do not give the document of the delta's hash.
std::optional<std::string>
ApplyDelta(std::string_view aBase, DocumentDelta const& aDelta);

/// Documents of at least this size are told as differences, if possible.
inline constexpr std::size_t kLargeDocument = 16U << 10;

/// The latest states of large documents, as bases of differences.
struct DocumentHistory
{
  struct Entry
  {
    std::string name;
    std::uint64_t revision{ 0 };
    std::uint64_t hash{ 0 };
    std::shared_ptr<std::string const> document;
  };
  /// Newest first.
  std::deque<Entry> entries;
  /// Differences between two documents of the history, by their hashes.
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::shared_ptr<DocumentDelta const>> deltas;
};

/// Adds a document, unless it is there or small, and drops the oldest ones. aName names the object and its kind;
/// aRevision tells its states apart.
void
Remember(DocumentHistory& aHistory, std::string const& aName, std::uint64_t aRevision, std::string const& aDocument);

/// Returns the document of a hash, or null.
std::shared_ptr<std::string const>
FindDocument(DocumentHistory const& aHistory, std::uint64_t aHash);

/// Returns the differences between the state of an object in the history and the newest one of aKnown, the hashes of
/// the documents that a reader has; null without such documents, or if the differences would be no smaller.
std::shared_ptr<DocumentDelta const>
FindDelta(DocumentHistory& aHistory,
          std::string const& aName,
          std::uint64_t aRevision,
          std::vector<std::uint64_t> const& aKnown);

}
