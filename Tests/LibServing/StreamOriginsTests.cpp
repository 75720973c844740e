#include <LibServing/LibServing.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Hornbeam::Gateway {

static MonotonicTime const kStart{ 1h };

static EndpointSet
EndpointsOf(std::vector<std::string> const& aVersions)
{
  EndpointSet endpoints;
  for (unsigned index = 0; index < aVersions.size(); ++index) {
    EndpointEntry entry;
    entry.id = "e" + std::to_string(index);
    entry.service = "model";
    entry.softwareVersion = aVersions[index];
    ApplyEntry(endpoints, entry, Duration::zero(), kStart);
  }
  return endpoints;
}

TEST(StreamOrigins, KeepsTheFirstRecordOfARequestAndForgetsOldOnes)
{
  StreamOrigins origins;
  EXPECT_TRUE(RecordOrigin(origins, { "r1", { "model", "v1", 1 } }, kStart));
  EXPECT_FALSE(RecordOrigin(origins, { "r1", { "model", "v2", 1 } }, kStart));
  ASSERT_NE(FindOrigin(origins, "r1"), nullptr);
  EXPECT_EQ(FindOrigin(origins, "r1")->softwareVersion, "v1");
  RecordOrigin(origins, { "r2", { "model", "v1", 1 } }, kStart + 60s);
  EXPECT_EQ(FindOrigin(origins, "r1"), nullptr);
  EXPECT_EQ(RecordsOf(origins, "model").size(), 1U);
  EXPECT_TRUE(RecordsOf(origins, "other").empty());
}

// An entry without a version says nothing about where its streams can go on.
TEST(StreamOrigins, TakesAnUnknownVersionForNone)
{
  StreamOrigins origins;
  EXPECT_FALSE(RecordOrigin(origins, { "r1", { "model", "", 1 } }, kStart));
  SoftwareVersions versions;
  NoteVersions(versions, EndpointsOf({ "" }), kStart);
  EXPECT_FALSE(OnlyVersion(versions, "model"));
  EXPECT_EQ(NoteVersions(versions, EndpointsOf({ "v1", "" }), kStart).size(), 1U);
  EXPECT_FALSE(OnlyVersion(versions, "model"));
  EndpointQuery query{ "model" };
  query.softwareVersion = "";
  EXPECT_FALSE(HasQueriedVersion(query, EndpointEntry{}));
}

TEST(StreamOrigins, RemembersVersionsThatLeftWhileTheirStreamsCanBeTakenUp)
{
  SoftwareVersions versions;
  EXPECT_TRUE(NoteVersions(versions, EndpointsOf({ "v1", "v1" }), kStart).empty());
  EXPECT_EQ(OnlyVersion(versions, "model"), "v1");
  EXPECT_EQ(NoteVersions(versions, EndpointsOf({ "v1", "v2" }), kStart + 1s), std::vector<std::string>{ "model" });
  EXPECT_TRUE(NoteVersions(versions, EndpointsOf({ "v2" }), kStart + 2s).empty());
  EXPECT_TRUE(HasSeveralVersions(versions, "model"));
  NoteVersions(versions, EndpointsOf({ "v2" }), kStart + 1s + kVersionMemory);
  EXPECT_TRUE(HasSeveralVersions(versions, "model"));
  NoteVersions(versions, EndpointsOf({ "v2" }), kStart + 2s + kVersionMemory);
  EXPECT_EQ(OnlyVersion(versions, "model"), "v2");
  // A rollback brings the old version back.
  EXPECT_EQ(NoteVersions(versions, EndpointsOf({ "v2", "v1" }), kStart + 90s).size(), 1U);
}

// At any schedule of versions that come and go, a front that has seen them names no version at which a stream did not
// begin.
RC_GTEST_PROP(StreamOrigins, NamesOnlyTheVersionThatBeganAStream, ())
{
  SoftwareVersions versions;
  std::vector<std::pair<MonotonicTime, std::string>> begun;
  auto now = kStart;
  auto const steps = *rc::gen::inRange(1, 30);
  for (int step = 0; step < steps; ++step) {
    auto const present =
      *rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>("v1", "v2", "v3")));
    NoteVersions(versions, EndpointsOf(present), now);
    begun.emplace_back(now, present[std::size_t(*rc::gen::inRange(0, int(present.size())))]);
    now += std::chrono::milliseconds(*rc::gen::inRange(1, 5000));
    NoteVersions(versions, EndpointsOf(present), now);
    if (auto const only = OnlyVersion(versions, "model"))
      for (auto const& [at, version] : begun)
        RC_ASSERT(now - at > 32s || version == *only);
  }
}

TEST(StreamOrigins, SpreadsRecordsOverMoreKeepersInLargerFleets)
{
  auto const keepers = [](std::size_t aFronts) {
    std::set<std::string> keys;
    for (unsigned number = 0; number < 2000; ++number)
      keys.insert(KeeperKeyOf("r" + std::to_string(number), aFronts));
    return keys.size();
  };
  EXPECT_EQ(keepers(7), 2U);
  EXPECT_EQ(keepers(195), 12U);
  EXPECT_EQ(keepers(370), 23U);
}

}
