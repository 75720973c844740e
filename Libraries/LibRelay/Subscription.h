#pragma once

#include "RelayRoles.h"

namespace Hornbeam::Gateway {

/// How a front uses the store for reading.
enum class StoreUse
{
  /// Follows relays only.
  None,
  /// Watches the store.
  Watch,
  /// Tries to watch the store because the relays have no recent state. They respond, so the store itself may be down;
  /// failed calls are repeated rarely, because relays report its return.
  Fallback,
};

enum class PollKind
{
  /// The response contains the changes.
  Changes,
  /// The response only tells the relay's revisions, a little later. Changes cross from one data centre to another only
  /// if they did not arrive by a shorter way meanwhile.
  Notice,
};

/// The state of a front that follows relays. Each poll of a relay is answered at its next change, or without one after
/// a fixed time, with the age of the relay's state.
struct Subscription
{
  struct Relay
  {
    bool polling{ false };
    PollKind lastPoll{ PollKind::Changes };
    MonotonicTime lastResponse{};
    /// The relay did not respond; it is not polled until this time.
    MonotonicTime failedUntil{};
    /// The relay's state was old, or it did not watch the store itself; others are preferred until this time.
    MonotonicTime avoidedUntil{};
    MonotonicTime lastPolled{};
    /// The relay is not polled until this time, although it may be followed.
    MonotonicTime pausedUntil{};
    /// A notice of the relay told of changes that this front does not have.
    bool hasNews{ false };
  };
  std::map<std::string, Relay> relays;
  /// The latest time at which this front's state, as learnt from relays, was that of the store.
  MonotonicTime confirmed{};
  StoreUse use{ StoreUse::None };
  /// Since when the state from relays has been recent without a break.
  std::optional<MonotonicTime> recentSince;
  /// Since when this front has been assigned the role of a relay.
  std::optional<MonotonicTime> relaySince;
};

struct RelayPoll
{
  std::string address;
  PollKind kind{ PollKind::Changes };
  /// How long the relay may wait for a change; none for a relay of which nothing is known yet.
  Duration wait{ 0 };

  bool operator==(RelayPoll const&) const = default;
};

struct SubscriptionDecisions
{
  /// Polls to make now.
  std::vector<RelayPoll> polls;
  StoreUse use{ StoreUse::None };
};

/// Decides which relays to poll and whether to watch the store. To be called after every event and every few hundred
/// milliseconds. aSpread, between zero and kMaxFallbackSpread, differs between fronts, so that they do not all turn to
/// the store at once.
SubscriptionDecisions
DecideSubscription(Subscription& aSubscription, RelayRoles const& aRoles, Duration aSpread, MonotonicTime aNow);

/// What a relay's response tells of its state.
struct RelayStatus
{
  Duration age{ 0 };
  bool watchesStore{ false };
  /// Whether the relay has changes that this front does not have, after the response was applied.
  bool hasNews{ false };
  /// How long the response was on its way at least.
  Duration delay{ 0 };
};

void
OnRelayResponse(Subscription& aSubscription, std::string const& aAddress, RelayStatus aStatus, MonotonicTime aNow);

void
OnRelayFailure(Subscription& aSubscription, std::string const& aAddress, MonotonicTime aNow);

/// State from relays is recent up to this age. Beyond it, the front turns to the store. Platform rules allow changes of
/// endpoints two seconds.
inline constexpr Duration kMaxRelayedAge = 1500ms;
inline constexpr Duration kMaxFallbackSpread = 1s;

}
