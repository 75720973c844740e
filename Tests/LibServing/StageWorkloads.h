#pragma once

#include "StageLoad.h"

namespace Hornbeam::Gateway {

/// Two large deployments that differ in the order of their kinds' priorities and in the load on their pools.
enum class Workload
{
  T,
  H,
};

enum class Burst
{
  None,
  KindA,
  KindB,
  KindC,
  Everything,
  /// Everything, and a third of the endpoints of the second pool five times slower.
  SlowEndpoints,
  /// The first kind, without a third of the endpoints of the first pool.
  MissingEndpoints,
  /// Everything, and all owners replaced.
  NewOwners,
};

std::string_view
ToString(Burst aBurst);

std::vector<Burst> const&
AllBursts();

struct WorkloadResult
{
  std::map<std::string, LoadCounts> counts;
  ItemCounts items;
};

/// Runs 20 s of a workload with all rates multiplied by aScale.
WorkloadResult
RunWorkload(Workload aWorkload, Burst aBurst, double aScale, unsigned aSeed);

void
Add(WorkloadResult& aTo, WorkloadResult const& aFrom);

/// Worth earned over worth offered, of all kinds.
double
WorthShare(WorkloadResult const& aResult);

std::string
Report(WorkloadResult const& aResult);

}
