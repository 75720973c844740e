#pragma once

#include <LibCore/LibCore.h>
#include <LibExchange/CallerBudget.h>
#include <LibServing/LibServing.h>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam::Gateway {

/// The validated settings of a front on the platform.
struct GatewaySettings
{
  std::string name;
  std::string dataCenter;
  std::string region;
  /// The number of processor cores that this front may use; may be a fraction.
  double cores{ 1 };
  std::string callerAddress;
  std::string readinessAddress;
  std::string directoryAddress;
  std::string peerAddress;
  std::string metricsAddress;
  /// Where other fronts ask for connections to endpoints that they do not reach; empty if this front gives none.
  std::string tunnelAddress;
  std::string storeAddress;
  /// Peer addresses of some fronts to contact at startup; they may be stale.
  std::vector<std::string> seeds;
  /// Whether all fronts are started for the first time, so that no version of an endpoint has left before.
  bool firstStart{ false };
  /// The time between SIGTERM and SIGKILL.
  Duration graceTime{ 8s };
  /// The time for which callers may cache a directory response.
  Duration directoryLifetime{ 2s };
  /// What callers may hold of the process.
  CallerBudgetLimits callerLimits;
  RetryRules retries;
  ColdRules cold;
  /// The number of fronts from which on they exchange their loads; with fewer, the own counts show the load.
  std::size_t exchangeLoadsFrom{ 64 };
  /// Set only where rollouts of software versions are in use.
  std::optional<RolloutRules> rollouts;
};

/// The share of a machine that callers may hold, unless the settings state it: a quarter of its memory, so that a
/// single request of 4 MiB fits on a machine of 120 MB, and half of the descriptors that are not reserved for files.
/// aMemoryMegabytes is at least 1, aMaxDescriptors at least kReservedDescriptors + 2.
CallerBudgetLimits
CallerShareOf(double aMemoryMegabytes, double aMaxDescriptors);

/// Descriptors for files.
inline constexpr unsigned kReservedDescriptors = 200;

/// Reads and validates a YAML file. Returns nothing if it has errors; the messages in aErrors begin with the key or
/// file.
std::optional<GatewaySettings>
LoadGatewaySettings(std::string const& aFile, std::vector<std::string>& aErrors);

}
