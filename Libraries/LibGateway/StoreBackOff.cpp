#include "StoreBackOff.h"
#include <algorithm>

namespace Hornbeam::Gateway {

static constexpr Duration kInitialBackOff = 100ms;
/// Once the store has recovered, a new table must be in force within two seconds of the store's acknowledgement.
static constexpr Duration kMaxBackOff = 800ms;
/// A watch that leaves retrying to another one retries by itself after this delay, in case the store refuses only the
/// other watch's kind.
static constexpr Duration kFollowerDelay = 2s;

Duration
OnStoreFailure(StoreBackOff& aBackOff, Platform::ObjectKind aKind, double aJitter)
{
  aBackOff.failing.insert(aKind);
  if (aBackOff.retryingKind.value_or(aKind) != aKind)
    return kFollowerDelay;
  aBackOff.retryingKind = aKind;
  aBackOff.delay = std::clamp<Duration>(aBackOff.delay * 2, kInitialBackOff, kMaxBackOff);
  return aBackOff.delay / 2 + Duration(std::int64_t(double(aBackOff.delay.count()) * aJitter / 2));
}

std::set<Platform::ObjectKind>
OnStoreResponse(StoreBackOff& aBackOff, Platform::ObjectKind aKind)
{
  auto others = std::move(aBackOff.failing);
  others.erase(aKind);
  aBackOff = {};
  return others;
}

}
