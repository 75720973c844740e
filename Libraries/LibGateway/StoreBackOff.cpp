#include "StoreBackOff.h"
#include <algorithm>

namespace Hornbeam::Gateway {

static constexpr Duration kFirstBackOff = 100ms;
/// The table must be in force two seconds after the store's acknowledgement once the store is back.
static constexpr Duration kLongestBackOff = 800ms;
/// A watch that follows another one asks by itself after this, in case only the other one's kind is refused.
static constexpr Duration kFollowTime = 2s;

Duration
OnStoreFailure(StoreBackOff& aBackOff, Platform::ObjectKind aKind, double aDraw)
{
  aBackOff.failing.insert(aKind);
  if (aBackOff.asking.value_or(aKind) != aKind)
    return kFollowTime;
  aBackOff.asking = aKind;
  aBackOff.delay = std::clamp<Duration>(aBackOff.delay * 2, kFirstBackOff, kLongestBackOff);
  return aBackOff.delay / 2 + Duration(std::int64_t(double(aBackOff.delay.count()) * aDraw / 2));
}

std::set<Platform::ObjectKind>
OnStoreAnswer(StoreBackOff& aBackOff, Platform::ObjectKind aKind)
{
  auto others = std::move(aBackOff.failing);
  others.erase(aKind);
  aBackOff = {};
  return others;
}

}
