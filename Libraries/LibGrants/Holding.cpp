#include "Holding.h"
#include <algorithm>

namespace Hornbeam {

int
AvailableSlots(Holding const& aHolding, MonotonicTime aNow)
{
  if (aNow >= aHolding.expiresAt)
    return 0;
  return std::max(0, aHolding.total - aHolding.used);
}

bool
AcquireSlot(Holding& aHolding, MonotonicTime aNow)
{
  if (AvailableSlots(aHolding, aNow) == 0)
    return false;
  ++aHolding.used;
  return true;
}

void
ReleaseSlot(Holding& aHolding)
{
  VERIFY(aHolding.used > 0);
  --aHolding.used;
  aHolding.changed = true;
}

void
SuspendHolding(Holding& aHolding)
{
  aHolding.total = aHolding.used;
  aHolding.urgent = true;
  // The response to a grant request in flight would predate the failure.
  CancelGrantRequest(aHolding);
}

void
CancelGrantRequest(Holding& aHolding)
{
  ++aHolding.sequence;
  aHolding.requestSentAt.reset();
}

int
WantedSlots(Holding const& aHolding, HoldingPolicy const& aPolicy)
{
  int const needed = aHolding.used + aHolding.waiting;
  int const reserve = (needed * aPolicy.reservePercent + 99) / 100;
  return needed + reserve;
}

bool
IsGrantRequestDue(Holding const& aHolding,
                  HoldingPolicy const& aPolicy,
                  GrantSettings const& aSettings,
                  MonotonicTime aNow)
{
  if (aHolding.requestSentAt || aNow < aHolding.nextRequestAt)
    return false;
  if (aHolding.urgent)
    return true;
  int const wanted = WantedSlots(aHolding, aPolicy);
  int const held = aNow < aHolding.expiresAt ? aHolding.total : aHolding.used;
  bool const needsSlot = aHolding.waiting > 0 && held <= aHolding.used;
  if (needsSlot)
    return true;
  bool const renewalDue = aHolding.total > 0 && aHolding.expiresAt - aNow < aSettings.grantDuration / 2;
  if (renewalDue)
    return true;
  // Reserve slots are released at the renewal. Without reserve slots, a slot is released as soon as its work has ended.
  bool const releasesSlots = aHolding.changed && aPolicy.reservePercent == 0 && held > wanted;
  return releasesSlots;
}

GrantRequest
BeginGrantRequest(Holding& aHolding, std::string const& aHolder, HoldingPolicy const& aPolicy, MonotonicTime aNow)
{
  aHolding.requestSentAt = aNow;
  // Basing the sequence on the clock keeps it increasing after a holding has been removed and recreated.
  auto const clockSequence = static_cast<std::uint64_t>(aNow.time_since_epoch().count());
  aHolding.sequence = std::max(aHolding.sequence + 1, clockSequence);
  aHolding.changed = false;
  aHolding.urgent = false;
  int const wanted = WantedSlots(aHolding, aPolicy);
  // Released slots must not be used from now on: the owner may grant them to others as soon as the request arrives.
  aHolding.total = std::min(aHolding.total, wanted);
  int const held = aNow < aHolding.expiresAt ? std::max(aHolding.total, aHolding.used) : aHolding.used;
  return { aHolder, aHolding.sequence, held, aHolding.used, wanted };
}

void
FinishGrantRequest(Holding& aHolding, Grant const& aGrant, GrantSettings const& aSettings)
{
  if (!aHolding.requestSentAt || aGrant.sequence != aHolding.sequence)
    return;
  aHolding.total = aGrant.total;
  aHolding.expiresAt = *aHolding.requestSentAt + aSettings.grantDuration;
  aHolding.requestSentAt.reset();
}

void
FailGrantRequest(Holding& aHolding, HoldingPolicy const& aPolicy, MonotonicTime aNow)
{
  aHolding.requestSentAt.reset();
  aHolding.nextRequestAt = aNow + 5 * aPolicy.requestInterval;
}

}
