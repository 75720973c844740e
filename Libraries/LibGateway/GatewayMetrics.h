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

  void CountEnd(RequestOutcome aOutcome, unsigned aStatus);
  void ObserveFirstAnswer(Duration aTime);
  void ObserveEnd(Duration aTime);

  /// Sets a figure that another part counts.
  void Set(std::string const& aName, double aValue);

  std::string Render() const;

private:
  prometheus::Registry registry;
  prometheus::Family<prometheus::Counter>& ends;
  prometheus::Family<prometheus::Gauge>& figures;
  prometheus::Histogram& firstAnswer;
  prometheus::Histogram& whole;

public:
  prometheus::Counter& received;
};

}
