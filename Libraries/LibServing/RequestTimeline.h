#pragma once

#include <LibCore/LibCore.h>
#include <map>
#include <string>

namespace Hornbeam::Gateway {

/// Where the time of a request went.
struct RequestTimeline
{
  struct Stage
  {
    MonotonicTime started{};
    /// From the submission of the stage to its result, without the last call.
    Duration waiting{ 0 };
    /// The call that completed the stage's last item.
    Duration computing{ 0 };
    /// The front whose pool served the stage.
    std::string owner;
  };
  /// Stages that were started, by position.
  std::map<unsigned, Stage> stages;
  /// When the request first needed an endpoint: at its arrival, or once its stages had completed.
  MonotonicTime ready{};
  /// When the last attempt was sent.
  MonotonicTime sent{};
  MonotonicTime firstByte{};
  MonotonicTime lastByte{};
  /// The longest time between two parts of the response.
  Duration longestPause{ 0 };
};

/// Lengths of the parts; zero for a part that was not reached.
struct TimelineParts
{
  Duration stageWaiting{ 0 };
  Duration stageComputing{ 0 };
  /// From when the request needed an endpoint to the last attempt, with earlier attempts.
  Duration choosing{ 0 };
  /// From the last attempt to its first byte.
  Duration firstByte{ 0 };
  Duration longestPause{ 0 };
};

void
OnStageStarted(RequestTimeline& aTimeline, unsigned aStage, MonotonicTime aNow);

void
OnStageEnded(RequestTimeline& aTimeline, unsigned aStage, Duration aComputing, std::string aOwner, MonotonicTime aNow);

/// Records that the request needs an endpoint; later calls change nothing.
void
OnReady(RequestTimeline& aTimeline, MonotonicTime aNow);

void
OnAttemptSent(RequestTimeline& aTimeline, MonotonicTime aNow);

void
OnResponseBytes(RequestTimeline& aTimeline, MonotonicTime aNow);

/// Stages that ran at the same time count in full.
TimelineParts
PartsOf(RequestTimeline const& aTimeline);

/// Returns the parts as fields of a log line; lists have an item for each stage that was started.
std::string
ToLogFields(RequestTimeline const& aTimeline);

}
