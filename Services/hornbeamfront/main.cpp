/// hornbeamfront: one front. It takes requests of callers and carries them to endpoints, through stages where needed.

#include "ExitCodes.h"
#include "RunFront.h"
#include "RunGateway.h"
#include <CLI/CLI.hpp>
#include <algorithm>
#include <functional>
#include <iostream>

using namespace Hornbeam;

/// Names the faults of the settings, or runs a front with them unless they are only to be checked.
template<typename Settings>
static int
Serve(std::string const& aFile,
      bool aCheckOnly,
      std::optional<Settings> const& aSettings,
      std::vector<std::string> const& aFaults,
      std::function<int(Settings const&)> const& aRun)
{
  if (!aSettings) {
    for (auto const& fault : aFaults)
      std::cerr << fault << "\n";
    return kExitSettings;
  }
  if (aCheckOnly) {
    std::cout << aFile << ": the settings are in order\n";
    return 0;
  }
  StartLogging("hornbeamfront");
  return aRun(*aSettings);
}

static int
ServeOwnInterface(std::string const& aFile, bool aCheckOnly)
{
  std::vector<SettingsError> faults;
  auto const settings = LoadFrontSettings(aFile, faults);
  std::vector<std::string> texts;
  std::ranges::transform(faults, std::back_inserter(texts), [](auto const& aFault) { return ToString(aFault); });
  return Serve<FrontSettings>(aFile, aCheckOnly, settings, texts, RunFront);
}

static int
ServePlatform(std::string const& aFile, bool aCheckOnly)
{
  std::vector<std::string> faults;
  auto const settings = Gateway::LoadGatewaySettings(aFile, faults);
  return Serve<Gateway::GatewaySettings>(
    aFile, aCheckOnly, settings, faults, [&](auto const& aSettings) { return RunGateway(aSettings, aFile); });
}

int
main(int aCount, char** aArguments)
{
  CLI::App application{ "hornbeamfront: serves multi-stage model pipelines.\n"
                        "Settings are one YAML file; what operators steer while it runs is in the table "
                        "(see hornbeamctl)." };
  std::string file;
  bool checkOnly = false;
  bool platform = false;
  application.add_option("--settings", file, "The settings file")->required();
  application.add_flag("--check-settings", checkOnly, "Check the settings, name every fault, and end");
  application.add_flag("--platform", platform, "Serve the users' platform: table, endpoints and fronts from its store");
  CLI11_PARSE(application, aCount, aArguments);
  return platform ? ServePlatform(file, checkOnly) : ServeOwnInterface(file, checkOnly);
}
