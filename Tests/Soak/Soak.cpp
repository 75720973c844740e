#include "OddWriter.h"
#include "PlannedCallers.h"
#include "SoakCallers.h"
#include "StreamCallers.h"
#include <CLI/CLI.hpp>
#include <filesystem>
#include <glog/logging.h>
#include <iostream>

using namespace Hornbeam;
using namespace Hornbeam::Testing;

/// Time for the fronts to start, and for the system to recover after the last fault.
static constexpr Duration kStartTime = 2s;
static constexpr Duration kSettleTime = 7s;

/// As the platform gives it to processes, in runs of planned stops.
static constexpr Duration kPlannedGraceTime = 8s;

/// Runs cycle through the ports from firstPort to firstPort + kPortRange, which are below the ephemeral ports of the
/// operating system.
static constexpr unsigned kPortRange = 7000;

static unsigned
PortsOf(SoakSettings const& aSettings)
{
  return 41 + 6 * aSettings.fronts;
}

static void
Report(SoakSettings const& aSettings,
       std::size_t aFaults,
       SoakCallers const& aCallers,
       std::vector<std::string> const& aViolations)
{
  std::cout << "seed=" << aSettings.seed << " faults=" << aFaults << " requests=" << aCallers.Sent()
            << " served=" << aCallers.Served() << " broken=" << aViolations.size() << std::endl;
  aCallers.PrintTimes();
  for (auto const& violation : aViolations)
    std::cout << "  broken: " << violation << "\n";
}

/// Terminates fronts while callers keep connections and addresses. The load lasts until all processes have stopped.
static std::vector<std::string>
RunPlannedStops(SoakSettings const& aSettings, Duration aGap)
{
  std::filesystem::create_directories(aSettings.directory);
  SoakWorld world(aSettings);
  PlannedCallers callers(world, aSettings.seed);
  SoakCallers recovery(world, aSettings.seed);
  world.Start();
  world.RunFor(kStartTime);
  auto const faults = PlanStops(aSettings.seed, aSettings.time, aSettings.fronts);
  world.Schedule(faults);
  auto const lastAt = std::ranges::max(faults, {}, &SoakFault::at).at;
  callers.Load(lastAt + aSettings.graceTime + 1s, aGap);
  auto violations = callers.CheckGuarantees();
  std::ranges::move(recovery.CheckRecovery(), std::back_inserter(violations));
  std::ranges::move(recovery.CheckGuarantees(), std::back_inserter(violations));
  std::ranges::copy(world.violations, std::back_inserter(violations));
  Report(aSettings, faults.size(), recovery, violations);
  callers.PrintCounts();
  return violations;
}

/// Breaks streams off in all ways while releases go on, and lets their callers take them up at any front.
static std::vector<std::string>
RunStreams(SoakSettings const& aSettings, Duration aGap)
{
  std::filesystem::create_directories(aSettings.directory);
  SoakWorld world(aSettings);
  StreamCallers callers(world, aSettings.seed);
  SoakCallers recovery(world, aSettings.seed);
  world.Start();
  world.RunFor(kStartTime);
  auto const faults = PlanStreams(aSettings.seed, aSettings.time, aSettings.fronts, unsigned(world.endpoints.size()));
  world.Schedule(faults);
  callers.Load(aSettings.time, aGap);
  world.ClearFaults();
  callers.Load(kSettleTime, aGap);
  auto violations = callers.CheckGuarantees();
  std::ranges::copy(world.violations, std::back_inserter(violations));
  Report(aSettings, faults.size(), recovery, violations);
  callers.PrintCounts();
  return violations;
}

static void
KillAllFronts(SoakWorld& aWorld)
{
  std::vector<SoakFault> kills;
  for (unsigned front = 0; front < aWorld.settings.fronts; ++front)
    kills.push_back({ SoakFaultKind::FrontKilled, 100ms, 0ms, front, 0 });
  aWorld.Schedule(kills);
}

static std::vector<std::string>
RunSeed(SoakSettings const& aSettings, Duration aGap)
{
  std::filesystem::create_directories(aSettings.directory);
  SoakWorld world(aSettings);
  SoakCallers callers(world, aSettings.seed);
  OddWriter oddWriter(world);
  if (aSettings.oddEntries)
    oddWriter.Start();
  world.Start();
  world.RunFor(kStartTime);
  std::vector<SoakFault> faults;
  if (aSettings.mode == SoakMode::RandomFaults)
    faults = PlanSoak(aSettings.seed, aSettings.time, aSettings.fronts, unsigned(world.endpoints.size()));
  world.Schedule(faults);
  callers.Load(aSettings.time + 3s, aGap);
  world.ClearFaults();
  if (aSettings.oddEntries)
    KillAllFronts(world);
  callers.Load(kSettleTime, aGap);
  auto violations = callers.CheckRecovery();
  std::ranges::move(callers.CheckGuarantees(), std::back_inserter(violations));
  std::ranges::copy(world.violations, std::back_inserter(violations));
  Report(aSettings, faults.size(), callers, violations);
  return violations;
}

int
main(int aCount, char** aArguments)
{
  CLI::App application{ "Runs real fronts under random faults and checks their guarantees." };
  SoakSettings settings;
  unsigned seeds = 1;
  double seconds = 8;
  double gapMs = 10;
  bool calm = false;
  bool planned = false;
  bool streams = false;
  settings.directory = "soak";
  application.add_option("--program", settings.program, "hornbeamfront")->required()->check(CLI::ExistingFile);
  application.add_option("--directory", settings.directory, "Directory for settings and logs");
  application.add_option("--seed", settings.seed, "The first seed");
  application.add_option("--seeds", seeds, "Number of seeds; each gets one run")->check(CLI::Range(1, 100000));
  application.add_option("--fronts", settings.fronts, "Number of front processes")->check(CLI::Range(2, 300));
  application.add_option("--seconds", seconds, "Duration of the fault phase of each run")
    ->check(CLI::Range(1.0, 3600.0));
  application.add_option("--gap-ms", gapMs, "Interval between requests")->check(CLI::Range(1.0, 1000.0));
  application.add_flag(
    "--calm", calm, "Inject no faults: put load on fronts and stand-ins and report the response times");
  application.add_flag("--planned", planned, "Only terminate fronts, in series and beside other planned work");
  application.add_flag(
    "--streams", streams, "Break streams off, with releases of other software versions, and take them up again");
  application.add_flag(
    "--odd-entries",
    settings.oddEntries,
    "Let another writer put odd entries into the store, and kill all fronts at once after the faults");
  application.add_option("--first-port", settings.firstPort, "First port; further ones are allocated upwards");
  CLI11_PARSE(application, aCount, aArguments);
  google::InitGoogleLogging(aArguments[0]);
  KillFrontsOnSignals();
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_ERROR;
  settings.time = FromSeconds(seconds);
  if (calm)
    settings.mode = SoakMode::Calm;
  if (planned) {
    settings.mode = SoakMode::PlannedStops;
    settings.graceTime = kPlannedGraceTime;
  }
  if (streams)
    settings.mode = SoakMode::Streams;
  auto const run = planned ? RunPlannedStops : streams ? RunStreams : RunSeed;
  auto const gap = FromSeconds(gapMs / 1000);
  auto const directory = settings.directory;
  std::vector<unsigned> failed;
  auto const firstPort = settings.firstPort;
  for (unsigned index = 0; index < seeds; ++index, ++settings.seed) {
    // Closing connections of the previous run may still occupy its ports.
    settings.firstPort = firstPort + index * PortsOf(settings) % kPortRange;
    settings.directory = directory + "/" + std::to_string(settings.seed);
    if (!run(settings, gap).empty())
      failed.push_back(settings.seed);
  }
  std::cout << seeds << " seeds, " << failed.size() << " with a violated guarantee";
  for (auto const seed : failed)
    std::cout << " " << seed;
  std::cout << "\n";
  return failed.empty() ? 0 : 1;
}
