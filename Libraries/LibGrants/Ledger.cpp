#include "Ledger.h"
#include <algorithm>

namespace Hornbeam {

int
CommittedToOthers(Ledger const& aLedger, std::string const& aHolder, MonotonicTime aNow)
{
  int committed = 0;
  for (auto const& [holder, entry] : aLedger.entries) {
    if (holder != aHolder && aNow < entry.expiresAt)
      committed += entry.committed;
  }
  return committed;
}

/// Returns the holder's portion of the limit in proportion to the slots that each holder wants. Rounds up, so that
/// every holder that wants a slot gets one while any are available.
static int
FairPortion(Ledger const& aLedger, GrantRequest const& aRequest, MonotonicTime aNow)
{
  std::int64_t wanted = aRequest.wanted;
  for (auto const& [holder, entry] : aLedger.entries) {
    if (holder != aRequest.holder && aNow < entry.expiresAt)
      wanted += entry.wanted;
  }
  if (wanted <= aLedger.limit)
    return aRequest.wanted;
  std::int64_t const portion = (std::int64_t(aLedger.limit) * aRequest.wanted + wanted - 1) / wanted;
  return static_cast<int>(portion);
}

static int
TakeoverPortion(Ledger const& aLedger, TakeoverRule aRule, std::size_t aHolders)
{
  if (aRule == TakeoverRule::Withhold || aHolders == 0)
    return 0;
  return std::max(1, aLedger.limit / static_cast<int>(aHolders));
}

std::optional<Grant>
ProcessGrantRequest(Ledger& aLedger,
                    GrantRequest const& aRequest,
                    GrantSettings const& aSettings,
                    TakeoverRule aRule,
                    std::size_t aHolders,
                    MonotonicTime aNow)
{
  auto& entry = aLedger.entries[aRequest.holder];
  if (aRequest.sequence <= entry.sequence)
    return std::nullopt;
  int const available = std::max(0, aLedger.limit - CommittedToOthers(aLedger, aRequest.holder, aNow));
  int total = std::min({ aRequest.wanted, available, FairPortion(aLedger, aRequest, aNow) });
  if (aNow < aLedger.takenOverUntil)
    total = std::min(total, TakeoverPortion(aLedger, aRule, aHolders));
  total = std::max(total, aRequest.used);

  // Until its next request, the holder may still use the slots that it held before this response.
  entry.committed = std::max(total, aRequest.held);
  entry.wanted = aRequest.wanted;
  entry.expiresAt = aNow + aSettings.grantDuration + aSettings.maxWorkDuration + aSettings.driftAllowance;
  entry.sequence = aRequest.sequence;
  return Grant{ total, aRequest.sequence };
}

void
PruneLedger(Ledger& aLedger, MonotonicTime aNow)
{
  std::erase_if(aLedger.entries, [&](auto const& aEntry) { return aNow >= aEntry.second.expiresAt; });
}

Ledger
TakenOverLedger(GrantSettings const& aSettings, MonotonicTime aNow)
{
  Ledger ledger;
  ledger.takenOverUntil = aNow + aSettings.grantDuration + aSettings.maxWorkDuration + aSettings.driftAllowance;
  return ledger;
}

}
