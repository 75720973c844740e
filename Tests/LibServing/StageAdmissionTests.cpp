#include "StageWorkloads.h"
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

static double
RefusedShare(LoadCounts const& aCounts)
{
  return double(aCounts.refused) / aCounts.requests;
}

// Guards against refusing the most urgent kind for its short deadline in an overload by a less urgent kind, at rates
// that differ by 30%: 2.3% and 4.1% were refused at 1 and 1.3 times the rates of workload T. At 1.3, its own load
// exceeds the memory of the second pool.
TEST(StageAdmission, RefusesFewerOfTheMostUrgentKindWhenAllOwnersAreNew)
{
  for (double const scale : { 0.7, 1.0 }) {
    auto result = RunWorkload(Workload::T, Burst::NewOwners, scale, 1);
    EXPECT_LE(RefusedShare(result.counts["B"]), 0.01) << scale;
  }
  auto result = RunWorkload(Workload::T, Burst::NewOwners, 1.3, 1);
  EXPECT_LE(RefusedShare(result.counts["B"]), 0.039);
}

// Guards against holding small items of an urgent request back because an endpoint had no memory for a large one.
TEST(StageAdmission, SendsSmallItemsToAnEndpointWithoutMemoryForALargeOne)
{
  MonotonicTime const start{ 1h };
  EndpointEntry entry;
  entry.id = entry.address = "e1";
  StagePool pool;
  UpdatePool(pool, { 1, 8, 200ms, 20ms, 18'000'000, 4s }, { entry }, start);
  StageJob job;
  job.items = 1;
  job.itemBytes = 1'500'000;
  job.target = start + 2s;
  job.deadline = start + 6s;
  auto const submitted = SubmitJob(pool, job, start);
  ASSERT_EQ(submitted.decisions.calls.size(), 1U);
  auto const& call = submitted.decisions.calls[0];
  EXPECT_TRUE(
    OnCallEnd(pool, call.id, StageCallEnd::Responded, { { ItemEnd::NoMemory, "" } }, start + 2ms).calls.empty());
  job.itemBytes = 8'000;
  auto const small = SubmitJob(pool, job, start + 3ms);
  ASSERT_EQ(small.decisions.calls.size(), 1U);
  EXPECT_EQ(small.decisions.calls[0].items.at(0).job, small.job);
}

}
