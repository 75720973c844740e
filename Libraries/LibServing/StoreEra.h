#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace Hornbeam::Gateway {

/// The era of the store, as its answers tell it: how often the store was restored from an older copy.
struct StoreEra
{
  /// The greatest era of any answer; zero before the first one that bears an era.
  std::uint64_t latest{ 0 };
  /// How often the era has risen since then.
  unsigned restores{ 0 };
};

enum class EraVerdict
{
  /// The answer is of the latest era. Answers without a readable era are, as long as no answer has borne one.
  Current,
  /// The answer is the first of a new era: the store was restored.
  Restored,
  /// The answer is of a former era, or does not say which: it must not be used.
  Unusable,
};

/// Judges an answer of the store by its era and records it. aEra is the text of the era, if the answer bears one.
EraVerdict
RecordEra(StoreEra& aState, std::optional<std::string> const& aEra);

/// Records an era that another front learnt from an answer of the store.
void
RaiseEra(StoreEra& aState, std::uint64_t aEra);

}
