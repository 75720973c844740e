#include "StoreProof.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// A front must have the newest state 3 s after the end of a disturbance of the store. A lost check takes its time-out
/// of 1.5 s, and other fronts take up to 0.3 s to learn the result.
static constexpr Duration kCheckInterval = 1s;
/// Followers poll every 0.6 s and need state that is at most kMaxRelayedAge old. Fronts look every 250 ms whether a
/// check is due.
static constexpr Duration kRelayCheckInterval = 600ms;
/// Without a proof from the checking front for this long, each front checks by itself. In a calm fleet a proof is at
/// most 1.7 s old: the check interval, the wait of a poll and the lag of watches.
static constexpr Duration kMissingProofTime = 2200ms;

/// More changes than these between two checks are not told apart; the kinds are then listed.
static constexpr std::size_t kMaxSeen = 1000;

std::optional<Duration>
CheckInterval(RelayRoles const& aRoles, StoreUse aUse, bool aHasFollowers, Duration aAge)
{
  if (aUse == StoreUse::None)
    return std::nullopt;
  // In a fallback, no relay has recent state that could prove anything.
  if (aUse == StoreUse::Fallback)
    return kCheckInterval;
  if (aRoles.fleetHasFollowers)
    return aHasFollowers ? kRelayCheckInterval : kCheckInterval;
  bool const othersCheck = aRoles.checker && aAge <= kMissingProofTime;
  return othersCheck ? std::nullopt : std::optional<Duration>(kCheckInterval);
}

bool
BeginCheckIfDue(StoreProof& aProof, std::optional<Duration> aInterval, MonotonicTime aNow)
{
  if (!aInterval || aProof.checkSentAt || aNow - aProof.lastCheckAt < *aInterval)
    return false;
  aProof.checkSentAt = aNow;
  aProof.lastCheckAt = aNow;
  return true;
}

/// Whether each revision since the last proof has been seen at an object.
static bool
IsExplained(StoreProof const& aProof, StorePosition aRevision)
{
  if (aRevision <= aProof.provenRevision)
    return aRevision == aProof.provenRevision;
  auto const last = aProof.seen.upper_bound(aRevision);
  return std::uint64_t(std::distance(aProof.seen.begin(), last)) == aRevision - aProof.provenRevision;
}

static void
UpdateProof(StoreProof& aProof)
{
  if (!aProof.answer)
    return;
  auto const revision = aProof.answer->revision;
  bool const known = std::ranges::all_of(aProof.known, [&](StorePosition aKnown) { return aKnown >= revision; });
  if (!known && !IsExplained(aProof, revision))
    return;
  aProof.provenAt = std::max(aProof.provenAt, aProof.answer->sentAt);
  aProof.provenRevision = revision;
  aProof.seen.erase(aProof.seen.begin(), aProof.seen.upper_bound(revision));
  aProof.answer.reset();
}

void
OnCheckAnswered(StoreProof& aProof, StorePosition aRevision, Duration aLag, MonotonicTime aNow)
{
  // The last answer counts, not the greatest one: a single wrong revision must not outlast the next check.
  aProof.answer = { aRevision, aProof.checkSentAt.value_or(aNow), aNow + aLag };
  aProof.checkSentAt.reset();
  aProof.lastCheckAt = aProof.answer->sentAt;
  UpdateProof(aProof);
}

void
OnCheckFailed(StoreProof& aProof)
{
  aProof.checkSentAt.reset();
}

void
OnSeen(StoreProof& aProof, StorePosition aRevision)
{
  if (aRevision <= aProof.provenRevision)
    return;
  aProof.seen.insert(aRevision);
  // A front that does not check must not collect them for good.
  if (aProof.seen.size() > kMaxSeen)
    aProof.seen.erase(aProof.seen.begin());
  UpdateProof(aProof);
}

void
OnKnown(StoreProof& aProof, std::size_t aKind, StorePosition aRevision)
{
  aProof.known.at(aKind) = aRevision;
  UpdateProof(aProof);
}

std::vector<std::size_t>
KindsToVerify(StoreProof const& aProof, MonotonicTime aNow)
{
  std::vector<std::size_t> kinds;
  if (!aProof.answer || aNow < aProof.answer->verifyAt)
    return kinds;
  for (std::size_t kind = 0; kind < aProof.known.size(); ++kind)
    if (aProof.known[kind] < aProof.answer->revision)
      kinds.push_back(kind);
  return kinds;
}

}
