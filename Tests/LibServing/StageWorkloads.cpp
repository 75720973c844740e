#include "StageWorkloads.h"
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Hornbeam::Gateway {

static constexpr Duration kRunTime = 20s;
static constexpr Duration kBurstBegin = 5s;

std::string_view
ToString(Burst aBurst)
{
  switch (aBurst) {
    case Burst::None:
      return "none";
    case Burst::KindA:
      return "A x 2.4";
    case Burst::KindB:
      return "B x 2.4";
    case Burst::KindC:
      return "C x 2.4";
    case Burst::Everything:
      return "all x 1.7";
    case Burst::SlowEndpoints:
      return "slow P2";
    case Burst::MissingEndpoints:
      return "gone P1";
    case Burst::NewOwners:
      return "new owners";
  }
  VerifyNotReached();
}

std::vector<Burst> const&
AllBursts()
{
  static std::vector<Burst> const all{ Burst::None,
                                       Burst::KindA,
                                       Burst::KindB,
                                       Burst::KindC,
                                       Burst::Everything,
                                       Burst::SlowEndpoints,
                                       Burst::MissingEndpoints,
                                       Burst::NewOwners };
  return all;
}

/// A number of at least 1 and at most 10, with about the given mean.
static unsigned
DrawItems(std::mt19937& aRandom, double aMean)
{
  std::geometric_distribution<unsigned> more(1 / aMean);
  return std::min(10U, 1 + more(aRandom));
}

static bool
Happens(std::mt19937& aRandom, double aProbability)
{
  return std::bernoulli_distribution(aProbability)(aRandom);
}

static LoadKind
KindA()
{
  LoadKind kind;
  kind.name = "A";
  kind.stages = { { "P1", {}, 1'500'000 } };
  kind.drawItems = [](std::mt19937& aRandom) {
    return std::vector<unsigned>{ Happens(aRandom, 0.7) ? DrawItems(aRandom, 2.5) : 0 };
  };
  return kind;
}

static LoadKind
KindB()
{
  LoadKind kind;
  kind.name = "B";
  kind.stages = { { "P1", {}, 8'000 }, { "P2", { 0 }, 60'000 }, { "P3", { 1 }, 6'000 } };
  kind.items = { 1, 6, 10 };
  kind.itemCosts = { 0.3, 1, 1 };
  return kind;
}

static LoadKind
KindC()
{
  auto kind = KindB();
  kind.name = "C";
  kind.stages.push_back({ "P1", {}, 1'500'000 });
  kind.itemCosts.push_back(1);
  kind.drawItems = [](std::mt19937& aRandom) {
    return std::vector<unsigned>{ 1, 6, 10, Happens(aRandom, 0.4) ? DrawItems(aRandom, 1.5) : 0 };
  };
  return kind;
}

static void
Set(LoadKind& aKind, double aRate, int aPriority, Duration aTarget, Duration aDeadline, double aOnTime, double aLate)
{
  aKind.perSecond = aRate;
  aKind.priority = aPriority;
  aKind.target = aTarget;
  aKind.deadline = aDeadline;
  aKind.onTimeWorth = aOnTime;
  aKind.lateWorth = aLate;
}

static std::vector<LoadKind>
KindsOf(Workload aWorkload)
{
  auto a = KindA();
  auto b = KindB();
  auto c = KindC();
  if (aWorkload == Workload::T) {
    Set(a, 82.8, 1, 1s, 5s, 2.9, 0.43);
    Set(b, 51.5, 0, 1800ms, 6s, 1.8, 0.27);
    Set(c, 38.9, 2, 1800ms, 15s, 0.74, 0.11);
  } else {
    Set(a, 108, 0, 1s, 6s, 5.5, 0.33);
    Set(b, 213, 2, 4s, 6s, 0.83, 0.18);
    Set(c, 41, 1, 2s, 20s, 0.96, 0.15);
  }
  return { a, b, c };
}

static void
AddPools(StageLoad& aLoad, Workload aWorkload)
{
  if (aWorkload == Workload::T) {
    aLoad.AddService("P1", { 1, 10, 200ms, 17ms, 23'000'000, 4s }, 20);
    aLoad.AddService("P2", { 1, 30, 200ms, 5700us, 3'900'000, 4s }, 15);
    aLoad.AddService("P3", { 1, 42, 200ms, 4100us, 550'000, 4s }, 18);
  } else {
    aLoad.AddService("P1", { 1, 20, 200ms, 8600us, 45'000'000, 4s }, 17);
    aLoad.AddService("P2", { 1, 66, 200ms, 2600us, 8'700'000, 4s }, 15);
    aLoad.AddService("P3", { 1, 92, 200ms, 1900us, 1'200'000, 4s }, 18);
  }
}

static void
AddBurst(std::vector<LoadKind>& aKinds, Burst aBurst)
{
  auto const burst = [](LoadKind& aKind, double aFactor, Duration aTime) {
    aKind.burst = aFactor;
    aKind.burstBegin = kBurstBegin;
    aKind.burstEnd = kBurstBegin + aTime;
  };
  if (aBurst == Burst::None)
    return;
  if (aBurst == Burst::KindA || aBurst == Burst::MissingEndpoints)
    burst(aKinds[0], 2.4, 6s);
  else if (aBurst == Burst::KindB)
    burst(aKinds[1], 2.4, 6s);
  else if (aBurst == Burst::KindC)
    burst(aKinds[2], 2.4, 6s);
  else
    for (auto& kind : aKinds)
      burst(kind, 1.7, 4s);
}

static void
AddFaults(StageLoad& aLoad, Burst aBurst)
{
  if (aBurst == Burst::SlowEndpoints)
    for (unsigned endpoint = 0; endpoint < 5; ++endpoint)
      aLoad.SlowDown("P2", endpoint, 5, kBurstBegin + 5s, kBurstBegin);
  if (aBurst == Burst::MissingEndpoints)
    for (unsigned endpoint = 0; endpoint < 6; ++endpoint)
      aLoad.TakeAway("P1", endpoint, kBurstBegin + 1s, kBurstBegin + 5s);
  if (aBurst == Burst::NewOwners)
    aLoad.ReplaceOwners(kBurstBegin + 2s);
}

WorkloadResult
RunWorkload(Workload aWorkload, Burst aBurst, double aScale, unsigned aSeed)
{
  StageLoad load(aSeed);
  AddPools(load, aWorkload);
  auto kinds = KindsOf(aWorkload);
  for (auto& kind : kinds)
    kind.perSecond *= aScale;
  AddBurst(kinds, aBurst);
  AddFaults(load, aBurst);
  auto counts = load.Run(kinds, kRunTime);
  return { std::move(counts), load.items };
}

void
Add(WorkloadResult& aTo, WorkloadResult const& aFrom)
{
  for (auto const& [name, from] : aFrom.counts) {
    auto& to = aTo.counts[name];
    to.requests += from.requests;
    to.onTime += from.onTime;
    to.late += from.late;
    to.refused += from.refused;
    to.refusals += from.refusals;
    to.refusedAfter += from.refusedAfter;
    to.heldRefusals += from.heldRefusals;
    to.worthOffered += from.worthOffered;
    to.worthEarned += from.worthEarned;
  }
  aTo.items.made += aFrom.items.made;
  aTo.items.inVain += aFrom.items.inVain;
  aTo.items.noMemory += aFrom.items.noMemory;
}

double
WorthShare(WorkloadResult const& aResult)
{
  double offered = 0;
  double earned = 0;
  for (auto const& [name, counts] : aResult.counts) {
    offered += counts.worthOffered;
    earned += counts.worthEarned;
  }
  return earned / offered;
}

std::string
Report(WorkloadResult const& aResult)
{
  std::ostringstream out;
  out << std::fixed << std::setprecision(3) << "worth " << WorthShare(aResult);
  for (auto const& [name, counts] : aResult.counts) {
    double const all = counts.requests;
    double const held = Seconds(counts.refusedAfter) / std::max(1U, counts.refusals);
    out << " | " << name << " served " << (counts.onTime + counts.late) / all << " on time " << counts.onTime / all
        << " refused " << counts.refused / all << " held " << counts.heldRefusals << "/" << counts.refusals << " "
        << held << " s";
  }
  out << " | in vain " << aResult.items.inVain << "/" << aResult.items.made << " no room " << aResult.items.noMemory;
  return out.str();
}

}
