#pragma once

#include <LibGrants/LibGrants.h>
#include <LibMembership/LibMembership.h>
#include <LibRouting/LibRouting.h>
#include <LibStore/LibStore.h>

namespace Hornbeam {

struct CallerSettings
{
  /// How long callers may cache the front address that they received.
  Duration keepAddress{ 30s };
  /// How long an issued idempotency key prefix is valid.
  Duration keyValidity{ 600s };
  std::size_t bodyLimit{ 256UL * 1024 };
};

/// The settings of one front, fixed while it runs. Everything that operators change at run time is in the table.
struct FrontSettings
{
  std::string name;
  /// Prefix of the deployment's objects in the platform's store.
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
  /// How long after SIGTERM the platform kills the process.
  Duration shutdownGrace{ 50s };
};

/// A validation error in a settings file.
struct SettingsError
{
  std::string file;
  /// Starts at one; zero if the error has no line.
  int line{ 0 };
  std::string key;
  std::string allowed;
};

/// Formats as "front.yaml:12: callers.keep_address_s: allowed is a whole number from 1 to 3600".
std::string
ToString(SettingsError const& aError);

/// Loads and validates a settings file. Reports every error, not just the first one.
std::optional<FrontSettings>
LoadFrontSettings(std::string const& aFile, std::vector<SettingsError>& aErrors);

/// Parses and validates settings in memory. Errors report aName as their file.
std::optional<FrontSettings>
ParseFrontSettings(std::string const& aText, std::string const& aName, std::vector<SettingsError>& aErrors);

}
