#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Hornbeam::Gateway {

/// A cached object of the store as a JSON document.
struct CachedObject
{
  unsigned kind{ 0 };
  std::string document;
};

/// Whether a front that tells its cached objects knows all kinds. The values are those of the message.
enum class CacheCoverage : std::uint8_t
{
  /// Builds before this field tell what they have at any time.
  NotTold = 0,
  AllKinds = 1,
  SomeKinds = 2,
};

/// What a front tells another that cannot list all kinds in the store.
struct CachedState
{
  std::vector<CachedObject> objects;
  CacheCoverage coverage{ CacheCoverage::NotTold };
};

}
