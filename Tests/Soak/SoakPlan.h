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
  FrontSettingsSignal,
  StoreRefuses,
  StoreResets,
  StoreSilent,
  StoreForgets,
  StoreLosesAnswers,
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
  EndpointLeaves,
  EndpointStartsAnew,
  DataCenterOut,
};

std::string_view
ToString(SoakFaultKind aKind);

struct SoakFault
{
  SoakFaultKind kind{ SoakFaultKind::FrontStops };
  Duration at{ 0 };
  /// How long it lasts, where it lasts.
  Duration length{ 0 };
  /// The front or endpoint, by its number.
  unsigned target{ 0 };
  /// Decides details.
  unsigned draw{ 0 };
};

/// The faults of one run: alone, in series and overlapping, decided by the seed alone.
std::vector<SoakFault>
PlanSoak(unsigned aSeed, Duration aTime, unsigned aFronts, unsigned aEndpoints);

}
