#include "StoreEra.h"
#include "StorePosition.h"
#include <charconv>

namespace Hornbeam::Gateway {

static std::optional<std::uint64_t>
ParseEra(std::string const& aText)
{
  std::uint64_t era = 0;
  auto const* const end = aText.data() + aText.size();
  auto const [position, failure] = std::from_chars(aText.data(), end, era);
  bool const valid = failure == std::errc() && position == end && era <= kMaxEra;
  return valid ? std::optional(era) : std::nullopt;
}

EraVerdict
RecordEra(StoreEra& aState, std::optional<std::string> const& aEra)
{
  auto const era = aEra ? ParseEra(*aEra) : std::nullopt;
  if (!era)
    return aState.latest == 0 ? EraVerdict::Current : EraVerdict::Unusable;
  if (*era < aState.latest)
    return EraVerdict::Unusable;
  if (*era == aState.latest)
    return EraVerdict::Current;
  bool const isFirst = aState.latest == 0;
  RaiseEra(aState, *era);
  return isFirst ? EraVerdict::Current : EraVerdict::Restored;
}

void
RaiseEra(StoreEra& aState, std::uint64_t aEra)
{
  if (aEra <= aState.latest)
    return;
  if (aState.latest != 0)
    ++aState.restores;
  aState.latest = aEra;
}

}
