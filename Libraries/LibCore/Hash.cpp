#include "Hash.h"

namespace Hornbeam {

static constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325;
static constexpr std::uint64_t kFnvPrime = 0x100000001b3;

static std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue ^= aValue >> 30;
  aValue *= 0xbf58476d1ce4e5b9;
  aValue ^= aValue >> 27;
  aValue *= 0x94d049bb133111eb;
  return aValue ^ (aValue >> 31);
}

std::uint64_t
StableHash(std::string_view aText)
{
  std::uint64_t hash = kFnvOffset;
  for (char const character : aText) {
    hash ^= static_cast<unsigned char>(character);
    hash *= kFnvPrime;
  }
  return Mix(hash);
}

std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aCandidate)
{
  return Mix(StableHash(aKey) ^ (StableHash(aCandidate) * kFnvPrime));
}

}
