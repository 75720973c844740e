#pragma once

#include <cstdint>
#include <string>

namespace Hornbeam::Gateway {

/// A revision of the store that is ordered across restores. A store that is restored from a copy gives out the
/// revisions since that copy a second time, and counts its restores as its era: positions are ordered by era, then by
/// revision. Zero stands for no position.
using StorePosition = std::uint64_t;

inline constexpr unsigned kRevisionBits = 44;
/// The greatest values that a position can hold.
inline constexpr std::uint64_t kMaxRevision = (std::uint64_t(1) << kRevisionBits) - 1;
inline constexpr std::uint64_t kMaxEra = (std::uint64_t(1) << (64 - kRevisionBits)) - 1;

/// aEra and aRevision must not exceed their limits.
constexpr StorePosition
MakePosition(std::uint64_t aEra, std::uint64_t aRevision)
{
  return (aEra << kRevisionBits) | aRevision;
}

constexpr std::uint64_t
EraOf(StorePosition aPosition)
{
  return aPosition >> kRevisionBits;
}

constexpr std::uint64_t
RevisionOf(StorePosition aPosition)
{
  return aPosition & kMaxRevision;
}

/// Returns the position of the same revision in another era, for a state that the store has kept.
constexpr StorePosition
MoveToEra(StorePosition aPosition, std::uint64_t aEra)
{
  return MakePosition(aEra, RevisionOf(aPosition));
}

/// Returns the position as fields of a log line.
inline std::string
ToLogFields(StorePosition aPosition)
{
  return "revision=" + std::to_string(RevisionOf(aPosition)) + " era=" + std::to_string(EraOf(aPosition));
}

}
