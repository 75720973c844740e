#pragma once

#include <LibGrants/LibGrants.h>
#include <LibMembership/LibMembership.h>
#include <LibRouting/LibRouting.h>
#include <LibStore/LibStore.h>

namespace Hornbeam {

struct CallerSettings
{
  /// How long callers keep an address that they were given.
  Duration keepAddress{ 30s };
  /// How long a key prefix can be used.
  Duration keyValidity{ 600s };
  std::size_t bodyLimit{ 256UL * 1024 };
};

/// The settings of one front. Everything that operators steer while it runs is in the table instead.
struct FrontSettings
{
  std::string name;
  /// Names the deployment's objects in the platform's store.
  std::string deployment;
  std::string dataCenter;
  std::string callerAddress;
  std::string peerAddress;
  std::string administrationAddress;
  std::string administrationToken;
  HttpStoreSettings store;
  MembershipSettings membership;
  GrantSettings grants;
  CallerSettings callers;
  RoutingPolicy policy{ RoutingPolicy::Adaptive };
};

/// One fault in a settings file.
struct SettingsFault
{
  std::string file;
  /// Counted from one; zero when no line can be named.
  int line{ 0 };
  std::string key;
  std::string allowed;
};

/// "front.yaml:12: callers.keep_address_s: allowed is a whole number from 1 to 3600"
std::string
ToString(SettingsFault const& aFault);

/// Reads and checks a settings file as a whole; every fault is reported.
std::optional<FrontSettings>
LoadFrontSettings(std::string const& aFile, std::vector<SettingsFault>& aFaults);

/// The same for settings that are already in memory; aName stands for the file in faults.
std::optional<FrontSettings>
ParseFrontSettings(std::string const& aText, std::string const& aName, std::vector<SettingsFault>& aFaults);

}
