#include <LibServing/LibServing.h>
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

static constexpr MonotonicTime kStart{ 100s };

// A line that says only that a request was late does not tell whom to ask: each part must add up.
TEST(RequestTimeline, TellsTheParts)
{
  RequestTimeline timeline;
  OnStageStarted(timeline, 0, kStart);
  OnStageEnded(timeline, 0, 250ms, "front-3", kStart + 400ms);
  OnStageStarted(timeline, 1, kStart + 400ms);
  OnStageEnded(timeline, 1, 300ms, "front-7", kStart + 700ms);
  OnReady(timeline, kStart + 700ms);
  OnAttemptSent(timeline, kStart + 720ms);
  OnResponseBytes(timeline, kStart + 900ms);
  OnResponseBytes(timeline, kStart + 950ms);
  OnResponseBytes(timeline, kStart + 1200ms);
  auto const parts = PartsOf(timeline);
  EXPECT_EQ(parts.stageWaiting, 150ms);
  EXPECT_EQ(parts.stageComputing, 550ms);
  EXPECT_EQ(parts.choosing, 20ms);
  EXPECT_EQ(parts.firstByte, 180ms);
  EXPECT_EQ(parts.longestPause, 250ms);
  EXPECT_EQ(ToLogFields(timeline),
            "stage_wait_ms=150,0 stage_compute_ms=250,300 stage_owners=front-3,front-7 choose_ms=20 first_byte_ms=180 "
            "longest_pause_ms=250");
}

// A refused request ends before it is sent.
TEST(RequestTimeline, LeavesOutPartsThatWereNotReached)
{
  RequestTimeline timeline;
  EXPECT_EQ(ToLogFields(timeline), "choose_ms=0 first_byte_ms=0 longest_pause_ms=0");
  OnStageStarted(timeline, 0, kStart);
  EXPECT_EQ(ToLogFields(timeline),
            "stage_wait_ms=0 stage_compute_ms=0 stage_owners=none choose_ms=0 first_byte_ms=0 longest_pause_ms=0");
}

}
