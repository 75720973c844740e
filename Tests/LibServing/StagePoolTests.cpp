#include <LibServing/LibServing.h>
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

static MonotonicTime const kStart{ 1h };

static StageLimits
Limits()
{
  return { 1, 8, 200ms, 20ms, 18'000'000, 4s };
}

static EndpointEntry
MakeEntry(std::string aId, std::string aDataCenter)
{
  EndpointEntry entry;
  entry.id = aId;
  entry.service = "encode";
  entry.address = "10.0.0.1:" + std::to_string(8000 + aId.back());
  entry.dataCenter = std::move(aDataCenter);
  return entry;
}

static StageJob
MakeJob(std::string aRequest, unsigned aItems, int aPriority = 0)
{
  StageJob job;
  job.requestId = std::move(aRequest);
  job.items = aItems;
  job.priority = aPriority;
  job.target = kStart + 2s;
  job.deadline = kStart + 6s;
  job.itemBytes = 1'000'000;
  job.crossDataCenterBytes = 3'000'000;
  job.dataCenter = "a";
  job.key = "k";
  return job;
}

static std::vector<ItemResult>
AllCompleted(StageCall const& aCall)
{
  std::vector<ItemResult> results;
  for (auto const& item : aCall.items)
    results.push_back(
      { ItemEnd::Completed, aCall.address + "/" + std::to_string(item.job) + "-" + std::to_string(item.segment) });
  return results;
}

static StagePool
MakePool(std::vector<EndpointEntry> const& aEntries)
{
  StagePool pool;
  UpdatePool(pool, Limits(), aEntries, kStart);
  return pool;
}

TEST(StagePool, CompletesAllItemsOfAJob)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  auto const submitted = SubmitJob(pool, MakeJob("r1", 3), kStart);
  ASSERT_EQ(submitted.decisions.calls.size(), 1U);
  auto const& call = submitted.decisions.calls[0];
  EXPECT_EQ(call.items.size(), 3U);
  auto const ended = OnCallEnd(pool, call.id, StageCallEnd::Responded, AllCompleted(call), kStart + 260ms);
  ASSERT_EQ(ended.results.size(), 1U);
  EXPECT_EQ(ended.results[0].end, StageEnd::Completed);
  EXPECT_EQ(ended.results[0].handles.size(), 3U);
  EXPECT_TRUE(pool.jobs.empty());
}

TEST(StagePool, FormsTheNextBatchWhileACallRuns)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  auto const first = SubmitJob(pool, MakeJob("r1", 1), kStart);
  ASSERT_EQ(first.decisions.calls.size(), 1U);
  for (int index = 0; index < 10; ++index)
    EXPECT_TRUE(SubmitJob(pool, MakeJob("q" + std::to_string(index), 1), kStart + 10ms).decisions.calls.empty());
  auto const& call = first.decisions.calls[0];
  auto const ended = OnCallEnd(pool, call.id, StageCallEnd::Responded, AllCompleted(call), kStart + 220ms);
  ASSERT_EQ(ended.calls.size(), 1U);
  EXPECT_EQ(ended.calls[0].items.size(), 8U);
}

TEST(StagePool, ReservesMemoryBeforeACallAndWaitsForReleases)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  auto job = MakeJob("r1", 4);
  job.itemBytes = 6'000'000;
  auto const submitted = SubmitJob(pool, job, kStart);
  ASSERT_EQ(submitted.decisions.calls.size(), 1U);
  auto const& call = submitted.decisions.calls[0];
  EXPECT_EQ(call.items.size(), 3U);
  auto const results = AllCompleted(call);
  auto const ended = OnCallEnd(pool, call.id, StageCallEnd::Responded, results, kStart + 260ms);
  EXPECT_TRUE(ended.calls.empty());
  auto const released = ReleaseResults({ results[0].handle });
  EXPECT_EQ(released.releases.size(), 1U);
  // The endpoint's memory stays reserved until it acknowledges the release.
  EXPECT_TRUE(Schedule(pool, kStart + 300ms).calls.empty());
  auto const afterRelease = OnResultsReleased(pool, { results[0].handle }, kStart + 310ms);
  ASSERT_EQ(afterRelease.calls.size(), 1U);
  EXPECT_EQ(afterRelease.calls[0].items.size(), 1U);
}

TEST(StagePool, ServesUrgentJobsThatCanBeOnTimeFirst)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  auto const first = SubmitJob(pool, MakeJob("running", 1), kStart);
  auto late = MakeJob("late", 8, 0);
  late.target = kStart + 100ms;
  SubmitJob(pool, late, kStart);
  SubmitJob(pool, MakeJob("less-urgent", 8, 2), kStart);
  SubmitJob(pool, MakeJob("urgent", 8, 0), kStart);
  auto const& call = first.decisions.calls[0];
  auto ended = OnCallEnd(pool, call.id, StageCallEnd::Responded, AllCompleted(call), kStart + 220ms);
  ASSERT_EQ(ended.calls.size(), 1U);
  EXPECT_EQ(pool.jobs.at(ended.calls[0].items[0].job).job.requestId, "urgent");
  ended = OnCallEnd(pool, ended.calls[0].id, StageCallEnd::Responded, AllCompleted(ended.calls[0]), kStart + 600ms);
  ASSERT_EQ(ended.calls.size(), 1U);
  EXPECT_EQ(pool.jobs.at(ended.calls[0].items[0].job).job.requestId, "less-urgent");
}

TEST(StagePool, RefusesAtOnceWhatCannotMeetItsDeadline)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  SubmitJob(pool, MakeJob("running", 1), kStart);
  auto job = MakeJob("hopeless", 1);
  job.deadline = kStart + 150ms;
  auto const submitted = SubmitJob(pool, job, kStart);
  ASSERT_EQ(submitted.decisions.results.size(), 1U);
  EXPECT_EQ(submitted.decisions.results[0].end, StageEnd::Late);
}

TEST(StagePool, RefusesAtOnceUnderOverloadWithARetryTime)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  unsigned refused = 0;
  // Eight times the capacity of one endpoint, which completes 8 items in 360 ms.
  for (int index = 0; index < 60; ++index) {
    auto job = MakeJob("r" + std::to_string(index), 3);
    job.itemBytes = 1000;
    auto const submitted = SubmitJob(pool, job, kStart);
    for (auto const& result : submitted.decisions.results) {
      EXPECT_EQ(result.end, StageEnd::Late);
      EXPECT_GE(result.retryAfter, 5s);
      ++refused;
    }
  }
  // 133 items are 6 s of work.
  EXPECT_GE(refused, 60U - 46U);
  EXPECT_LE(refused, 60U - 38U);
  EXPECT_EQ(pool.jobs.size(), 60U - refused);
}

TEST(StagePool, ReleasesLateResultsOfACancelledJob)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  auto const submitted = SubmitJob(pool, MakeJob("r1", 2), kStart);
  EXPECT_TRUE(CancelJob(pool, submitted.job, kStart + 10ms).results.empty());
  auto const& call = submitted.decisions.calls[0];
  auto const ended = OnCallEnd(pool, call.id, StageCallEnd::Responded, AllCompleted(call), kStart + 240ms);
  EXPECT_TRUE(ended.results.empty());
  ASSERT_EQ(ended.releases.size(), 1U);
  EXPECT_EQ(ended.releases.begin()->second.size(), 2U);
  EXPECT_TRUE(pool.jobs.empty());
  OnResultsReleased(pool, ended.releases.begin()->second, kStart + 250ms);
  EXPECT_EQ(pool.endpoints.at("e1").reservedBytes, 0U);
}

TEST(StagePool, SendsItemsOfAFailedCallToAnotherEndpoint)
{
  auto pool = MakePool({ MakeEntry("e1", "a"), MakeEntry("e2", "a") });
  auto const submitted = SubmitJob(pool, MakeJob("r1", 2), kStart);
  ASSERT_EQ(submitted.decisions.calls.size(), 1U);
  auto const ended = OnCallEnd(pool, submitted.decisions.calls[0].id, StageCallEnd::Failed, {}, kStart + 100ms);
  ASSERT_EQ(ended.calls.size(), 1U);
  EXPECT_NE(ended.calls[0].endpoint, submitted.decisions.calls[0].endpoint);
  EXPECT_EQ(ended.calls[0].items.size(), 2U);
}

// Guards against overcommitting an endpoint's memory: it keeps working after its connection is reset, and its results
// are never reported.
TEST(StagePool, KeepsTheMemoryOfAFailedCallReserved)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  auto const submitted = SubmitJob(pool, MakeJob("r1", 8), kStart);
  OnCallEnd(pool, submitted.decisions.calls.at(0).id, StageCallEnd::Failed, {}, kStart + 100ms);
  EXPECT_EQ(pool.endpoints.at("e1").reservedBytes, 8'000'000U);
  Schedule(pool, kStart + 100ms + Limits().resultLifetime + 1s);
  EXPECT_EQ(pool.endpoints.at("e1").reservedBytes, 8'000'000U);
  auto restarted = MakeEntry("e1", "a");
  restarted.incarnation = 2;
  UpdatePool(pool, Limits(), { restarted }, kStart + 200ms);
  EXPECT_TRUE(pool.held.empty());
}

TEST(StagePool, ReturnsNoMoreMemoryThanARestartedEndpointReserved)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  auto const before = SubmitJob(pool, MakeJob("r1", 4), kStart);
  auto restarted = MakeEntry("e1", "a");
  restarted.incarnation = 2;
  UpdatePool(pool, Limits(), { restarted }, kStart + 100ms);
  OnCallEnd(pool, before.decisions.calls.at(0).id, StageCallEnd::Failed, {}, kStart + 110ms);
  auto const retried = Schedule(pool, kStart + 700ms);
  ASSERT_EQ(retried.calls.size(), 1U);
  OnCallEnd(pool, retried.calls[0].id, StageCallEnd::Responded, AllCompleted(retried.calls[0]), kStart + 1s);
  // The results of the failed call, if any, expire; those of the new process are still held.
  Schedule(pool, kStart + 4500ms);
  EXPECT_EQ(pool.endpoints.at("e1").reservedBytes, 4'000'000U);
}

// Guards against taking an endpoint for a fast one because it has no memory: a new owner does not know of the results
// that fill its endpoints' memory.
TEST(StagePool, IgnoresTheSpeedOfACallWithoutMemory)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  auto const submitted = SubmitJob(pool, MakeJob("r1", 4), kStart);
  std::vector<ItemResult> const noMemory(4, ItemResult{ ItemEnd::NoMemory, "" });
  auto const ended =
    OnCallEnd(pool, submitted.decisions.calls.at(0).id, StageCallEnd::Responded, noMemory, kStart + 2ms);
  EXPECT_DOUBLE_EQ(pool.endpoints.at("e1").slowness, 1);
  EXPECT_TRUE(ended.calls.empty());
  EXPECT_TRUE(Schedule(pool, kStart + 100ms).calls.empty());
  EXPECT_EQ(Schedule(pool, kStart + 200ms).calls.size(), 1U);
}

TEST(StagePool, WaitsForItsDataCentreBeforeAnotherTakesTheItems)
{
  auto pool = MakePool({ MakeEntry("e1", "a"), MakeEntry("e2", "b") });
  auto const first = SubmitJob(pool, MakeJob("r1", 1), kStart);
  ASSERT_EQ(first.decisions.calls.size(), 1U);
  EXPECT_EQ(first.decisions.calls[0].endpoint, "e1");
  EXPECT_TRUE(SubmitJob(pool, MakeJob("r2", 1), kStart).decisions.calls.empty());
  auto const later = Schedule(pool, kStart + 160ms);
  ASSERT_EQ(later.calls.size(), 1U);
  EXPECT_EQ(later.calls[0].endpoint, "e2");
}

TEST(StagePool, SendsSmallItemsToAnotherDataCentreAtOnce)
{
  auto pool = MakePool({ MakeEntry("e1", "a"), MakeEntry("e2", "b") });
  SubmitJob(pool, MakeJob("r1", 1), kStart);
  auto small = MakeJob("r2", 1);
  small.itemBytes = 6000;
  small.crossDataCenterBytes = 6000;
  auto const submitted = SubmitJob(pool, small, kStart + 1ms);
  auto const later = submitted.decisions.calls.empty() ? Schedule(pool, kStart + 3ms) : submitted.decisions;
  ASSERT_EQ(later.calls.size(), 1U);
  EXPECT_EQ(later.calls[0].endpoint, "e2");
}

TEST(StagePool, EndsAJobWhoseInputsAreGone)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  auto const submitted = SubmitJob(pool, MakeJob("r1", 2), kStart);
  auto results = AllCompleted(submitted.decisions.calls[0]);
  results[0] = { ItemEnd::InputGone, "" };
  auto const ended = OnCallEnd(pool, submitted.decisions.calls[0].id, StageCallEnd::Responded, results, kStart + 240ms);
  ASSERT_EQ(ended.results.size(), 1U);
  EXPECT_EQ(ended.results[0].end, StageEnd::InputsGone);
  EXPECT_EQ(ended.releases.size(), 1U);
  EXPECT_TRUE(pool.jobs.empty());
}

TEST(StagePool, HandsOffWaitingJobs)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  SubmitJob(pool, MakeJob("running", 1), kStart);
  auto const waiting = SubmitJob(pool, MakeJob("waiting", 1), kStart);
  auto const handedOff = HandOffJobs(pool, kStart + 7s, kStart);
  ASSERT_EQ(handedOff.results.size(), 1U);
  EXPECT_EQ(handedOff.results[0].job, waiting.job);
  EXPECT_EQ(handedOff.results[0].end, StageEnd::HandedOff);
}

// A job whose calls end only after its owner has stopped: kept until then, it would be computed again too late.
TEST(StagePool, HandsOffAJobWhoseCallEndsAfterItsOwnerStops)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  auto const submitted = SubmitJob(pool, MakeJob("running", 8), kStart);
  auto const& call = submitted.decisions.calls.at(0);
  // The call takes 360 ms.
  auto const stop = kStart + 460ms;
  auto const handedOff = HandOffJobs(pool, stop, kStart);
  ASSERT_EQ(handedOff.results.size(), 1U);
  EXPECT_EQ(handedOff.results[0].end, StageEnd::HandedOff);
  // Its results are released when they arrive.
  auto const ended = OnCallEnd(pool, call.id, StageCallEnd::Responded, AllCompleted(call), kStart + 400ms);
  EXPECT_TRUE(ended.results.empty());
  EXPECT_EQ(ended.releases.at(call.address).size(), 8U);
}

// A job some of whose items wait while others are computed: its owner starts calls for them only as long as they end
// before it stops.
TEST(StagePool, HandsOffAJobWhoseWaitingItemsCannotBeCompletedBeforeItsOwnerStops)
{
  for (auto const stop : { kStart + 700ms, kStart + 7s }) {
    auto pool = MakePool({ MakeEntry("e1", "a") });
    // Two calls of 360 ms.
    auto const submitted = SubmitJob(pool, MakeJob("half", 16), kStart);
    auto const& call = submitted.decisions.calls.at(0);
    auto const handedOff = HandOffJobs(pool, stop, kStart);
    auto const ended = OnCallEnd(pool, call.id, StageCallEnd::Responded, AllCompleted(call), kStart + 360ms);
    bool const fits = stop == kStart + 7s;
    EXPECT_EQ(handedOff.results.size(), fits ? 0U : 1U);
    EXPECT_EQ(ended.calls.size(), fits ? 1U : 0U);
  }
}

// A call that takes much longer than expected.
TEST(StagePool, HandsOffAJobWhoseCallIsOverdueWhenItsOwnerStops)
{
  auto pool = MakePool({ MakeEntry("e1", "a") });
  SubmitJob(pool, MakeJob("slow", 8), kStart);
  auto const stop = kStart + 1s;
  EXPECT_TRUE(HandOffJobs(pool, stop, kStart + 700ms).results.empty());
  EXPECT_EQ(HandOffJobs(pool, stop, kStart + 900ms).results.size(), 1U);
}

}
