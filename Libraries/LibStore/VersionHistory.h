#pragma once

#include "StorePort.h"
#include <map>

namespace Hornbeam {

/// The greatest version of each object that the store has returned. The protocols of this library rely on versions that
/// only rise, so a store that was restored from an older copy must not be used on.
struct VersionHistory
{
  std::map<std::string, StoreVersion> greatest;
};

/// Returns the greatest version of an object so far; zero for an object that was never returned.
StoreVersion
GreatestVersion(VersionHistory const& aHistory, std::string const& aKey);

/// Records the version in a response to a call. aBefore is the greatest version at the time of the call. Returns
/// whether the object went back; a response that was only overtaken by a later one did not.
bool
RecordVersion(VersionHistory& aHistory, std::string const& aKey, StoreVersion aBefore, StoreVersion aVersion);

}
