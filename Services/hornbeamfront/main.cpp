/// hornbeamfront: a front process. It accepts callers' requests and routes them to endpoints, through the stages of
/// their pipelines.

#include "ExitCodes.h"
#include "RunFront.h"
#include "RunGateway.h"
#include <CLI/CLI.hpp>
#include <algorithm>
#include <functional>
#include <iostream>

using namespace Hornbeam;

/// Prints the errors of invalid settings. Runs a front with valid ones, unless they are only to be checked.
template<typename Settings>
static int
RunWithSettings(std::string const& aFile,
                bool aCheckOnly,
                std::optional<Settings> const& aSettings,
                std::vector<std::string> const& aErrors,
                std::function<int(Settings const&)> const& aRun)
{
  if (!aSettings) {
    for (auto const& error : aErrors)
      std::cerr << error << "\n";
    return kExitInvalidSettings;
  }
  if (aCheckOnly) {
    std::cout << aFile << ": the settings are valid\n";
    return 0;
  }
  StartLogging("hornbeamfront");
  return aRun(*aSettings);
}

static int
RunOwnInterface(std::string const& aFile, bool aCheckOnly)
{
  std::vector<SettingsError> errors;
  auto const settings = LoadFrontSettings(aFile, errors);
  std::vector<std::string> texts;
  std::ranges::transform(errors, std::back_inserter(texts), [](auto const& aError) { return ToString(aError); });
  return RunWithSettings<FrontSettings>(aFile, aCheckOnly, settings, texts, RunFront);
}

static int
RunPlatform(std::string const& aFile, bool aCheckOnly)
{
  std::vector<std::string> errors;
  auto const settings = Gateway::LoadGatewaySettings(aFile, errors);
  return RunWithSettings<Gateway::GatewaySettings>(
    aFile, aCheckOnly, settings, errors, [&](auto const& aSettings) { return RunGateway(aSettings, aFile); });
}

int
main(int aCount, char** aArguments)
{
  CLI::App application{ "hornbeamfront: serves multi-stage model pipelines.\n"
                        "Settings are read from one YAML file; weights and limits are changed at run time in the table "
                        "(see hornbeamctl)." };
  std::string file;
  bool checkOnly = false;
  bool platform = false;
  application.add_option("--settings", file, "The settings file")->required();
  application.add_flag("--check-settings", checkOnly, "Check the settings, print every error, and exit");
  application.add_flag("--platform", platform, "Serve the users' platform: table, endpoints and fronts from its store");
  CLI11_PARSE(application, aCount, aArguments);
  return platform ? RunPlatform(file, checkOnly) : RunOwnInterface(file, checkOnly);
}
