#include "DocumentDelta.h"
#include <algorithm>
#include <unordered_map>

namespace Hornbeam::Gateway {

/// Shorter chunks make smaller differences, but longer lists of pieces.
static constexpr std::size_t kMinChunk = 48;
static constexpr std::size_t kMaxDocuments = 8;
static constexpr std::size_t kMaxBytes = 4U << 20;
static constexpr std::size_t kMaxDeltas = 16;
/// More than the store accepts as a document.
static constexpr std::size_t kMaxResult = 16U << 20;

/// Splits a JSON text after the ends of objects, so that a change in one object leaves the chunks of the others alike.
static std::vector<std::string_view>
SplitIntoChunks(std::string_view aText)
{
  std::vector<std::string_view> chunks;
  std::size_t begin = 0;
  while (begin < aText.size()) {
    auto const end = aText.find('}', std::min(begin + kMinChunk, aText.size()));
    auto const size = (end == std::string_view::npos ? aText.size() : end + 1) - begin;
    chunks.push_back(aText.substr(begin, size));
    begin += size;
  }
  return chunks;
}

DocumentDelta
MakeDelta(std::string_view aBase, std::string_view aDocument)
{
  std::unordered_map<std::string_view, std::size_t> offsets;
  for (auto const chunk : SplitIntoChunks(aBase))
    offsets.emplace(chunk, std::size_t(chunk.data() - aBase.data()));
  DocumentDelta delta{ StableHash(aBase), StableHash(aDocument), {} };
  auto& pieces = delta.pieces;
  for (auto const chunk : SplitIntoChunks(aDocument)) {
    auto* const last = pieces.empty() ? nullptr : &pieces.back();
    auto const found = offsets.find(chunk);
    if (last != nullptr && last->size > 0 && aBase.substr(last->offset + last->size, chunk.size()) == chunk)
      last->size += chunk.size();
    else if (found != offsets.end())
      pieces.push_back({ found->second, chunk.size(), {} });
    else if (last != nullptr && last->size == 0)
      last->bytes += chunk;
    else
      pieces.push_back({ 0, 0, std::string(chunk) });
  }
  return delta;
}

std::optional<std::string>
ApplyDelta(std::string_view aBase, DocumentDelta const& aDelta)
{
  std::string result;
  for (auto const& piece : aDelta.pieces) {
    if (piece.offset > aBase.size() || piece.size > aBase.size() - piece.offset)
      return std::nullopt;
    if (result.size() + std::max(piece.size, piece.bytes.size()) > kMaxResult)
      return std::nullopt;
    result += piece.size > 0 ? aBase.substr(piece.offset, piece.size) : std::string_view(piece.bytes);
  }
  if (StableHash(result) != aDelta.result)
    return std::nullopt;
  return result;
}

static std::size_t
SizeOf(DocumentDelta const& aDelta)
{
  std::size_t size = 0;
  for (auto const& piece : aDelta.pieces)
    size += sizeof(piece.offset) + sizeof(piece.size) + piece.bytes.size();
  return size;
}

void
Remember(DocumentHistory& aHistory, std::string const& aName, std::uint64_t aRevision, std::string const& aDocument)
{
  auto const isSame = [&](auto const& aEntry) {
    return aEntry.name == aName && aEntry.revision == aRevision && *aEntry.document == aDocument;
  };
  if (aDocument.size() < kLargeDocument || std::ranges::any_of(aHistory.entries, isSame))
    return;
  aHistory.entries.push_front(
    { aName, aRevision, StableHash(aDocument), std::make_shared<std::string const>(aDocument) });
  std::size_t bytes = 0;
  std::size_t kept = 0;
  for (auto const& entry : aHistory.entries) {
    bytes += entry.document->size();
    if (kept > 0 && (kept == kMaxDocuments || bytes > kMaxBytes))
      break;
    ++kept;
  }
  aHistory.entries.resize(kept);
}

std::shared_ptr<std::string const>
FindDocument(DocumentHistory const& aHistory, std::uint64_t aHash)
{
  auto const found = std::ranges::find(aHistory.entries, aHash, &DocumentHistory::Entry::hash);
  return found == aHistory.entries.end() ? nullptr : found->document;
}

std::shared_ptr<DocumentDelta const>
FindDelta(DocumentHistory& aHistory,
          std::string const& aName,
          std::uint64_t aRevision,
          std::vector<std::uint64_t> const& aKnown)
{
  auto const target = std::ranges::find_if(
    aHistory.entries, [&](auto const& aEntry) { return aEntry.name == aName && aEntry.revision == aRevision; });
  auto const base = std::ranges::find_if(aHistory.entries, [&](auto const& aEntry) {
    return aEntry.name == aName && std::ranges::find(aKnown, aEntry.hash) != aKnown.end();
  });
  if (target == aHistory.entries.end() || base == aHistory.entries.end())
    return nullptr;
  if (aHistory.deltas.size() >= kMaxDeltas)
    aHistory.deltas.clear();
  auto& delta = aHistory.deltas[{ base->hash, target->hash }];
  if (!delta)
    delta = std::make_shared<DocumentDelta const>(MakeDelta(*base->document, *target->document));
  return SizeOf(*delta) < target->document->size() ? delta : nullptr;
}

}
