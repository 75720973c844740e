#include "GatewaySettings.h"
#include <LibExchange/LibExchange.h>
#include <algorithm>
#include <yaml-cpp/yaml.h>

namespace Hornbeam::Gateway {

/// Directory responses expire sooner than the platform requires, so that callers leave a stopped front quickly.
static constexpr Duration kDirectoryLifetime = 700ms;

/// The machine of a front whose settings do not state it.
static constexpr double kDefaultMemoryMegabytes = 256;
static constexpr double kDefaultMaxDescriptors = 4096;

namespace {

/// Reads values by their dotted path and collects all errors.
class SettingsReader
{
public:
  SettingsReader(YAML::Node const& aRoot, std::vector<std::string>& aErrors)
    : root(aRoot)
    , errors(aErrors)
  {
  }

  std::string Text(std::string const& aPath)
  {
    auto const node = this->Find(aPath);
    if (node && node.IsScalar() && !node.Scalar().empty())
      return node.Scalar();
    this->errors.push_back(aPath + ": must be a non-empty string");
    return "";
  }

  std::string Address(std::string const& aPath)
  {
    auto address = this->Text(aPath);
    if (!address.empty() && !ParseAddress(address))
      this->errors.push_back(aPath + ": must be an address with a port, such as 10.0.0.1:8080");
    return address;
  }

  double Number(std::string const& aPath, double aMinimum, double aMaximum)
  {
    auto const node = this->Find(aPath);
    double value = 0;
    if (node && node.IsScalar() && YAML::convert<double>::decode(node, value) && value >= aMinimum && value <= aMaximum)
      return value;
    this->errors.push_back(aPath + ": a number from " + std::to_string(aMinimum) + " to " + std::to_string(aMaximum) +
                           " is needed");
    return aMinimum;
  }

  /// Nothing if it is missing.
  std::optional<double> OptionalNumber(std::string const& aPath, double aMinimum, double aMaximum)
  {
    if (!this->Find(aPath))
      return std::nullopt;
    return this->Number(aPath, aMinimum, aMaximum);
  }

  Duration Seconds(std::string const& aPath, double aMinimum, double aMaximum)
  {
    return FromSeconds(this->Number(aPath, aMinimum, aMaximum));
  }

  bool Has(std::string const& aPath) const
  {
    auto const node = this->Find(aPath);
    return node && !node.IsNull();
  }

  /// False if it is missing.
  bool Flag(std::string const& aPath)
  {
    auto const node = this->Find(aPath);
    bool value = false;
    if (node && !YAML::convert<bool>::decode(node, value))
      this->errors.push_back(aPath + ": must be true or false");
    return value;
  }

  std::vector<std::string> Addresses(std::string const& aPath)
  {
    std::vector<std::string> result;
    auto const node = this->Find(aPath);
    if (!node || !node.IsSequence())
      return result;
    for (auto const& item : node) {
      auto const address = item.as<std::string>("");
      if (ParseAddress(address))
        result.push_back(address);
      else
        this->errors.push_back(aPath + ": each item must be an address with a port");
    }
    return result;
  }

private:
  YAML::Node Find(std::string const& aPath) const
  {
    YAML::Node node = YAML::Clone(this->root);
    std::size_t begin = 0;
    while (begin <= aPath.size() && node && node.IsMap()) {
      auto const end = std::min(aPath.find('.', begin), aPath.size());
      node.reset(node[aPath.substr(begin, end - begin)]);
      begin = end + 1;
      if (begin > aPath.size())
        return node;
    }
    return YAML::Node(YAML::NodeType::Undefined);
  }

  YAML::Node root;
  std::vector<std::string>& errors;
};

}

static std::size_t
BytesOf(double aMegabytes)
{
  return std::size_t(aMegabytes * 1e6);
}

static CallerBudgetLimits
LimitsOfConnections(std::size_t aBytes, std::size_t aConnections)
{
  return { aBytes, aConnections, std::clamp<std::size_t>(aConnections / 4, 8, 512) };
}

CallerBudgetLimits
CallerShareOf(double aMemoryMegabytes, double aMaxDescriptors)
{
  return LimitsOfConnections(BytesOf(aMemoryMegabytes / 4), std::size_t((aMaxDescriptors - kReservedDescriptors) / 2));
}

static CallerBudgetLimits
ReadCallerLimits(SettingsReader& aReader)
{
  auto const memory = aReader.OptionalNumber("machine.memory_mb", 8, 1e7).value_or(kDefaultMemoryMegabytes);
  auto const descriptors =
    aReader.OptionalNumber("machine.max_descriptors", 2 * kReservedDescriptors, 1e7).value_or(kDefaultMaxDescriptors);
  auto const share = CallerShareOf(memory, descriptors);
  auto const megabytes = aReader.OptionalNumber("callers.memory_mb", 1, memory);
  auto const connections = aReader.OptionalNumber("callers.max_connections", 1, descriptors - kReservedDescriptors);
  return LimitsOfConnections(megabytes ? BytesOf(*megabytes) : share.bytes,
                             connections ? std::size_t(*connections) : share.connections);
}

std::optional<GatewaySettings>
LoadGatewaySettings(std::string const& aFile, std::vector<std::string>& aErrors)
{
  YAML::Node root;
  // yaml-cpp reports errors by exceptions, while this code base returns them as values.
  try {
    root = YAML::LoadFile(aFile);
  } catch (YAML::Exception const& failure) {
    aErrors.push_back(aFile + ": " + failure.what());
    return std::nullopt;
  }
  SettingsReader reader(root, aErrors);
  GatewaySettings settings;
  settings.name = reader.Text("name");
  settings.dataCenter = reader.Text("data_center");
  settings.region = reader.Text("region");
  settings.cores = reader.Number("machine.cores", 0.001, 1024);
  settings.callerLimits = ReadCallerLimits(reader);
  settings.callerAddress = reader.Address("addresses.callers");
  settings.readinessAddress = reader.Address("addresses.readiness");
  settings.directoryAddress = reader.Address("addresses.directory");
  settings.peerAddress = reader.Address("addresses.peers");
  settings.metricsAddress = reader.Address("addresses.metrics");
  if (reader.Has("addresses.tunnels"))
    settings.tunnelAddress = reader.Address("addresses.tunnels");
  settings.storeAddress = reader.Address("store.address");
  settings.seeds = reader.Addresses("seeds");
  settings.firstStart = reader.Flag("first_start");
  settings.graceTime = reader.Seconds("shutdown.grace_s", 0.5, 600);
  settings.directoryLifetime = std::min(kDirectoryLifetime, reader.Seconds("directory.longest_lifetime_s", 0.1, 600));
  settings.retries.ratio = reader.Number("retries.ratio", 0, 10);
  settings.retries.slack = reader.Number("retries.slack", 0, 100000);
  settings.retries.window = reader.Seconds("retries.window_s", 1, 600);
  settings.cold.overshoot = reader.Number("cold.overshoot", 0, 100);
  settings.cold.slack = reader.Number("cold.slack", 0, 100000);
  settings.exchangeLoadsFrom = std::size_t(
    reader.OptionalNumber("balancing.exchange_from_fronts", 2, 100000).value_or(double(settings.exchangeLoadsFrom)));
  if (reader.Has("rollouts")) {
    settings.rollouts.emplace();
    settings.rollouts->exposureShare = reader.Number("rollouts.exposure_share", 0.001, 1);
    settings.rollouts->exposureSlack = reader.Number("rollouts.exposure_slack", 0, 1000000);
    settings.rollouts->rollbackTime = FromSeconds(reader.Number("rollouts.rollback_ms", 500, 600000) / 1000);
  }
  if (!aErrors.empty())
    return std::nullopt;
  return settings;
}

}
