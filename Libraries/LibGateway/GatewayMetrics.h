#pragma once

#include <LibCore/LibCore.h>
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
  void ObserveTimeToFirstByte(Duration aTime);
  void ObserveRequestTime(Duration aTime);

  /// Sets a gauge whose value another service tracks.
  void SetGauge(std::string const& aName, double aValue);

  std::string Render() const;

private:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& endedRequests;
  prometheus::Family<prometheus::Gauge>& gauges;
  prometheus::Histogram& timeToFirstByte;
  prometheus::Histogram& requestTime;

public:
  prometheus::Counter& receivedRequests;
};

}
