#pragma once

#include "RequestService.h"

namespace Hornbeam {

/// The attempt that a request has at an endpoint now.
struct Attempt
{
  std::string endpoint;
  StageResponse response;
  MonotonicTime startedAt{};
  /// It goes on after tokens of an earlier attempt.
  bool resumed{ false };
  Duration timeout{ 0 };
  std::function<void()> abandon;
};

/// A request that this front works on.
struct RequestService::ActiveRequest
{
  RequestProgress progress;
  int weight{ 1 };
  std::string prefix;
  std::string key;
  std::vector<AnswerSink> sinks;
  MonotonicTime receivedAt{};
  /// Since when it waits for a slot of its account.
  std::optional<MonotonicTime> accountAskedAt;
  TimerId deadlineTimer{ 0 };
  bool admitted{ false };
  bool holdsAccountSlot{ false };
  std::optional<Attempt> attempt;
  bool finished{ false };
};

}
