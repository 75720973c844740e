#pragma once

#include "Ledger.h"

namespace Hornbeam {

/// The slots that a front holds for one key, granted by the owner of the key.
struct Holding
{
  int total{ 0 };
  int used{ 0 };
  /// Number of requests on this front that are waiting for a slot.
  int waiting{ 0 };
  MonotonicTime expiresAt{};
  /// When the grant request in flight was sent. At most one is in flight.
  std::optional<MonotonicTime> requestSentAt;
  std::uint64_t sequence{ 0 };
  /// Earliest time of the next grant request. An earlier one would only duplicate the last one.
  MonotonicTime nextRequestAt{};
  /// Whether slots were released since the last grant request.
  bool changed{ false };
  /// Whether a failure must be reported to the owner immediately.
  bool urgent{ false };
};

/// How many reserve slots a holder requests on top of those it uses. With reserve slots, one grant request to the owner
/// covers many calls to a warm endpoint.
struct HoldingPolicy
{
  /// Reserve slots as a percentage of the slots in use or waited for.
  int reservePercent{ 50 };
  /// Minimum interval between two grant requests for one key.
  Duration requestInterval{ 20ms };
};

/// Returns the number of granted slots that are not in use; zero if the grant has expired.
int
AvailableSlots(Holding const& aHolding, MonotonicTime aNow);

/// Acquires one slot. Returns false if none is available.
bool
AcquireSlot(Holding& aHolding, MonotonicTime aNow);

/// Releases one slot after its work has ended.
void
ReleaseSlot(Holding& aHolding);

/// Stops using unused slots until a failure has been reported to the owner and the owner has responded.
void
SuspendHolding(Holding& aHolding);

/// Cancels the grant request in flight. A response that still arrives is ignored.
void
CancelGrantRequest(Holding& aHolding);

/// Returns the total number of slots to request. Without reserve slots, each slot is requested and released
/// individually.
int
WantedSlots(Holding const& aHolding, HoldingPolicy const& aPolicy);

/// Returns true if a grant request should be sent now: to obtain, renew or release slots.
bool
IsGrantRequestDue(Holding const& aHolding,
                  HoldingPolicy const& aPolicy,
                  GrantSettings const& aSettings,
                  MonotonicTime aNow);

GrantRequest
BeginGrantRequest(Holding& aHolding, std::string const& aHolder, HoldingPolicy const& aPolicy, MonotonicTime aNow);

/// Processes the owner's response. Responses to earlier requests than the one in flight are ignored.
void
FinishGrantRequest(Holding& aHolding, Grant const& aGrant, GrantSettings const& aSettings);

/// Processes the failure of the grant request in flight. Slots already held stay valid until they expire.
void
FailGrantRequest(Holding& aHolding, HoldingPolicy const& aPolicy, MonotonicTime aNow);

}
