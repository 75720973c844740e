#pragma once

#include <platform/Platform.h>
#include <set>

namespace Hornbeam::Gateway {

/// How the watches of one front come back to a store that does not answer. The pattern it answers: a store that is away
/// or turns fronts away, while each watch of each front asks again. One watch of a front asks; the others follow it.
struct StoreBackOff
{
  /// Kinds whose last call failed.
  std::set<Platform::ObjectKind> failing;
  std::optional<Platform::ObjectKind> asking;
  Duration delay{ 0 };
};

/// The time until the kind's next call. aDraw is uniform in [0, 1) and keeps fronts from coming back all at once.
Duration
OnStoreFailure(StoreBackOff& aBackOff, Platform::ObjectKind aKind, double aDraw);

/// The store answered; the kinds returned may call at once.
std::set<Platform::ObjectKind>
OnStoreAnswer(StoreBackOff& aBackOff, Platform::ObjectKind aKind);

}
