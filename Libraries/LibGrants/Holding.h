#pragma once

#include "Ledger.h"

namespace Hornbeam {

/// A front's side of a grant: the slots that it may use for one key.
struct Holding
{
  int total{ 0 };
  int used{ 0 };
  /// Requests that wait here for a slot.
  int waiting{ 0 };
  MonotonicTime expiresAt{};
  /// When the request in flight was sent; at most one is in flight.
  std::optional<MonotonicTime> requestSentAt;
  std::uint64_t sequence{ 0 };
  /// A request before this time would only repeat the last one.
  MonotonicTime nextRequestAt{};
  /// Whether something changed that the owner should hear before the next renewal.
  bool changed{ false };
  /// Whether the owner must hear of a failure at once.
  bool urgent{ false };
};

/// How a holder asks for more than it uses now, so that warm endpoints cost one request for many sends.
struct HoldingPolicy
{
  /// Spare slots per used one, in percent.
  int sparePercent{ 50 };
  /// The shortest time between two requests for one key.
  Duration requestInterval{ 20ms };
};

/// Slots that may be used now.
int
FreeSlots(Holding const& aHolding, MonotonicTime aNow);

/// Takes one slot; false when none is free.
bool
TakeSlot(Holding& aHolding, MonotonicTime aNow);

/// Gives one slot back after its work has ended.
void
ReturnSlot(Holding& aHolding);

/// Stops using the grant until the owner has heard of a failure and answered.
void
SuspendHolding(Holding& aHolding);

/// Forgets the request in flight: its answer is ignored when it comes.
void
CancelRequest(Holding& aHolding);

/// The total that the holder wants. Without spares every slot is asked for and returned one by one.
int
WantedSlots(Holding const& aHolding, HoldingPolicy const& aPolicy);

/// True when the owner should be asked now: for more, for a renewal, or to give slots back.
bool
IsRequestDue(Holding const& aHolding, HoldingPolicy const& aPolicy, GrantSettings const& aSettings, MonotonicTime aNow);

GrantRequest
BeginRequest(Holding& aHolding, std::string const& aHolder, HoldingPolicy const& aPolicy, MonotonicTime aNow);

/// The owner answered. An answer to an earlier request than the one in flight is ignored.
void
FinishRequest(Holding& aHolding, Grant const& aGrant, GrantSettings const& aSettings);

/// The request in flight failed; what was held stays valid until it expires.
void
FailRequest(Holding& aHolding, HoldingPolicy const& aPolicy, MonotonicTime aNow);

}
