#pragma once

#include "RequestService.h"

namespace Hornbeam {

/// The current attempt of a request at an endpoint.
struct Attempt
{
  std::string endpoint;
  StageResponse response;
  MonotonicTime startedAt{};
  /// Whether it resumes after the tokens of an earlier attempt.
  bool resumed{ false };
  Duration timeout{ 0 };
  std::function<void()> abandon;
};

/// A request that this front is processing.
struct RequestService::ActiveRequest
{
  RequestProgress progress;
  int weight{ 1 };
  std::string prefix;
  std::string key;
  std::vector<ResponseSink> sinks;
  MonotonicTime receivedAt{};
  /// When it first requested a slot of its account without getting one.
  std::optional<MonotonicTime> accountSlotRequestedAt;
  TimerId deadlineTimer{ 0 };
  bool admitted{ false };
  bool holdsAccountSlot{ false };
  std::optional<Attempt> attempt;
  bool finished{ false };
  /// Whether the deadline is the end of this front's work, which comes before that of the request.
  bool limitedByStop{ false };
};

}
