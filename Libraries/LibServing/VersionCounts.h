#pragma once

#include <LibCore/LibCore.h>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace Hornbeam::Gateway {

/// The part of a service's requests within which two software versions are compared. Trouble of a data centre or of a
/// route affects both versions there alike. Requests that were sent under different shares are not compared: a burst of
/// failures that strikes both versions while the share is higher would make the target look worse.
struct Stratum
{
  std::string route;
  std::string dataCenter;
  /// The share of the target when the request was sent, in thousandths.
  unsigned shareThousandths{ 0 };

  bool operator<(Stratum const& aOther) const
  {
    return std::tie(this->route, this->dataCenter, this->shareThousandths) <
           std::tie(aOther.route, aOther.dataCenter, aOther.shareThousandths);
  }
};

/// Buckets of half an octave from 1 ms; the last one is open.
inline constexpr std::size_t kTimeBuckets = 40;

/// Returns the bucket of a time to the first byte.
std::size_t
TimeBucketOf(Duration aTime);

/// Counts of the responses of one software version.
struct VersionCounts
{
  /// Responses, failed ones included.
  std::uint64_t responses{ 0 };
  std::uint64_t failures{ 0 };
  /// Responses that did not fail at their beginning, by time to the first byte.
  std::array<std::uint64_t, kTimeBuckets> times{};

  bool operator==(VersionCounts const&) const = default;
};

struct StratumCounts
{
  VersionCounts target;
  VersionCounts other;

  bool operator==(StratumCounts const&) const = default;
};

using CountsByStratum = std::map<Stratum, StratumCounts>;

/// Bounds what a front counts and what an owner accepts from one report.
inline constexpr std::size_t kMaxStrata = 128;
inline constexpr std::size_t kMaxCountedEndpoints = 8;

enum class ResponseOutcome
{
  Succeeded,
  Failed,
};

void
AddResponse(VersionCounts& aCounts, ResponseOutcome aOutcome, Duration aTimeToFirstByte);

/// Records that a response that was counted as begun failed before its end.
void
AddLateFailure(VersionCounts& aCounts);

/// Returns whether no count of aLater is below that of aEarlier.
bool
IsAtLeast(CountsByStratum const& aLater, CountsByStratum const& aEarlier);

/// Adds the difference of two cumulative counts, of which aLater is at least aEarlier.
void
AddDifference(CountsByStratum& aSums, CountsByStratum const& aLater, CountsByStratum const& aEarlier);

/// Returns the number of responses that failed, or were slower than four times the median of aReference.
std::uint64_t
BadResponses(VersionCounts const& aCounts, VersionCounts const& aReference);

/// How much worse than the other version the target did.
struct VersionDifference
{
  std::uint64_t targetResponses{ 0 };
  std::uint64_t targetBad{ 0 };
  std::uint64_t otherResponses{ 0 };
  std::uint64_t otherBad{ 0 };
  /// Bad responses of the target beyond those that are expected if both versions are alike, and the variance of their
  /// number; summed over the strata that both versions served.
  double excess{ 0 };
  double variance{ 0 };
};

VersionDifference&
operator+=(VersionDifference& aSum, VersionDifference const& aPart);

/// Returns the counts with all shares of at least aMinThousandths summed up.
CountsByStratum
SumOverShares(CountsByStratum const& aCounts, unsigned aMinThousandths);

/// Compares the versions within each stratum.
VersionDifference
CompareVersions(CountsByStratum const& aTarget, CountsByStratum const& aOther);

}
