#include "FrontSettings.h"
#include <algorithm>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace Hornbeam {

enum class Requirement
{
  Required,
  Optional,
};

/// Describes one key of the settings file, such as "store.address".
struct SettingsKey
{
  std::string path;
  Requirement requirement;
  std::string allowed;
  /// Parses and stores the value. Returns false if it is invalid.
  std::function<bool(std::string const&)> store;
};

static bool
ParseWholeNumber(std::string const& aText, std::int64_t aLeast, std::int64_t aMost, std::int64_t& aNumber)
{
  if (aText.empty() || aText.size() > 12 ||
      !std::ranges::all_of(aText, [](char aDigit) { return aDigit >= '0' && aDigit <= '9'; }))
    return false;
  aNumber = std::stoll(aText);
  return aNumber >= aLeast && aNumber <= aMost;
}

static std::string
RangeText(std::int64_t aLeast, std::int64_t aMost)
{
  return "a whole number from " + std::to_string(aLeast) + " to " + std::to_string(aMost);
}

static SettingsKey
DurationKey(std::string aPath, Duration aUnit, std::int64_t aLeast, std::int64_t aMost, Duration& aTarget)
{
  auto const store = [=, &aTarget](std::string const& aText) {
    std::int64_t number = 0;
    if (!ParseWholeNumber(aText, aLeast, aMost, number))
      return false;
    aTarget = number * aUnit;
    return true;
  };
  return { std::move(aPath), Requirement::Optional, RangeText(aLeast, aMost), store };
}

static SettingsKey
AddressKey(std::string aPath, std::string& aTarget)
{
  auto const store = [&aTarget](std::string const& aText) {
    aTarget = aText;
    return SplitAddress(aText).has_value();
  };
  return { std::move(aPath), Requirement::Required, "an address with a port, such as 10.0.0.1:8080", store };
}

static SettingsKey
NameKey(std::string aPath, std::string& aTarget)
{
  auto const store = [&aTarget](std::string const& aText) {
    aTarget = aText;
    auto const allowed = [](char aCharacter) {
      return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 || aCharacter == '-' || aCharacter == '_';
    };
    return !aText.empty() && aText.size() <= 64 && std::ranges::all_of(aText, allowed);
  };
  return { std::move(aPath), Requirement::Required, "1 to 64 letters, digits, '-' or '_'", store };
}

static SettingsKey
TokenKey(std::string aPath, std::string& aTarget)
{
  auto const store = [&aTarget](std::string const& aText) {
    aTarget = aText;
    return aText.size() >= 8;
  };
  return { std::move(aPath), Requirement::Required, "a string of at least 8 characters", store };
}

static SettingsKey
PolicyKey(std::string aPath, RoutingPolicy& aTarget)
{
  auto const store = [&aTarget](std::string const& aText) {
    if (aText == "adaptive")
      aTarget = RoutingPolicy::Adaptive;
    else if (aText == "round-robin")
      aTarget = RoutingPolicy::RoundRobin;
    else if (aText == "least-outstanding")
      aTarget = RoutingPolicy::LeastOutstanding;
    else
      return false;
    return true;
  };
  return { std::move(aPath), Requirement::Optional, "one of adaptive, round-robin, least-outstanding", store };
}

static SettingsKey
CountKey(std::string aPath, std::int64_t aLeast, std::int64_t aMost, std::function<void(std::int64_t)> aStore)
{
  auto const store = [=](std::string const& aText) {
    std::int64_t number = 0;
    if (!ParseWholeNumber(aText, aLeast, aMost, number))
      return false;
    aStore(number);
    return true;
  };
  return { std::move(aPath), Requirement::Optional, RangeText(aLeast, aMost), store };
}

/// The part of a shutdown beside waiting for callers and leaving the membership: the last responses and the exit.
static constexpr Duration kMinWorkAndExit = 3s;
/// The same for a front without shutdown.grace_s.
static constexpr Duration kDefaultWorkAndExit = 15s;
static constexpr char const* kGraceKey = "shutdown.grace_s";

static std::vector<SettingsKey>
KeysOf(FrontSettings& aSettings)
{
  auto& membership = aSettings.membership;
  auto& callers = aSettings.callers;
  auto& store = aSettings.store;
  return {
    NameKey("name", aSettings.name),
    NameKey("deployment", aSettings.deployment),
    NameKey("data_center", aSettings.dataCenter),
    AddressKey("caller_address", aSettings.callerAddress),
    AddressKey("peer_address", aSettings.peerAddress),
    AddressKey("administration_address", aSettings.administrationAddress),
    TokenKey("administration_token", aSettings.administrationToken),
    AddressKey("store.address", store.address),
    DurationKey("store.call_timeout_ms", 1ms, 10, 60000, store.callTimeout),
    DurationKey("store.watch_timeout_ms", 1ms, 100, 60000, store.watchTimeout),
    CountKey("store.calls_per_second", 1, 1000, [&](std::int64_t aRate) { store.callsPerSecond = double(aRate); }),
    DurationKey("membership.heartbeat_ms", 1ms, 50, 5000, membership.heartbeatInterval),
    DurationKey("membership.lease_ms", 1ms, 200, 20000, membership.leaseDuration),
    DurationKey("membership.drift_ms", 1ms, 1, 5000, membership.driftAllowance),
    DurationKey("membership.removal_ms", 1ms, 200, 60000, membership.removalDelay),
    DurationKey("grants.duration_ms", 1ms, 200, 20000, aSettings.grants.grantDuration),
    DurationKey("callers.keep_address_s", 1s, 1, 3600, callers.keepAddress),
    DurationKey("callers.key_validity_s", 1s, 10, 86400, callers.keyValidity),
    CountKey("callers.body_limit_bytes",
             1024,
             16L * 1024 * 1024,
             [&](std::int64_t aLimit) { callers.bodyLimit = static_cast<std::size_t>(aLimit); }),
    PolicyKey("routing.policy", aSettings.policy),
    DurationKey(kGraceKey, 1s, 5, 7200, aSettings.shutdownGrace),
  };
}

std::string
ToString(SettingsError const& aError)
{
  auto const place = aError.line > 0 ? ":" + std::to_string(aError.line) : std::string();
  return aError.file + place + ": " + aError.key + ": allowed is " + aError.allowed;
}

/// Reads each scalar of the document under its path, "section.key".
struct SettingsReader
{
  std::string file;
  std::vector<SettingsKey> keys;
  std::set<std::string> seen;
  std::vector<SettingsError>& errors;

  void Fail(YAML::Node const& aNode, std::string const& aKey, std::string aAllowed)
  {
    this->errors.push_back({ this->file, aNode.Mark().line + 1, aKey, std::move(aAllowed) });
  }

  bool IsSection(std::string const& aPath) const
  {
    return std::ranges::any_of(this->keys, [&](SettingsKey const& aKey) { return aKey.path.starts_with(aPath + "."); });
  }

  std::string KnownKeys(std::string const& aPrefix) const
  {
    std::string known;
    for (auto const& key : this->keys) {
      if (key.path.starts_with(aPrefix))
        known += (known.empty() ? "" : ", ") + key.path;
    }
    return "one of the keys " + known;
  }

  void ReadScalar(YAML::Node const& aNode, std::string const& aPath, std::string const& aPrefix)
  {
    auto const key = std::ranges::find(this->keys, aPath, &SettingsKey::path);
    if (key == this->keys.end()) {
      this->Fail(aNode, aPath, this->KnownKeys(aPrefix));
      return;
    }
    if (!this->seen.insert(aPath).second) {
      this->Fail(aNode, aPath, "one value; it is given more than once");
      return;
    }
    if (!aNode.IsScalar() || !key->store(aNode.Scalar()))
      this->Fail(aNode, aPath, key->allowed);
  }

  void ReadMap(YAML::Node const& aMap, std::string const& aPrefix)
  {
    for (auto const& entry : aMap) {
      auto const path = aPrefix + entry.first.Scalar();
      if (!this->IsSection(path)) {
        this->ReadScalar(entry.second, path, aPrefix);
        continue;
      }
      if (entry.second.IsMap())
        this->ReadMap(entry.second, path + ".");
      else
        this->Fail(entry.first, path, "a section of keys");
    }
  }

  void CheckRequired()
  {
    for (auto const& key : this->keys) {
      if (key.requirement == Requirement::Required && !this->seen.contains(key.path))
        this->errors.push_back({ this->file, 0, key.path, key.allowed + "; it is missing" });
    }
  }
};

/// The time that a shutdown takes without any request: until callers have left, and to leave the membership.
static Duration
TimeToStop(FrontSettings const& aSettings)
{
  auto const& membership = aSettings.membership;
  return aSettings.callers.keepAddress + 2 * membership.heartbeatInterval + membership.leaseDuration +
         membership.driftAllowance;
}

/// Validates constraints between keys.
static void
CheckCrossConstraints(FrontSettings const& aSettings, std::string const& aFile, std::vector<SettingsError>& aErrors)
{
  auto const& membership = aSettings.membership;
  if (2 * membership.heartbeatInterval >= membership.leaseDuration)
    aErrors.push_back({ aFile, 0, "membership.heartbeat_ms", "less than half of membership.lease_ms" });
  if (membership.removalDelay <= membership.leaseDuration)
    aErrors.push_back({ aFile, 0, "membership.removal_ms", "more than membership.lease_ms" });
  if (aSettings.shutdownGrace < TimeToStop(aSettings) + kMinWorkAndExit)
    aErrors.push_back({ aFile,
                        0,
                        kGraceKey,
                        "at least the sum of callers.keep_address_s, twice membership.heartbeat_ms, "
                        "membership.lease_ms, membership.drift_ms and 3 s" });
}

std::optional<FrontSettings>
ParseFrontSettings(std::string const& aText, std::string const& aName, std::vector<SettingsError>& aErrors)
{
  FrontSettings settings;
  YAML::Node document;
  // yaml-cpp throws on malformed input; convert the exception to a reported error.
  try {
    document = YAML::Load(aText);
  } catch (YAML::Exception const& exception) {
    aErrors.push_back({ aName, exception.mark.line + 1, "(document)", "valid YAML; " + exception.msg });
    return std::nullopt;
  }
  if (!document.IsMap()) {
    aErrors.push_back({ aName, 1, "(document)", "a YAML map of settings" });
    return std::nullopt;
  }
  SettingsReader reader{ aName, KeysOf(settings), {}, aErrors };
  reader.ReadMap(document, "");
  reader.CheckRequired();
  if (!reader.seen.contains(kGraceKey))
    settings.shutdownGrace = TimeToStop(settings) + kDefaultWorkAndExit;
  CheckCrossConstraints(settings, aName, aErrors);
  if (!aErrors.empty())
    return std::nullopt;
  return settings;
}

std::optional<FrontSettings>
LoadFrontSettings(std::string const& aFile, std::vector<SettingsError>& aErrors)
{
  std::ifstream stream(aFile);
  if (!stream) {
    aErrors.push_back({ aFile, 0, "(file)", "a readable file" });
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseFrontSettings(text.str(), aFile, aErrors);
}

}
