#include <LibGateway/VersionReportWire.h>
#include <capnp/message.h>
#include <gtest/gtest.h>
#include <platform/Platform.h>

namespace Hornbeam::Testing {

using namespace Gateway;

static std::optional<RolloutOrder>
Decode(std::string const& aSpec, std::string const& aStatus = "null")
{
  auto const object = Platform::ParseObjectDocument(
    R"({"metadata":{"name":"s","revision":7},"spec":)" + aSpec + R"(,"status":)" + aStatus + "}", 0);
  std::string error;
  auto const order = Platform::DecodeRollout(*object, error);
  EXPECT_NE(order.has_value(), !error.empty());
  return order;
}

// An odd entry of the store ended a front or became an order.
TEST(RolloutObject, DecodesOrdersAndRefusesOddOnes)
{
  auto const order = Decode(R"({"service":"s","target":"v2","duration_s":1.5})");
  ASSERT_TRUE(order);
  EXPECT_EQ(order->duration, 1500ms);
  EXPECT_FALSE(order->recorded);
  for (auto const* odd : { "7",
                           "{}",
                           R"({"service":"s","target":"v2"})",
                           R"({"service":"","target":"v2","duration_s":5})",
                           R"({"service":"s","target":2,"duration_s":5})",
                           R"({"service":"s","target":"v 2","duration_s":5})",
                           R"({"service":"s","target":"v2","duration_s":0.5})",
                           R"({"service":"s","target":"v2","duration_s":86401})",
                           R"({"service":"s","target":"v2","duration_s":1e999})",
                           R"({"service":"s","target":"v2","duration_s":"12"})" })
    EXPECT_FALSE(Decode(odd)) << odd;
}

// The final state of a former target was taken for that of the next one.
TEST(RolloutObject, TakesOnlyTheStateOfItsTarget)
{
  std::string const spec = R"({"service":"s","target":"v2","duration_s":5})";
  EXPECT_EQ(Decode(spec, R"({"state":"rolled_back","target":"v2"})")->recorded, RolloutState::RolledBack);
  EXPECT_FALSE(Decode(spec, R"({"state":"rolled_back","target":"v1"})")->recorded);
  EXPECT_FALSE(Decode(spec, R"({"state":"rolled_back"})")->recorded);
  EXPECT_FALSE(Decode(spec, R"({"state":"odd","target":"v2"})")->recorded);
  EXPECT_FALSE(Decode(spec, "[]")->recorded);
}

// A count got lost or moved on its way to the owner.
TEST(RolloutObject, CarriesReportsBetweenFronts)
{
  RemoteVersionReport report{ "front-1", "s", { "v2", 5, 1234ms, 7, {}, { { "e1", 3 } } } };
  auto& counts = report.report.counts[{ "route", "a", 250 }];
  AddResponse(counts.target, ResponseOutcome::Failed, 1ms);
  AddResponse(counts.target, ResponseOutcome::Succeeded, 90ms);
  AddResponse(counts.other, ResponseOutcome::Succeeded, 1h);
  capnp::MallocMessageBuilder message;
  auto const wire = message.initRoot<Wire::VersionReport>();
  WriteVersionReport(report, wire);
  auto const read = ReadVersionReport(wire.asReader());
  EXPECT_EQ(read.front, "front-1");
  EXPECT_EQ(read.service, "s");
  EXPECT_EQ(read.report.target, "v2");
  EXPECT_EQ(read.report.incarnation, 5);
  EXPECT_EQ(read.report.age, 1234ms);
  EXPECT_EQ(read.report.inProgressElsewhere, 7U);
  EXPECT_EQ(read.report.counts.at({ "route", "a", 250 }), counts);
  EXPECT_EQ(read.report.badByEndpoint, report.report.badByEndpoint);
}

// A version that joined was used before its order could arrive; one that was there at the start was held back.
TEST(RolloutObject, HoldsBackVersionsThatJoinOthers)
{
  EndpointSet endpoints;
  VersionArrivals arrivals;
  MonotonicTime const now(1h);
  auto const add = [&](std::string const& aId, std::string const& aVersion) {
    EndpointEntry entry;
    entry.id = aId;
    entry.service = "s";
    entry.softwareVersion = aVersion;
    ApplyEntry(endpoints, entry, 0s, now);
  };
  add("a", "v1");
  add("b", "v2");
  NoteArrivals(arrivals, endpoints, now);
  EXPECT_FALSE(HeldBackVersion(arrivals, "s", now));
  add("c", "v3");
  NoteArrivals(arrivals, endpoints, now);
  EXPECT_EQ(HeldBackVersion(arrivals, "s", now + 1s), "v3");
  EXPECT_FALSE(HeldBackVersion(arrivals, "s", now + 1500ms));
}

}
