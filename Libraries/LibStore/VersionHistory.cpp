#include "VersionHistory.h"
#include <algorithm>

namespace Hornbeam {

StoreVersion
GreatestVersion(VersionHistory const& aHistory, std::string const& aKey)
{
  auto const found = aHistory.greatest.find(aKey);
  return found == aHistory.greatest.end() ? 0 : found->second;
}

bool
RecordVersion(VersionHistory& aHistory, std::string const& aKey, StoreVersion aBefore, StoreVersion aVersion)
{
  auto& greatest = aHistory.greatest[aKey];
  greatest = std::max(greatest, aVersion);
  return aVersion < aBefore;
}

}
