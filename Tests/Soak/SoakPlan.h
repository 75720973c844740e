#pragma once

#include <LibCore/LibCore.h>
#include <string_view>
#include <vector>

namespace Hornbeam::Testing {

enum class SoakFaultKind
{
  FrontStops,
  FrontKilled,
  FrontTerminated,
  FrontReloadsSettings,
  StoreRefuses,
  StoreResets,
  StoreSilent,
  StoreForgets,
  StoreLosesResponses,
  TableChanges,
  StoreLinkSlow,
  StoreLinkReset,
  StoreLinkCutTo,
  StoreLinkCutFrom,
  EndpointLinkSlow,
  EndpointLinkReset,
  EndpointLinkCutTo,
  EndpointLinkCutFrom,
  EndpointLinkSilent,
  EndpointFaulty,
  EndpointDrains,
  EndpointRestarts,
  /// The endpoint says in its answers that it leaves, what it takes, or how long it wants nothing.
  EndpointSignals,
  DataCenterOut,
  /// The store is away, and comes back from an older copy; its other writers write again a little later.
  StoreRestored,
  /// Endpoints of another software version join, and leave again. Only in runs of streams.
  Release,
};

std::string_view
ToString(SoakFaultKind aKind);

struct SoakFault
{
  SoakFaultKind kind{ SoakFaultKind::FrontStops };
  Duration at{ 0 };
  /// The duration, for kinds that have one.
  Duration length{ 0 };
  /// The index of the front or endpoint.
  unsigned target{ 0 };
  /// Selects parameters of the fault, such as a delay.
  unsigned randomValue{ 0 };
};

/// Returns the faults of one run: isolated, in quick succession and overlapping. The plan depends only on the
/// parameters.
std::vector<SoakFault>
PlanSoak(unsigned aSeed, Duration aTime, unsigned aFronts, unsigned aEndpoints);

/// Returns faults that break streams off, and releases of other software versions between them. The plan depends only
/// on the parameters.
std::vector<SoakFault>
PlanStreams(unsigned aSeed, Duration aTime, unsigned aFronts, unsigned aEndpoints);

/// Returns planned work alone: fronts terminated in series, twice, and beside settings signals and table changes. The
/// plan depends only on the parameters.
std::vector<SoakFault>
PlanStops(unsigned aSeed, Duration aTime, unsigned aFronts);

}
