#include "StageLoad.h"
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

/// Three services like those of a large deployment. Each has capacity for about 360 requests per second of the chain
/// below.
static void
AddChainServices(StageLoad& aLoad)
{
  aLoad.AddService("encode", { 1, 16, 200ms, 4ms, 36'000'000, 4s }, 17);
  aLoad.AddService("retrieve", { 1, 54, 200ms, 3200us, 7'200'000, 4s }, 15);
  aLoad.AddService("rank", { 1, 76, 200ms, 2300us, 1'000'000, 4s }, 18);
}

static LoadKind
Chain(std::string aName, int aPriority, double aPerSecond)
{
  LoadKind kind;
  kind.name = std::move(aName);
  kind.priority = aPriority;
  kind.perSecond = aPerSecond;
  kind.stages = { { "encode", {}, 8'000 }, { "retrieve", { 0 }, 60'000 }, { "rank", { 1 }, 6'000 } };
  kind.items = { 1, 6, 10 };
  return kind;
}

/// Requests per second of the chain above that its bottleneck service completes with full batches and all memory in
/// use.
static constexpr double kCapacity = 330;

static LoadCounts
RunChain(double aCapacityFraction)
{
  StageLoad load(7);
  AddChainServices(load);
  return load.Run({ Chain("digest", 0, kCapacity * aCapacityFraction) }, 8s)["digest"];
}

static double
OnTimeRatio(LoadCounts const& aCounts)
{
  return double(aCounts.onTime) / aCounts.requests;
}

TEST(StageLoad, ServesAllOnTimeBelowCapacity)
{
  for (double fraction : { 0.5, 0.7, 0.9 })
    EXPECT_GE(OnTimeRatio(RunChain(fraction)), 0.99) << fraction;
}

// Guards against responding late to nearly all requests when the load exceeds the capacity of a chain of stages for
// some seconds. Served by due time, nearly all would be slightly late (a tenth was on time at 1.5 times the capacity);
// newest first, most of the requests that can be served are on time.
TEST(StageLoad, ServesMostRequestsOnTimeUnderOverload)
{
  for (double fraction : { 1.2, 1.5, 2.0 }) {
    auto const counts = RunChain(fraction);
    EXPECT_GE(OnTimeRatio(counts) * fraction, 0.8) << fraction;
    // A refusal after the response was due is of no use to the caller.
    EXPECT_LT(counts.refusedAfter, 2s * std::int64_t(counts.refusals)) << fraction;
  }
}

// Guards against late requests when some of the endpoints are five times slower: items sent to them must still be on
// time.
TEST(StageLoad, ServesOnTimeBesideSlowEndpoints)
{
  StageLoad load(7);
  AddChainServices(load);
  for (unsigned endpoint = 0; endpoint < 3; ++endpoint)
    for (auto const* service : { "encode", "retrieve", "rank" })
      load.SlowDown(service, endpoint, 5, 20s);
  // Twelve of fifteen endpoints run at normal speed: 0.8 of the capacity.
  EXPECT_GE(OnTimeRatio(load.Run({ Chain("digest", 0, kCapacity * 0.7) }, 15s)["digest"]), 0.97);
}

TEST(StageLoad, SendsSlowEndpointsNothingThatWouldBeLate)
{
  for (double fraction : { 1.2, 1.5 }) {
    StageLoad load(7);
    AddChainServices(load);
    for (unsigned endpoint = 0; endpoint < 3; ++endpoint)
      for (auto const* service : { "encode", "retrieve", "rank" })
        load.SlowDown(service, endpoint, 5, 20s);
    double const capacity = 0.8 * kCapacity;
    EXPECT_GE(OnTimeRatio(load.Run({ Chain("digest", 0, capacity * fraction) }, 8s)["digest"]) * fraction, 0.8)
      << fraction;
  }
}

TEST(StageLoad, UsesEndpointsAgainThatAreNoLongerSlow)
{
  StageLoad load(7);
  AddChainServices(load);
  for (unsigned endpoint = 0; endpoint < 6; ++endpoint)
    load.SlowDown("retrieve", endpoint, 5, 4s);
  auto late = Chain("digest", 0, kCapacity * 0.5);
  late.burst = 1.8;
  late.burstBegin = 8s;
  late.burstEnd = 16s;
  // Nine of fifteen endpoints suffice for the load before the burst; the burst needs nearly all of them.
  EXPECT_GE(OnTimeRatio(load.Run({ late }, 16s)["digest"]), 0.97);
}

// Guards against refusing less urgent requests with a long client timeout during a burst of urgent ones: they wait and
// are served.
TEST(StageLoad, ServesLessUrgentRequestsThroughABurst)
{
  StageLoad load(7);
  AddChainServices(load);
  auto digest = Chain("digest", 0, 133);
  digest.burst = 3.5;
  digest.burstBegin = 5s;
  digest.burstEnd = 11s;
  auto chat = Chain("chat", 2, 54);
  chat.deadline = 20s;
  auto counts = load.Run({ digest, chat }, 20s);
  EXPECT_GE(OnTimeRatio(counts["digest"]), 0.75);
  EXPECT_LE(double(counts["chat"].refused) / counts["chat"].requests, 0.02);
}

}
