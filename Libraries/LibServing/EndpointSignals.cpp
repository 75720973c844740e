#include "EndpointSignals.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// In any window of this length, an endpoint may get its limit times kOvershoot, and kSlack requests more.
static constexpr double kWindowSeconds = 4;
static constexpr double kOvershoot = 1.5;
static constexpr double kSlack = 5;
/// Fronts that do not agree on the membership choose different senders.
static constexpr double kViews = 2;
/// The part of a limit that fronts use in each view of the membership.
static constexpr double kUsedPart = 0.7;
/// Kept free of the slack, for requests that are delayed on their way.
static constexpr double kSlackMargin = 0.6;
/// Below this limit, in requests a second, the slack leaves room for one sender in each view.
static constexpr double kOneSenderLimit = 0.5;
/// An endpoint that takes less is still asked this often, in requests a second: only an answer tells that its limit has
/// risen.
static constexpr double kMinLimit = 0.25;
/// Larger limits are no limits to a front, and keep intervals above the resolution of timers.
static constexpr double kMaxLimit = 1e6;
/// An endpoint cannot silence a front for longer by one answer.
static constexpr Duration kMaxPause = 5min;
/// A front that was late for its turn by up to this time does not lose it.
static constexpr Duration kSendTolerance = 50ms;
/// A front that does not send to an endpoint hears of the end of its limit only if it asks. All fronts together ask
/// once in this time, each of them not before kMinLimitMemory.
static constexpr Duration kFleetAskInterval = 4s;
static constexpr Duration kMinLimitMemory = 30s;

static double
EffectiveLimit(double aLimit)
{
  return std::clamp(aLimit, kMinLimit, kMaxLimit);
}

std::size_t
LimitSenders(double aLimit, std::size_t aFronts)
{
  auto const limit = EffectiveLimit(aLimit);
  if (limit < kOneSenderLimit)
    return 1;
  // What the senders do not use at an even rate is left for the one request that each may send early in a window.
  auto const left = (kOvershoot - kViews * kUsedPart) * limit * kWindowSeconds + kSlack - kSlackMargin;
  return std::clamp<std::size_t>(std::size_t(left / kViews), 1, std::max<std::size_t>(1, aFronts));
}

Duration
SendInterval(double aLimit, std::size_t aSenders)
{
  return FromSeconds(double(aSenders) / (kUsedPart * EffectiveLimit(aLimit)));
}

static Duration
LimitMemory(std::size_t aFronts)
{
  return std::max<Duration>(kMinLimitMemory, kFleetAskInterval * std::int64_t(aFronts));
}

static SignalChange
ApplyLimit(EndpointSignals& aSignals, double aLimit, std::size_t aSenders, MonotonicTime aNow)
{
  bool const changed = aSignals.limit != aLimit;
  auto const interval = SendInterval(aLimit, aSenders);
  if (!aSignals.limit)
    aSignals.nextSend = aNow + interval;
  else if (interval != aSignals.sendInterval)
    aSignals.nextSend = std::max<MonotonicTime>(aNow, aSignals.nextSend - aSignals.sendInterval + interval);
  aSignals.limit = aLimit;
  aSignals.sendInterval = interval;
  aSignals.limitNamedAt = aNow;
  return changed ? SignalChange::LimitChanged : SignalChange::None;
}

SignalChange
ApplySignals(EndpointSignals& aSignals, AnswerSignals const& aAnswer, std::size_t aSenders, MonotonicTime aNow)
{
  auto change = SignalChange::None;
  if (aAnswer.limit) {
    change = ApplyLimit(aSignals, *aAnswer.limit, aSenders, aNow);
  } else if (aSignals.limit && !aAnswer.unreadableLimit) {
    aSignals.limit.reset();
    change = SignalChange::LimitEnded;
  }
  if (aAnswer.pause) {
    aSignals.pausedUntil = std::max<MonotonicTime>(aSignals.pausedUntil, aNow + std::min(*aAnswer.pause, kMaxPause));
    change = SignalChange::PauseBegan;
  }
  if (aAnswer.leaving && !std::exchange(aSignals.leaving, true))
    change = SignalChange::LeavingBegan;
  return change;
}

MonotonicTime
EarliestSend(EndpointSignals const& aSignals, bool aIsSender, std::size_t aFronts)
{
  if (!aSignals.limit)
    return aSignals.pausedUntil;
  auto const turn = aIsSender ? aSignals.nextSend : aSignals.limitNamedAt + LimitMemory(aFronts);
  return std::max<MonotonicTime>(aSignals.pausedUntil, turn);
}

void
OnSend(EndpointSignals& aSignals, std::size_t aFronts, MonotonicTime aNow)
{
  if (!aSignals.limit)
    return;
  aSignals.nextSend = std::max<MonotonicTime>(aSignals.nextSend, aNow - kSendTolerance) + aSignals.sendInterval;
  // The answer tells whether the limit still holds; without one, it does.
  if (aNow - aSignals.limitNamedAt >= LimitMemory(aFronts))
    aSignals.limitNamedAt = aNow;
}

}
