#pragma once

#include <platform/Platform.h>
#include <set>

namespace Hornbeam::Gateway {

/// The back-off state of one front's watches while the store is unavailable. To avoid a retry storm from every watch of
/// every front on a store that is down or refuses calls, only one watch of a front retries; the others wait until it
/// succeeds.
struct StoreBackOff
{
  /// Kinds whose last call failed.
  std::set<Platform::ObjectKind> failing;
  std::optional<Platform::ObjectKind> retryingKind;
  Duration delay{ 0 };
};

/// Returns the delay before the next call for a kind. aJitter is uniform in [0, 1) and spreads the retries of the
/// fronts.
Duration
OnStoreFailure(StoreBackOff& aBackOff, Platform::ObjectKind aKind, double aJitter);

/// Resets the back-off after a response and returns the other failing kinds, which may now retry immediately.
std::set<Platform::ObjectKind>
OnStoreResponse(StoreBackOff& aBackOff, Platform::ObjectKind aKind);

}
