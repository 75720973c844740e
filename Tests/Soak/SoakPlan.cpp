#include "SoakPlan.h"
#include <algorithm>
#include <iterator>
#include <random>

namespace Hornbeam::Testing {

/// Names of the kinds, in the order of SoakFaultKind.
static constexpr std::string_view kNames[] = {
  "front-stops",          "front-killed",           "front-terminated",     "front-settings-signal",
  "store-refuses",        "store-resets",           "store-silent",         "store-forgets",
  "store-loses-answers",  "table-changes",          "store-link-slow",      "store-link-reset",
  "store-link-cut-to",    "store-link-cut-from",    "endpoint-link-slow",   "endpoint-link-reset",
  "endpoint-link-cut-to", "endpoint-link-cut-from", "endpoint-link-silent", "endpoint-faulty",
  "endpoint-leaves",      "endpoint-starts-anew",   "data-center-out",
};

static constexpr unsigned kKinds = std::size(kNames);
static_assert(kKinds == static_cast<unsigned>(SoakFaultKind::DataCenterOut) + 1);

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

}
