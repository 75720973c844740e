#include "RequestTimeline.h"
#include <algorithm>
#include <sstream>

namespace Hornbeam::Gateway {

void
OnStageStarted(RequestTimeline& aTimeline, unsigned aStage, MonotonicTime aNow)
{
  aTimeline.stages[aStage] = { aNow, Duration::zero(), Duration::zero(), {} };
}

void
OnStageEnded(RequestTimeline& aTimeline, unsigned aStage, Duration aComputing, std::string aOwner, MonotonicTime aNow)
{
  auto& stage = aTimeline.stages[aStage];
  auto const total = std::max<Duration>(Duration::zero(), aNow - stage.started);
  stage.computing = std::min(aComputing, total);
  stage.waiting = total - stage.computing;
  stage.owner = std::move(aOwner);
}

void
OnReady(RequestTimeline& aTimeline, MonotonicTime aNow)
{
  if (aTimeline.ready == MonotonicTime())
    aTimeline.ready = aNow;
}

void
OnAttemptSent(RequestTimeline& aTimeline, MonotonicTime aNow)
{
  aTimeline.sent = aNow;
  aTimeline.firstByte = {};
  aTimeline.lastByte = {};
}

void
OnResponseBytes(RequestTimeline& aTimeline, MonotonicTime aNow)
{
  if (aTimeline.firstByte == MonotonicTime())
    aTimeline.firstByte = aNow;
  else
    aTimeline.longestPause = std::max<Duration>(aTimeline.longestPause, aNow - aTimeline.lastByte);
  aTimeline.lastByte = aNow;
}

TimelineParts
PartsOf(RequestTimeline const& aTimeline)
{
  TimelineParts parts;
  for (auto const& [index, stage] : aTimeline.stages) {
    parts.stageWaiting += stage.waiting;
    parts.stageComputing += stage.computing;
  }
  if (aTimeline.sent != MonotonicTime())
    parts.choosing = aTimeline.sent - aTimeline.ready;
  if (aTimeline.firstByte != MonotonicTime())
    parts.firstByte = aTimeline.firstByte - aTimeline.sent;
  parts.longestPause = aTimeline.longestPause;
  return parts;
}

std::string
ToLogFields(RequestTimeline const& aTimeline)
{
  std::ostringstream waiting;
  std::ostringstream computing;
  std::ostringstream owners;
  char const* separator = "";
  for (auto const& [index, stage] : aTimeline.stages) {
    waiting << separator << Milliseconds(stage.waiting);
    computing << separator << Milliseconds(stage.computing);
    owners << separator << (stage.owner.empty() ? "none" : stage.owner);
    separator = ",";
  }
  auto const parts = PartsOf(aTimeline);
  std::ostringstream fields;
  if (!aTimeline.stages.empty())
    fields << "stage_wait_ms=" << waiting.str() << " stage_compute_ms=" << computing.str()
           << " stage_owners=" << owners.str() << ' ';
  fields << "choose_ms=" << Milliseconds(parts.choosing) << " first_byte_ms=" << Milliseconds(parts.firstByte)
         << " longest_pause_ms=" << Milliseconds(parts.longestPause);
  return fields.str();
}

}
