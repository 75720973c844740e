#pragma once

#include <cstdint>
#include <string_view>

namespace Hornbeam {

/// A stable 64-bit hash: the same on every front and in every build, as rendezvous hashing needs.
std::uint64_t
StableHash(std::string_view aText);

/// The rendezvous weight of a candidate for a key; the candidate with the greatest weight is chosen.
std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

}
