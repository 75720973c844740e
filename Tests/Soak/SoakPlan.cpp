#include "SoakPlan.h"
#include <algorithm>
#include <iterator>
#include <random>

namespace Hornbeam::Testing {

/// Names of the kinds, in the order of SoakFaultKind.
static constexpr std::string_view kNames[] = {
  "front-stops",          "front-killed",
  "front-terminated",     "front-settings-signal",
  "store-refuses",        "store-resets",
  "store-silent",         "store-forgets",
  "store-loses-answers",  "table-changes",
  "store-link-slow",      "store-link-reset",
  "store-link-cut-to",    "store-link-cut-from",
  "endpoint-link-slow",   "endpoint-link-reset",
  "endpoint-link-cut-to", "endpoint-link-cut-from",
  "endpoint-link-silent", "endpoint-faulty",
  "endpoint-leaves",      "endpoint-starts-anew",
  "endpoint-signals",     "data-center-out",
  "store-restored",       "release",
};

/// The kinds of runs of random faults.
static constexpr unsigned kKinds = static_cast<unsigned>(SoakFaultKind::Release);
static_assert(std::size(kNames) == kKinds + 1);

std::string_view
ToString(SoakFaultKind aKind)
{
  return kNames[static_cast<unsigned>(aKind)];
}

std::vector<SoakFault>
PlanSoak(unsigned aSeed, Duration aTime, unsigned aFronts, unsigned aEndpoints)
{
  // Standard library distributions are avoided, because their output differs between implementations.
  std::mt19937 random(aSeed);
  auto const below = [&](unsigned aLimit) { return unsigned(random() % aLimit); };
  std::vector<SoakFault> faults;
  Duration at = 300ms;
  while (at < aTime) {
    SoakFault fault;
    fault.kind = static_cast<SoakFaultKind>(below(kKinds));
    fault.at = at;
    fault.length = std::chrono::milliseconds(100 + below(2400));
    bool const hitsFront =
      fault.kind <= SoakFaultKind::FrontReloadsSettings ||
      (fault.kind >= SoakFaultKind::StoreLinkSlow && fault.kind <= SoakFaultKind::StoreLinkCutFrom);
    fault.target = below(hitsFront ? aFronts : aEndpoints);
    fault.randomValue = random();
    faults.push_back(fault);
    // On average, half of the faults follow the previous one closely, and the other half after a longer gap.
    at += std::chrono::milliseconds(below(2) == 0 ? 50 + below(200) : 400 + below(900));
  }
  return faults;
}

/// How long a front misses a release.
static constexpr Duration kMissedReleaseTime = 2600ms;
static constexpr Duration kBeforeNextWatch = 150ms;

/// Adds a front that stands still while another version joins, and the kill of another front just before the first goes
/// on, so that streams of the new version are taken up at a front that has not heard of it.
static void
AddMissedRelease(std::vector<SoakFault>& aFaults, Duration aAt, unsigned aFronts, std::mt19937& aRandom)
{
  auto const stopped = unsigned(aRandom() % aFronts);
  auto const killed = unsigned((stopped + 1 + aRandom() % (aFronts - 1)) % aFronts);
  // A front waits a little after a change before it watches the store again, so that no answer waits for it meanwhile.
  aFaults.push_back({ SoakFaultKind::TableChanges, aAt - kBeforeNextWatch, 0ms, 0, 0 });
  aFaults.push_back({ SoakFaultKind::FrontStops, aAt, kMissedReleaseTime, stopped, 0 });
  aFaults.push_back({ SoakFaultKind::Release, aAt + 300ms, kMissedReleaseTime, 0, unsigned(aRandom()) });
  auto const beforeEnd = std::chrono::milliseconds(aRandom() % 150);
  aFaults.push_back({ SoakFaultKind::FrontKilled, aAt + kMissedReleaseTime - beforeEnd, 0ms, killed, 0 });
}

std::vector<SoakFault>
PlanStreams(unsigned aSeed, Duration aTime, unsigned aFronts, unsigned aEndpoints)
{
  using enum SoakFaultKind;
  // Kinds that break streams off, or let a front fall behind, come more often than others.
  static constexpr SoakFaultKind kStreamKinds[] = {
    Release,           Release,          Release,          FrontStops,         FrontStops,       FrontKilled,
    FrontKilled,       FrontTerminated,  StoreRefuses,     StoreSilent,        StoreForgets,     StoreLinkSlow,
    StoreLinkCutTo,    StoreLinkCutFrom, StoreLinkCutFrom, StoreLinkReset,     EndpointLinkSlow, EndpointLinkReset,
    EndpointLinkReset, EndpointFaulty,   EndpointFaulty,   EndpointLinkSilent, EndpointDrains,   EndpointRestarts,
    StoreRestored,
  };
  std::mt19937 random(aSeed);
  auto const below = [&](unsigned aLimit) { return unsigned(random() % aLimit); };
  std::vector<SoakFault> faults;
  Duration at = 300ms;
  while (at < aTime) {
    // Fronts remember versions for longer than a run, so only the first release can be missed.
    if (faults.empty()) {
      AddMissedRelease(faults, at, aFronts, random);
      at += kMissedReleaseTime;
      continue;
    }
    SoakFault fault;
    fault.kind = kStreamKinds[below(std::size(kStreamKinds))];
    fault.at = at;
    fault.length = std::chrono::milliseconds(100 + below(2400));
    bool const hitsFront =
      fault.kind <= FrontReloadsSettings || (fault.kind >= StoreLinkSlow && fault.kind <= StoreLinkCutFrom);
    fault.target = below(hitsFront ? aFronts : aEndpoints);
    fault.randomValue = random();
    faults.push_back(fault);
    at += std::chrono::milliseconds(below(2) == 0 ? 50 + below(200) : 200 + below(700));
  }
  return faults;
}

/// The time in which a series reaches every front.
static constexpr unsigned kMaxSeriesMs = 12000;

std::vector<SoakFault>
PlanStops(unsigned aSeed, Duration aTime, unsigned aFronts)
{
  std::mt19937 random(aSeed);
  auto const below = [&](unsigned aLimit) { return unsigned(random() % aLimit); };
  std::vector<SoakFault> faults;
  auto at = std::chrono::milliseconds(300);
  auto const add = [&](SoakFaultKind aKind, unsigned aTarget, unsigned aDelayMs) {
    SoakFault fault;
    fault.kind = aKind;
    fault.at = at + std::chrono::milliseconds(aDelayMs);
    fault.target = aTarget;
    faults.push_back(fault);
  };
  while (at < aTime) {
    auto const target = below(aFronts);
    switch (below(5)) {
      case 0:
      case 1: {
        // Two series overlap if the second begins before the processes of the first have stopped.
        static constexpr unsigned kMaxGapsMs[] = { 300, 1500, 5000 };
        auto const gap = std::min(50 + below(kMaxGapsMs[below(3)]), kMaxSeriesMs / aFronts);
        for (unsigned series = 1 + below(2); series > 0; --series, at += std::chrono::milliseconds(below(3000)))
          for (unsigned index = 0; index < aFronts; ++index, at += std::chrono::milliseconds(gap))
            add(SoakFaultKind::FrontTerminated, (target + index) % aFronts, 0);
        break;
      }
      case 2:
        add(SoakFaultKind::FrontTerminated, target, 0);
        add(SoakFaultKind::FrontTerminated, target, below(3000));
        break;
      case 3:
        add(SoakFaultKind::FrontTerminated, target, below(50));
        add(SoakFaultKind::FrontReloadsSettings, target, below(50));
        break;
      default:
        add(SoakFaultKind::FrontTerminated, target, 0);
        add(SoakFaultKind::FrontTerminated, below(aFronts), below(1000));
        add(SoakFaultKind::TableChanges, 0, below(7000));
    }
    at += std::chrono::milliseconds(300 + below(2700));
  }
  return faults;
}

}
