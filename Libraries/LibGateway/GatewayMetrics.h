#pragma once

#include <LibCore/LibCore.h>
#include <LibServing/RequestTimeline.h>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace Hornbeam::Gateway {

enum class RequestOutcome;

/// Counters and latency histograms of one front.
class GatewayMetrics
{
public:
  GatewayMetrics();
  GatewayMetrics(GatewayMetrics const&) = delete;
  GatewayMetrics& operator=(GatewayMetrics const&) = delete;

  void CountEndedRequest(RequestOutcome aOutcome, unsigned aStatus);
  /// Counts a stream that a caller takes up, by how its origin was found.
  void CountTakeUp(std::string_view aSource);
  void ObserveTimeToFirstByte(Duration aTime);
  void ObserveRequestTime(Duration aTime);

  /// Records where the time of a request went; parts that were not reached are left out.
  void ObserveParts(TimelineParts const& aParts);

  /// Sets a gauge whose value another service tracks.
  void SetGauge(std::string const& aName, double aValue);

  std::string Render() const;

private:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& endedRequests;
  prometheus::Family<prometheus::Counter>& takeUps;
  prometheus::Family<prometheus::Gauge>& gauges;
  prometheus::Family<prometheus::Histogram>& parts;
  prometheus::Histogram& timeToFirstByte;
  prometheus::Histogram& requestTime;

public:
  prometheus::Counter& receivedRequests;
};

}
