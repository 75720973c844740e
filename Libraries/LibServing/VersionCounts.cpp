#include "VersionCounts.h"
#include <algorithm>
#include <cmath>
#include <numeric>

namespace Hornbeam::Gateway {

/// Four times the median: two octaves.
static constexpr std::size_t kSlowBuckets = 4;

std::size_t
TimeBucketOf(Duration aTime)
{
  double const milliseconds = std::max(1.0, Seconds(aTime) * 1000);
  return std::min(kTimeBuckets - 1, std::size_t(2 * std::log2(milliseconds)));
}

void
AddLateFailure(VersionCounts& aCounts)
{
  ++aCounts.failures;
}

void
AddResponse(VersionCounts& aCounts, ResponseOutcome aOutcome, Duration aTimeToFirstByte)
{
  ++aCounts.responses;
  if (aOutcome == ResponseOutcome::Failed)
    ++aCounts.failures;
  else
    ++aCounts.times[TimeBucketOf(aTimeToFirstByte)];
}

static bool
IsAtLeast(VersionCounts const& aLater, VersionCounts const& aEarlier)
{
  return aLater.responses >= aEarlier.responses && aLater.failures >= aEarlier.failures &&
         std::equal(aLater.times.begin(), aLater.times.end(), aEarlier.times.begin(), std::greater_equal());
}

bool
IsAtLeast(CountsByStratum const& aLater, CountsByStratum const& aEarlier)
{
  return std::ranges::all_of(aEarlier, [&](auto const& aEntry) {
    auto const later = aLater.find(aEntry.first);
    return later != aLater.end() && IsAtLeast(later->second.target, aEntry.second.target) &&
           IsAtLeast(later->second.other, aEntry.second.other);
  });
}

static void
AddDifference(VersionCounts& aSum, VersionCounts const& aLater, VersionCounts const& aEarlier)
{
  aSum.responses += aLater.responses - aEarlier.responses;
  aSum.failures += aLater.failures - aEarlier.failures;
  for (std::size_t bucket = 0; bucket < kTimeBuckets; ++bucket)
    aSum.times[bucket] += aLater.times[bucket] - aEarlier.times[bucket];
}

void
AddDifference(CountsByStratum& aSums, CountsByStratum const& aLater, CountsByStratum const& aEarlier)
{
  static StratumCounts const nothing;
  for (auto const& [stratum, later] : aLater) {
    auto const found = aEarlier.find(stratum);
    auto const& earlier = found == aEarlier.end() ? nothing : found->second;
    if (later == earlier)
      continue;
    auto& sum = aSums[stratum];
    AddDifference(sum.target, later.target, earlier.target);
    AddDifference(sum.other, later.other, earlier.other);
  }
}

/// Returns the bucket of the median; the last one if there are no times, so that nothing counts as slow.
static std::size_t
MedianBucket(VersionCounts const& aCounts)
{
  auto const total = std::accumulate(aCounts.times.begin(), aCounts.times.end(), std::uint64_t(0));
  std::uint64_t seen = 0;
  for (std::size_t bucket = 0; bucket < kTimeBuckets && total > 0; ++bucket) {
    seen += aCounts.times[bucket];
    if (2 * seen >= total)
      return bucket;
  }
  return kTimeBuckets;
}

std::uint64_t
BadResponses(VersionCounts const& aCounts, VersionCounts const& aReference)
{
  auto const firstSlow = std::min(kTimeBuckets, MedianBucket(aReference) + kSlowBuckets);
  auto const bad =
    std::accumulate(aCounts.times.begin() + std::ptrdiff_t(firstSlow), aCounts.times.end(), aCounts.failures);
  // A response that began slowly and then failed is in both.
  return std::min(bad, aCounts.responses);
}

VersionDifference&
operator+=(VersionDifference& aSum, VersionDifference const& aPart)
{
  aSum.targetResponses += aPart.targetResponses;
  aSum.targetBad += aPart.targetBad;
  aSum.otherResponses += aPart.otherResponses;
  aSum.otherBad += aPart.otherBad;
  aSum.excess += aPart.excess;
  aSum.variance += aPart.variance;
  return aSum;
}

CountsByStratum
SumOverShares(CountsByStratum const& aCounts, unsigned aMinThousandths)
{
  CountsByStratum sums;
  for (auto const& [stratum, counts] : aCounts) {
    if (stratum.shareThousandths < aMinThousandths)
      continue;
    auto& sum = sums[{ stratum.route, stratum.dataCenter, 0 }];
    AddDifference(sum.target, counts.target, {});
    AddDifference(sum.other, counts.other, {});
  }
  return sums;
}

VersionDifference
CompareVersions(CountsByStratum const& aTarget, CountsByStratum const& aOther)
{
  VersionDifference result;
  for (auto const& [stratum, counts] : aTarget) {
    auto const found = aOther.find(stratum);
    if (found == aOther.end())
      continue;
    auto const& target = counts.target;
    auto const& other = found->second.other;
    VersionDifference part;
    part.targetResponses = target.responses;
    part.otherResponses = other.responses;
    part.targetBad = BadResponses(target, other);
    part.otherBad = BadResponses(other, other);
    double const total = double(target.responses) + double(other.responses);
    if (target.responses > 0 && other.responses > 0) {
      // Mean and variance of the hypergeometric distribution, as for the Mantel-Haenszel test.
      double const bad = double(part.targetBad) + double(part.otherBad);
      double const share = double(target.responses) / total;
      part.excess = double(part.targetBad) - bad * share;
      part.variance = bad * share * (1 - share) * (total - bad) / std::max(1.0, total - 1);
    }
    result += part;
  }
  return result;
}

}
