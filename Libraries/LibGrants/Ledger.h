#pragma once

#include <LibMembership/LibMembership.h>
#include <map>

namespace Hornbeam {

/// The times of grants. All are in force on every front alike.
struct GrantSettings
{
  /// How long a holder may start work on a grant, counted by the holder from the sending of its request.
  Duration grantDuration{ 2s };
  /// The longest time that begun work may take.
  Duration longestWork{ 10s };
  Duration driftAllowance{ 100ms };
};

/// A holder asks the owner of a key for a total number of slots. Totals make a repeated request harmless.
struct GrantRequest
{
  std::string holder;
  /// Grows with each request of the holder for the key, so that a delayed request is not taken for a newer one.
  std::uint64_t sequence{ 0 };
  /// The slots that the holder still believes to hold, used ones included.
  int held{ 0 };
  int used{ 0 };
  int wanted{ 0 };
};

/// The answer: how many slots the holder has from now on.
struct Grant
{
  int total{ 0 };
  std::uint64_t sequence{ 0 };
};

/// What the owner has committed to one holder.
struct LedgerEntry
{
  /// The most that the holder may use until its next request tells otherwise.
  int committed{ 0 };
  int wanted{ 0 };
  std::uint64_t sequence{ 0 };
  /// When the slots of a holder that stays silent are certainly unused.
  MonotonicTime clearAt{};
};

/// The owner's account of one key: an endpoint's slots or a client account's concurrent requests.
struct Ledger
{
  int limit{ 0 };
  std::map<std::string, LedgerEntry> entries;
  /// Until then, grants of an earlier owner may be in use that this ledger does not show.
  MonotonicTime takenOverUntil{};
};

/// What a ledger may hand out while grants of an earlier owner may be in use.
enum class TakeoverRule
{
  /// Nothing: one request too many would overload the endpoint.
  Withhold,
  /// To each holder an equal share of the limit, and at least one slot.
  EqualShares,
};

/// The slots that are committed to holders other than aHolder.
int
CommittedToOthers(Ledger const& aLedger, std::string const& aHolder, MonotonicTime aNow);

/// Answers one request; a delayed one that a newer has overtaken gets nothing. The sum of what is committed never rises
/// above the limit; slots in use are never taken back, so after the limit has been lowered the sum may stay above it
/// until that work has ended.
std::optional<Grant>
AnswerRequest(Ledger& aLedger,
              GrantRequest const& aRequest,
              GrantSettings const& aSettings,
              TakeoverRule aRule,
              std::size_t aHolders,
              MonotonicTime aNow);

/// Forgets holders that have been silent until their slots are certainly unused.
void
PruneLedger(Ledger& aLedger, MonotonicTime aNow);

/// A ledger for a key that another front owned in the epoch before.
Ledger
TakenOverLedger(GrantSettings const& aSettings, MonotonicTime aNow);

}
