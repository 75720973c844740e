#pragma once

#include <LibCore/LibCore.h>
#include <LibServing/LibServing.h>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam::Gateway {

/// The settings of one front on the platform, checked.
struct GatewaySettings
{
  std::string name;
  std::string dataCenter;
  std::string region;
  /// The part of a processor core that this front may use.
  double cores{ 1 };
  std::string callerAddress;
  std::string readinessAddress;
  std::string directoryAddress;
  std::string peerAddress;
  std::string metricsAddress;
  std::string storeAddress;
  /// Peer addresses of a few fronts; they may be stale.
  std::vector<std::string> seeds;
  /// The time between SIGTERM and SIGKILL.
  Duration graceTime{ 8s };
  /// The longest time for which an answer of the directory counts.
  Duration directoryLifetime{ 2s };
  RetryRules retries;
  ColdRules cold;
};

/// Reads and checks a YAML file. Empty when there are faults; each names its key.
std::optional<GatewaySettings>
LoadGatewaySettings(std::string const& aFile, std::vector<std::string>& aFaults);

}
