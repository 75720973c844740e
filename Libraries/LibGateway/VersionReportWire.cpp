#include "VersionReportWire.h"
#include <algorithm>

namespace Hornbeam::Gateway {

static void
WriteCounts(VersionCounts const& aCounts, Wire::VersionTally::Builder aWire)
{
  aWire.setResponses(aCounts.responses);
  aWire.setFailures(aCounts.failures);
  auto const used = unsigned(std::ranges::count_if(aCounts.times, [](auto aCount) { return aCount != 0; }));
  auto buckets = aWire.initBuckets(used);
  auto counts = aWire.initCounts(used);
  unsigned position = 0;
  for (std::size_t bucket = 0; bucket < kTimeBuckets; ++bucket) {
    if (aCounts.times[bucket] == 0)
      continue;
    buckets.set(position, std::uint8_t(bucket));
    counts.set(position++, aCounts.times[bucket]);
  }
}

static VersionCounts
ReadCounts(Wire::VersionTally::Reader aWire)
{
  VersionCounts result;
  result.responses = aWire.getResponses();
  result.failures = aWire.getFailures();
  auto const buckets = aWire.getBuckets();
  auto const counts = aWire.getCounts();
  for (unsigned position = 0; position < std::min(buckets.size(), counts.size()); ++position)
    if (buckets[position] < kTimeBuckets)
      result.times[buckets[position]] = counts[position];
  return result;
}

void
WriteVersionReport(RemoteVersionReport const& aReport, Wire::VersionReport::Builder aWire)
{
  auto const& report = aReport.report;
  aWire.setFront(aReport.front);
  aWire.setService(aReport.service);
  aWire.setTarget(report.target);
  aWire.setIncarnation(report.incarnation);
  aWire.setAgeUs(report.age.count());
  aWire.setInProgressElsewhere(report.inProgressElsewhere);
  auto strata = aWire.initStrata(unsigned(report.counts.size()));
  unsigned position = 0;
  for (auto const& [stratum, counts] : report.counts) {
    auto wire = strata[position++];
    wire.setRoute(stratum.route);
    wire.setDataCenter(stratum.dataCenter);
    wire.setShareThousandths(std::uint16_t(stratum.shareThousandths));
    WriteCounts(counts.target, wire.initTarget());
    WriteCounts(counts.other, wire.initOther());
  }
  auto endpoints = aWire.initEndpoints(unsigned(report.badByEndpoint.size()));
  position = 0;
  for (auto const& [endpoint, bad] : report.badByEndpoint) {
    endpoints[position].setEndpoint(endpoint);
    endpoints[position++].setBad(bad);
  }
}

RemoteVersionReport
ReadVersionReport(Wire::VersionReport::Reader aWire)
{
  RemoteVersionReport result{ aWire.getFront().cStr(), aWire.getService().cStr(), {} };
  auto& report = result.report;
  report.target = aWire.getTarget().cStr();
  report.incarnation = aWire.getIncarnation();
  report.age = Duration(aWire.getAgeUs());
  report.inProgressElsewhere = aWire.getInProgressElsewhere();
  for (auto const wire : aWire.getStrata()) {
    if (report.counts.size() > kMaxStrata)
      break;
    Stratum stratum{ wire.getRoute().cStr(), wire.getDataCenter().cStr(), wire.getShareThousandths() };
    report.counts[std::move(stratum)] = { ReadCounts(wire.getTarget()), ReadCounts(wire.getOther()) };
  }
  for (auto const wire : aWire.getEndpoints()) {
    if (report.badByEndpoint.size() > kMaxCountedEndpoints)
      break;
    report.badByEndpoint[wire.getEndpoint().cStr()] = wire.getBad();
  }
  return result;
}

}
