#pragma once

#include <LibCore/LibCore.h>
#include <optional>

namespace Hornbeam::Gateway {

/// What the head of an answer says about its endpoint.
struct AnswerSignals
{
  /// The process stops soon and wants no more requests.
  bool leaving{ false };
  /// The requests a second that the endpoint takes from all fronts together; nothing if it names no limit.
  std::optional<double> limit;
  /// A limit is named that is not a number, so that the previous one holds.
  bool unreadableLimit{ false };
  /// Set if a refusal asks for a pause: nothing more is wanted from this front for so long.
  std::optional<Duration> pause;
};

/// What an endpoint's process has said of itself in its answers to this front, and when this front may send to it.
struct EndpointSignals
{
  /// Holds until the process ends.
  bool leaving{ false };
  std::optional<double> limit;
  /// When an answer last named the limit.
  MonotonicTime limitNamedAt{};
  /// The time between two requests of this front.
  Duration sendInterval{ 0 };
  MonotonicTime nextSend{};
  MonotonicTime pausedUntil{};
};

enum class SignalChange
{
  None,
  LeavingBegan,
  LimitChanged,
  LimitEnded,
  PauseBegan,
};

/// Records what an answer says. aSenders is the number of fronts that send to the endpoint while it has a limit.
SignalChange
ApplySignals(EndpointSignals& aSignals, AnswerSignals const& aAnswer, std::size_t aSenders, MonotonicTime aNow);

/// Number of fronts that send to an endpoint with a limit. Two views of the membership that choose different fronts
/// stay below what the endpoint bears together: in any four seconds, one and a half times its limit and five requests.
std::size_t
LimitSenders(double aLimit, std::size_t aFronts);

/// The time between two requests of each of the senders.
Duration
SendInterval(double aLimit, std::size_t aSenders);

/// Returns the earliest time at which this front may send to the endpoint. aIsSender is whether it is among the fronts
/// that send to the endpoint while it has a limit.
MonotonicTime
EarliestSend(EndpointSignals const& aSignals, bool aIsSender, std::size_t aFronts);

/// Records that a request is sent.
void
OnSend(EndpointSignals& aSignals, std::size_t aFronts, MonotonicTime aNow);

}
