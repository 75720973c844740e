#include "StageLoad.h"
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

/// Three services like those of a large deployment: each bears about 360 requests a second of the chain below.
static void
AddChainServices(StageLoad& aLoad)
{
  aLoad.AddService("encode", { 1, 16, 200ms, 4ms, 36'000'000, 4s }, 17);
  aLoad.AddService("retrieve", { 1, 54, 200ms, 3200us, 7'200'000, 4s }, 15);
  aLoad.AddService("rank", { 1, 76, 200ms, 2300us, 1'000'000, 4s }, 18);
}

static LoadKind
Chain(std::string aName, int aRank, double aPerSecond)
{
  LoadKind kind;
  kind.name = std::move(aName);
  kind.rank = aRank;
  kind.perSecond = aPerSecond;
  kind.stages = { { "encode", {}, 8'000 }, { "retrieve", { 0 }, 60'000 }, { "rank", { 1 }, 6'000 } };
  kind.pieces = { 1, 6, 10 };
  return kind;
}

/// Requests of the chain above that its narrowest service makes in a second with full batches, all memory in use.
static constexpr double kCapacity = 330;

static LoadCounts
PlayChain(double aPartOfCapacity)
{
  StageLoad load(7);
  AddChainServices(load);
  return load.Play({ Chain("digest", 0, kCapacity * aPartOfCapacity) }, 8s)["digest"];
}

static double
OnTime(LoadCounts const& aCounts)
{
  return double(aCounts.onTime) / aCounts.asked;
}

TEST(StageLoad, ServesAllOnTimeBelowCapacity)
{
  for (double part : { 0.5, 0.7, 0.9 })
    EXPECT_GE(OnTime(PlayChain(part)), 0.99) << part;
}

// Pattern: more arrives for some seconds than a chain of stages bears. Served by due time, nearly all would be late by
// a little (a tenth was on time at 1.5 of capacity); newest first, most of what can be served is on time.
TEST(StageLoad, ServesOnTimeWhatItCanUnderOverload)
{
  for (double part : { 1.2, 1.5, 2.0 }) {
    auto const counts = PlayChain(part);
    EXPECT_GE(OnTime(counts) * part, 0.8) << part;
    // A refusal that comes after the answer was due helps nobody.
    EXPECT_LT(counts.refusedAfter, 2s * std::int64_t(counts.refusals)) << part;
  }
}

// Pattern: a part of the endpoints works five times slower. What they are given must still be on time.
TEST(StageLoad, ServesOnTimeBesideSlowEndpoints)
{
  StageLoad load(7);
  AddChainServices(load);
  for (unsigned endpoint = 0; endpoint < 3; ++endpoint)
    for (auto const* service : { "encode", "retrieve", "rank" })
      load.Slow(service, endpoint, 5, 20s);
  // Twelve of fifteen endpoints are well: 0.8 of the capacity.
  EXPECT_GE(OnTime(load.Play({ Chain("digest", 0, kCapacity * 0.7) }, 15s)["digest"]), 0.97);
}

TEST(StageLoad, GivesSlowEndpointsNothingThatWouldBeLate)
{
  for (double part : { 1.2, 1.5 }) {
    StageLoad load(7);
    AddChainServices(load);
    for (unsigned endpoint = 0; endpoint < 3; ++endpoint)
      for (auto const* service : { "encode", "retrieve", "rank" })
        load.Slow(service, endpoint, 5, 20s);
    double const capacity = 0.8 * kCapacity;
    EXPECT_GE(OnTime(load.Play({ Chain("digest", 0, capacity * part) }, 8s)["digest"]) * part, 0.8) << part;
  }
}

TEST(StageLoad, TakesEndpointsBackThatAreNoLongerSlow)
{
  StageLoad load(7);
  AddChainServices(load);
  for (unsigned endpoint = 0; endpoint < 6; ++endpoint)
    load.Slow("retrieve", endpoint, 5, 4s);
  auto late = Chain("digest", 0, kCapacity * 0.5);
  late.burst = 1.8;
  late.burstBegin = 8s;
  late.burstEnd = 16s;
  // Nine of fifteen bear the load before; the burst needs nearly all.
  EXPECT_GE(OnTime(load.Play({ late }, 16s)["digest"]), 0.97);
}

// Pattern: a burst of urgent requests over a steady load of patient, less urgent ones. These wait and are served.
TEST(StageLoad, KeepsPatientRequestsThroughABurst)
{
  StageLoad load(7);
  AddChainServices(load);
  auto digest = Chain("digest", 0, 133);
  digest.burst = 3.5;
  digest.burstBegin = 5s;
  digest.burstEnd = 11s;
  auto chat = Chain("chat", 2, 54);
  chat.deadline = 20s;
  auto counts = load.Play({ digest, chat }, 20s);
  EXPECT_GE(OnTime(counts["digest"]), 0.75);
  EXPECT_LE(double(counts["chat"].refused) / counts["chat"].asked, 0.02);
}

}
