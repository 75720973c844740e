#include "GatewayMetrics.h"
#include "ProxiedRequest.h"
#include <prometheus/text_serializer.h>

namespace Hornbeam::Gateway {

/// Upper bounds in seconds, from the fastest responses of plain services to the longest streams.
static prometheus::Histogram::BucketBoundaries const&
LatencyBuckets()
{
  static prometheus::Histogram::BucketBoundaries const buckets{ 0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1,
                                                                1.4,  2,    3,   5,    8,    15,  30 };
  return buckets;
}

static prometheus::Histogram&
LatencyHistogram(prometheus::Registry& aRegistry, std::string const& aName, std::string const& aHelp)
{
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(aRegistry).Add({}, LatencyBuckets());
}

GatewayMetrics::GatewayMetrics()
  : endedRequests(prometheus::BuildCounter()
                    .Name("hornbeamfront_proxied_ended_total")
                    .Help("Requests that ended, by outcome and status.")
                    .Register(this->registry))
  , takeUps(prometheus::BuildCounter()
              .Name("hornbeamfront_stream_take_ups_total")
              .Help("Streams that callers took up again, by how their origin was found.")
              .Register(this->registry))
  , gauges(prometheus::BuildGauge()
             .Name("hornbeamfront_gateway")
             .Help("Figures of the parts of a front, by name.")
             .Register(this->registry))
  , parts(prometheus::BuildHistogram()
            .Name("hornbeamfront_request_part_seconds")
            .Help("Parts of the time of requests, by name.")
            .Register(this->registry))
  , timeToFirstByte(LatencyHistogram(this->registry,
                                     "hornbeamfront_first_answer_seconds",
                                     "From the first byte of a request to the first byte of a streamed answer."))
  , requestTime(LatencyHistogram(this->registry,
                                 "hornbeamfront_request_seconds",
                                 "From the first byte of a request to the end of its answer."))
  , receivedRequests(prometheus::BuildCounter()
                       .Name("hornbeamfront_proxied_received_total")
                       .Help("Whole requests from callers.")
                       .Register(this->registry)
                       .Add({}))
{
}

void
GatewayMetrics::CountEndedRequest(RequestOutcome aOutcome, unsigned aStatus)
{
  this->endedRequests.Add({ { "outcome", std::string(ToString(aOutcome)) }, { "status", std::to_string(aStatus) } })
    .Increment();
}

void
GatewayMetrics::CountTakeUp(std::string_view aSource)
{
  this->takeUps.Add({ { "source", std::string(aSource) } }).Increment();
}

void
GatewayMetrics::ObserveTimeToFirstByte(Duration aTime)
{
  this->timeToFirstByte.Observe(Seconds(aTime));
}

void
GatewayMetrics::ObserveRequestTime(Duration aTime)
{
  this->requestTime.Observe(Seconds(aTime));
}

void
GatewayMetrics::ObserveParts(TimelineParts const& aParts)
{
  std::pair<char const*, Duration> const named[]{ { "stage-wait", aParts.stageWaiting },
                                                  { "stage-compute", aParts.stageComputing },
                                                  { "choose", aParts.choosing },
                                                  { "first-byte", aParts.firstByte },
                                                  { "longest-pause", aParts.longestPause } };
  for (auto const& [name, time] : named)
    if (time > Duration::zero())
      this->parts.Add({ { "part", name } }, LatencyBuckets()).Observe(Seconds(time));
}

void
GatewayMetrics::SetGauge(std::string const& aName, double aValue)
{
  this->gauges.Add({ { "figure", aName } }).Set(aValue);
}

std::string
GatewayMetrics::Render() const
{
  return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

}
