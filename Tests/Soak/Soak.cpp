#include "SoakCallers.h"
#include <CLI/CLI.hpp>
#include <filesystem>
#include <glog/logging.h>
#include <iostream>

using namespace Hornbeam;
using namespace Hornbeam::Testing;

/// Until the fronts have started, and until all has settled after the last fault.
static constexpr Duration kStartTime = 2s;
static constexpr Duration kSettleTime = 7s;

enum class Weather
{
  Calm,
  Faults,
};

/// Ports up to firstPort + kPortRange lie below those that the system hands out.
static constexpr unsigned kPortRange = 7000;

static unsigned
PortsOf(SoakSettings const& aSettings)
{
  return 25 + 6 * aSettings.fronts;
}

static std::vector<std::string>
RunSeed(SoakSettings const& aSettings, Weather aWeather, Duration aGap)
{
  std::filesystem::create_directories(aSettings.directory);
  SoakWorld world(aSettings);
  SoakCallers callers(world, aSettings.seed);
  world.Start();
  world.RunFor(kStartTime);
  std::vector<SoakFault> faults;
  if (aWeather == Weather::Faults)
    faults = PlanSoak(aSettings.seed, aSettings.time, aSettings.fronts, unsigned(world.endpoints.size()));
  world.Schedule(faults);
  callers.Load(aSettings.time + 3s, aGap);
  world.Calm();
  callers.Load(kSettleTime, aGap);
  auto broken = callers.CheckRecovery();
  std::ranges::move(callers.CheckPromises(), std::back_inserter(broken));
  std::ranges::copy(world.faults, std::back_inserter(broken));
  std::cout << "seed=" << aSettings.seed << " faults=" << faults.size() << " requests=" << callers.Sent()
            << " served=" << callers.Served() << " broken=" << broken.size() << std::endl;
  callers.PrintTimes();
  for (auto const& promise : broken)
    std::cout << "  broken: " << promise << "\n";
  return broken;
}

int
main(int aCount, char** aArguments)
{
  CLI::App application{ "Runs real fronts under random faults and checks what they promise." };
  SoakSettings settings;
  unsigned seeds = 1;
  double seconds = 8;
  double gapMs = 10;
  bool calm = false;
  settings.directory = "soak";
  application.add_option("--program", settings.program, "hornbeamfront")->required()->check(CLI::ExistingFile);
  application.add_option("--directory", settings.directory, "Where settings and logs go");
  application.add_option("--seed", settings.seed, "The first seed");
  application.add_option("--seeds", seeds, "Seeds, one run for each")->check(CLI::Range(1, 100000));
  application.add_option("--fronts", settings.fronts, "Processes")->check(CLI::Range(2, 300));
  application.add_option("--seconds", seconds, "Time with faults in each run")->check(CLI::Range(1.0, 3600.0));
  application.add_option("--gap-ms", gapMs, "Between requests")->check(CLI::Range(1.0, 1000.0));
  application.add_flag("--calm", calm, "No faults: a load on fronts and stand-ins, with the times of the answers");
  application.add_option("--first-port", settings.firstPort, "Ports are taken from here upwards");
  CLI11_PARSE(application, aCount, aArguments);
  google::InitGoogleLogging(aArguments[0]);
  EndFrontsOnSignals();
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_ERROR;
  settings.time = FromSeconds(seconds);
  auto const gap = FromSeconds(gapMs / 1000);
  auto const directory = settings.directory;
  std::vector<unsigned> failed;
  auto const firstPort = settings.firstPort;
  for (unsigned index = 0; index < seeds; ++index, ++settings.seed) {
    // Ports of an earlier run may still be in use by its closing connections.
    settings.firstPort = firstPort + index * PortsOf(settings) % kPortRange;
    settings.directory = directory + "/" + std::to_string(settings.seed);
    if (!RunSeed(settings, calm ? Weather::Calm : Weather::Faults, gap).empty())
      failed.push_back(settings.seed);
  }
  std::cout << seeds << " seeds, " << failed.size() << " with a broken promise";
  for (auto const seed : failed)
    std::cout << " " << seed;
  std::cout << "\n";
  return failed.empty() ? 0 : 1;
}
