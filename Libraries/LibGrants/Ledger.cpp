#include "Ledger.h"
#include <algorithm>

namespace Hornbeam {

int
CommittedToOthers(Ledger const& aLedger, std::string const& aHolder, MonotonicTime aNow)
{
  int committed = 0;
  for (auto const& [holder, entry] : aLedger.entries) {
    if (holder != aHolder && aNow < entry.clearAt)
      committed += entry.committed;
  }
  return committed;
}

/// The holder's part of the limit by what the holders want, rounded up so that every holder that wants gets a slot
/// as long as there are any.
static int
FairShare(Ledger const& aLedger, GrantRequest const& aRequest, MonotonicTime aNow)
{
  std::int64_t wanted = aRequest.wanted;
  for (auto const& [holder, entry] : aLedger.entries) {
    if (holder != aRequest.holder && aNow < entry.clearAt)
      wanted += entry.wanted;
  }
  if (wanted <= aLedger.limit)
    return aRequest.wanted;
  std::int64_t const share = (std::int64_t(aLedger.limit) * aRequest.wanted + wanted - 1) / wanted;
  return static_cast<int>(share);
}

static int
TakeoverShare(Ledger const& aLedger, TakeoverRule aRule, std::size_t aHolders)
{
  if (aRule == TakeoverRule::Withhold || aHolders == 0)
    return 0;
  return std::max(1, aLedger.limit / static_cast<int>(aHolders));
}

std::optional<Grant>
AnswerRequest(Ledger& aLedger,
              GrantRequest const& aRequest,
              GrantSettings const& aSettings,
              TakeoverRule aRule,
              std::size_t aHolders,
              MonotonicTime aNow)
{
  auto& entry = aLedger.entries[aRequest.holder];
  if (aRequest.sequence <= entry.sequence)
    return std::nullopt;
  int const free = std::max(0, aLedger.limit - CommittedToOthers(aLedger, aRequest.holder, aNow));
  int total = std::min({ aRequest.wanted, free, FairShare(aLedger, aRequest, aNow) });
  if (aNow < aLedger.takenOverUntil)
    total = std::min(total, TakeoverShare(aLedger, aRule, aHolders));
  total = std::max(total, aRequest.used);

  // Until its next request the holder may act on what it held before this answer.
  entry.committed = std::max(total, aRequest.held);
  entry.wanted = aRequest.wanted;
  entry.clearAt = aNow + aSettings.grantDuration + aSettings.longestWork + aSettings.driftAllowance;
  entry.sequence = aRequest.sequence;
  return Grant{ total, aRequest.sequence };
}

void
PruneLedger(Ledger& aLedger, MonotonicTime aNow)
{
  std::erase_if(aLedger.entries, [&](auto const& aEntry) { return aNow >= aEntry.second.clearAt; });
}

Ledger
TakenOverLedger(GrantSettings const& aSettings, MonotonicTime aNow)
{
  Ledger ledger;
  ledger.takenOverUntil = aNow + aSettings.grantDuration + aSettings.longestWork + aSettings.driftAllowance;
  return ledger;
}

}
