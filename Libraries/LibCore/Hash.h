#pragma once

#include <cstdint>
#include <string_view>

namespace Hornbeam {

/// A stable 64-bit hash. Rendezvous hashing requires the same value on every front and in every build.
std::uint64_t
StableHash(std::string_view aText);

/// The rendezvous (highest random weight) score of a candidate for a key. The candidate with the highest score is
/// chosen.
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

}
