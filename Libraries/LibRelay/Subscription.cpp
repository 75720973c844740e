#include "Subscription.h"
#include <algorithm>
#include <utility>

namespace Hornbeam::Gateway {

/// Two relays, in different data centres if possible, so that the loss of one delays nothing.
static constexpr std::size_t kFollowedRelays = 2;
static constexpr Duration kFailedPause = 2s;
static constexpr Duration kAvoidedPause = 1s;
/// Pause after an avoided relay has answered at once, as one with too many followers does.
static constexpr Duration kQuickAnswerPause = 250ms;
/// Answers that take less than this come at once.
static constexpr Duration kQuickAnswerTime = 100ms;
/// How long a relay may wait for a change before it answers. A silent relay is detected by it.
static constexpr Duration kPollTime = 600ms;
/// A new role must last this long before the front acts on it: while a fleet starts, roles change with every front that
/// registers.
static constexpr Duration kRoleDelay = 1s;
/// How long the state from relays must have been recent before the front stops watching the store.
static constexpr Duration kStepDownDelay = 2s;

static bool
IsRecent(Subscription const& aSubscription, MonotonicTime aNow)
{
  return aNow - aSubscription.confirmed <= kMaxRelayedAge;
}

static std::vector<std::string>
CheckerToFollow(Subscription const& aSubscription, RelayRoles const& aRoles, MonotonicTime aNow)
{
  if (!aRoles.checker)
    return {};
  auto const known = aSubscription.relays.find(aRoles.checker->address);
  bool const failed = known != aSubscription.relays.end() && known->second.failedUntil > aNow;
  return failed ? std::vector<std::string>() : std::vector{ aRoles.checker->address };
}

/// Chooses the relays to follow: usable ones first, the second in another data centre than the first. Avoided
/// relays are followed only if there are no others.
static std::vector<std::string>
ChooseRelays(Subscription const& aSubscription, RelayRoles const& aRoles, MonotonicTime aNow)
{
  std::vector<RelayAddress> chosen;
  if (!aRoles.fleetHasFollowers && aSubscription.use == StoreUse::Watch)
    return CheckerToFollow(aSubscription, aRoles, aNow);
  auto const consider = [&](bool aAvoided, bool aSameDataCenter) {
    for (auto const& relay : aRoles.relays) {
      if (chosen.size() == kFollowedRelays)
        return;
      auto const known = aSubscription.relays.find(relay.address);
      auto const state = known == aSubscription.relays.end() ? Subscription::Relay{} : known->second;
      bool const shares =
        std::ranges::any_of(chosen, [&](RelayAddress const& aOther) { return aOther.dataCenter == relay.dataCenter; });
      bool const taken = std::ranges::find(chosen, relay) != chosen.end();
      if (taken || state.failedUntil > aNow || (state.avoidedUntil > aNow) != aAvoided || shares != aSameDataCenter)
        continue;
      chosen.push_back(relay);
    }
  };
  consider(false, false);
  consider(false, true);
  consider(true, false);
  consider(true, true);
  std::vector<std::string> addresses;
  addresses.reserve(chosen.size());
  for (auto& relay : chosen)
    addresses.push_back(std::move(relay.address));
  return addresses;
}

static bool
AnyRelayResponds(Subscription const& aSubscription, MonotonicTime aNow)
{
  return std::ranges::any_of(aSubscription.relays, [&](auto const& aEntry) {
    return aEntry.second.lastResponse != MonotonicTime() && aNow - aEntry.second.lastResponse <= kMaxRelayedAge;
  });
}

/// Sets aSince to when aHolds started to hold.
static void
Track(std::optional<MonotonicTime>& aSince, bool aHolds, MonotonicTime aNow)
{
  if (!aHolds)
    aSince.reset();
  else if (!aSince)
    aSince = aNow;
}

static StoreUse
DecideUse(Subscription const& aSubscription, RelayRoles const& aRoles, Duration aSpread, MonotonicTime aNow)
{
  auto const lasts = [&](std::optional<MonotonicTime> aSince, Duration aDelay) {
    return aSince && aNow - *aSince >= aDelay;
  };
  if (lasts(aSubscription.relaySince, kRoleDelay))
    return StoreUse::Watch;
  if (aSubscription.use == StoreUse::None) {
    bool const expired = aNow - aSubscription.confirmed > kMaxRelayedAge + aSpread;
    if (!expired)
      return StoreUse::None;
  } else if (!aRoles.isRelay) {
    auto const delay = aSubscription.use == StoreUse::Fallback ? Duration::zero() : Duration(kStepDownDelay);
    if (lasts(aSubscription.recentSince, delay))
      return StoreUse::None;
  }
  if (aRoles.isRelay || IsRecent(aSubscription, aNow))
    return aSubscription.use == StoreUse::None ? StoreUse::Watch : aSubscription.use;
  return AnyRelayResponds(aSubscription, aNow) ? StoreUse::Fallback : StoreUse::Watch;
}

SubscriptionDecisions
DecideSubscription(Subscription& aSubscription, RelayRoles const& aRoles, Duration aSpread, MonotonicTime aNow)
{
  Track(aSubscription.recentSince, IsRecent(aSubscription, aNow), aNow);
  Track(aSubscription.relaySince, aRoles.isRelay, aNow);
  SubscriptionDecisions decisions;
  // A front that watches the store itself, and a second relay, only need to notice that something did not arrive.
  auto kind = aSubscription.use == StoreUse::Watch ? PollKind::Notice : PollKind::Changes;
  for (auto& address : ChooseRelays(aSubscription, aRoles, aNow)) {
    auto& relay = aSubscription.relays[address];
    if (!relay.polling && relay.pausedUntil <= aNow) {
      bool const isFirst = relay.lastResponse == MonotonicTime();
      bool const hasNews = std::exchange(relay.hasNews, false);
      relay.polling = true;
      relay.lastPolled = aNow;
      relay.lastPoll = hasNews ? PollKind::Changes : kind;
      decisions.polls.push_back(
        { std::move(address), relay.lastPoll, isFirst || hasNews ? Duration::zero() : kPollTime });
    }
    kind = PollKind::Notice;
  }
  std::erase_if(aSubscription.relays, [&](auto const& aEntry) {
    auto const& relay = aEntry.second;
    return !relay.polling && relay.failedUntil <= aNow && relay.avoidedUntil <= aNow;
  });
  aSubscription.use = DecideUse(aSubscription, aRoles, aSpread, aNow);
  decisions.use = aSubscription.use;
  return decisions;
}

void
OnRelayResponse(Subscription& aSubscription, std::string const& aAddress, RelayStatus aStatus, MonotonicTime aNow)
{
  auto& relay = aSubscription.relays[aAddress];
  relay.polling = false;
  relay.lastResponse = aNow;
  relay.hasNews = aStatus.hasNews && relay.lastPoll == PollKind::Notice;
  relay.avoidedUntil = aStatus.age > kMaxRelayedAge || !aStatus.watchesStore ? aNow + kAvoidedPause : MonotonicTime();
  if (relay.avoidedUntil > aNow && aNow - relay.lastPolled < kQuickAnswerTime)
    relay.pausedUntil = aNow + kQuickAnswerPause;
  if (!aStatus.hasNews)
    aSubscription.confirmed = std::max<MonotonicTime>(aSubscription.confirmed, aNow - aStatus.delay - aStatus.age);
}

void
OnRelayFailure(Subscription& aSubscription, std::string const& aAddress, MonotonicTime aNow)
{
  auto& relay = aSubscription.relays[aAddress];
  relay.polling = false;
  relay.failedUntil = aNow + kFailedPause;
}

}
