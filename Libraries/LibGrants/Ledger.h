#pragma once

#include <LibMembership/LibMembership.h>
#include <map>

namespace Hornbeam {

/// Durations of the grant protocol. They must be the same on all fronts.
struct GrantSettings
{
  /// How long a holder may start work under a grant, measured by the holder from sending its grant request.
  Duration grantDuration{ 2s };
  /// Maximum duration of work once it has started.
  Duration maxWorkDuration{ 10s };
  Duration driftAllowance{ 100ms };
};

/// A holder's request to the owner of a key for a total number of slots. Using totals makes requests idempotent.
struct GrantRequest
{
  std::string holder;
  /// Increases with each of the holder's requests for the key, so that delayed requests can be recognised.
  std::uint64_t sequence{ 0 };
  /// The number of slots that the holder has, including those in use.
  int held{ 0 };
  int used{ 0 };
  int wanted{ 0 };
};

/// The response to a GrantRequest: the total number of slots that the holder now has.
struct Grant
{
  int total{ 0 };
  std::uint64_t sequence{ 0 };
};

/// The slots that the owner has committed to one holder.
struct LedgerEntry
{
  /// Maximum number of slots that the holder may use until its next request.
  int committed{ 0 };
  int wanted{ 0 };
  std::uint64_t sequence{ 0 };
  /// When all slots of the holder are guaranteed to be unused, if it sends no further request.
  MonotonicTime expiresAt{};
};

/// The owner's record of grants for one key: an endpoint's slots or a client account's concurrent requests.
struct Ledger
{
  int limit{ 0 };
  std::map<std::string, LedgerEntry> entries;
  /// Until this time, grants of a previous owner that are missing from this ledger may still be in use.
  MonotonicTime takenOverUntil{};
};

/// What a ledger may grant while grants of a previous owner may still be in use.
enum class TakeoverRule
{
  /// Nothing, because a single excess request would overload the endpoint.
  Withhold,
  /// An equal portion of the limit to each holder, and at least one slot.
  EqualPortions,
};

/// Returns the number of slots committed to holders other than aHolder.
int
CommittedToOthers(Ledger const& aLedger, std::string const& aHolder, MonotonicTime aNow);

/// Processes a grant request. Returns nullopt for a delayed request if a newer one has already been processed. New
/// grants never raise the sum of committed slots above the limit. Slots in use are never revoked, so after the limit
/// has been lowered the sum may exceed it until that work has ended.
std::optional<Grant>
ProcessGrantRequest(Ledger& aLedger,
                    GrantRequest const& aRequest,
                    GrantSettings const& aSettings,
                    TakeoverRule aRule,
                    std::size_t aHolders,
                    MonotonicTime aNow);

/// Removes the entries of holders whose slots are guaranteed to be unused.
void
PruneLedger(Ledger& aLedger, MonotonicTime aNow);

/// Creates a ledger for a key that another front owned in the previous epoch.
Ledger
TakenOverLedger(GrantSettings const& aSettings, MonotonicTime aNow);

}
