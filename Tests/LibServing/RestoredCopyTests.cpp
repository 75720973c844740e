#include <LibServing/LibServing.h>
#include <gtest/gtest.h>

namespace Hornbeam::Gateway {

static EndpointEntry
Endpoint(std::int64_t aIncarnation, EndpointState aState)
{
  EndpointEntry entry;
  entry.id = "e";
  entry.service = "model";
  entry.state = aState;
  entry.incarnation = aIncarnation;
  return entry;
}

static EndpointSet
SetOf(EndpointEntry const& aEntry)
{
  EndpointSet set;
  ApplyEntry(set, aEntry, Duration::zero(), MonotonicTime());
  return set;
}

// The copy of a restored store brought back an earlier process, or one that had begun to leave.
TEST(RestoredCopy, IsOutdatedForAnEarlierProcessAndBeforeALeave)
{
  auto const leaving = SetOf(Endpoint(5, EndpointState::Leaving));
  EXPECT_TRUE(IsOutdated(leaving, Endpoint(5, EndpointState::Ready)));
  EXPECT_TRUE(IsOutdated(leaving, Endpoint(4, EndpointState::Ready)));
  EXPECT_FALSE(IsOutdated(leaving, Endpoint(6, EndpointState::Ready)));
  EXPECT_FALSE(IsOutdated(SetOf(Endpoint(5, EndpointState::Ready)), Endpoint(5, EndpointState::Leaving)));
  EXPECT_FALSE(IsOutdated(EndpointSet(), Endpoint(5, EndpointState::Ready)));
}

TEST(RestoredCopy, IsOutdatedForAProcessThatHasLeft)
{
  DepartedProcesses departed;
  RecordDeparture(departed, "e", 5);
  EXPECT_TRUE(IsOutdatedInCopy(EndpointSet(), departed, Endpoint(5, EndpointState::Ready)));
  EXPECT_FALSE(IsOutdatedInCopy(EndpointSet(), departed, Endpoint(6, EndpointState::Ready)));
  FrontEntry front;
  front.name = "f";
  front.incarnation = 7;
  EXPECT_FALSE(IsOutdatedInCopy(FrontSet(), departed, front));
  RecordDeparture(departed, "f", 7);
  EXPECT_TRUE(IsOutdatedInCopy(FrontSet(), departed, front));
}

TEST(RestoredCopy, RemembersABoundedNumberOfDepartures)
{
  DepartedProcesses departed;
  for (int index = 0; index < 5000; ++index)
    RecordDeparture(departed, "e" + std::to_string(index % 2500), index);
  EXPECT_EQ(departed.incarnations.size(), departed.order.size());
  EXPECT_LE(departed.order.size(), 512U);
  EXPECT_TRUE(departed.incarnations.contains("e2499"));
}

// All fronts of a fleet wrote their entries at the same moment, and the store refused most of them.
TEST(RestoredCopy, SpreadsRegistrationsBelowTheWriteRateOfTheStore)
{
  static constexpr double kWritesPerSecond = 400;
  static constexpr Duration kMissingCountsAsGone = 2s;
  for (std::size_t const fronts : { 7U, 195U, 370U }) {
    auto const spread = RegistrationSpread(fronts);
    EXPECT_LE(double(fronts), Seconds(spread) * kWritesPerSecond) << fronts;
    EXPECT_LT(spread, kMissingCountsAsGone) << fronts;
  }
}

// An answer that bears no era, or a former one, was used like any other.
TEST(StoreEra, JudgesAnswersByTheirEra)
{
  StoreEra era;
  EXPECT_EQ(RecordEra(era, std::nullopt), EraVerdict::Current);
  EXPECT_EQ(RecordEra(era, "unreadable"), EraVerdict::Current);
  EXPECT_EQ(RecordEra(era, "3"), EraVerdict::Current);
  EXPECT_EQ(RecordEra(era, "4"), EraVerdict::Restored);
  EXPECT_EQ(RecordEra(era, "3"), EraVerdict::Unusable);
  for (auto const* const text : { "", "4x", "-1", "99999999999999999999", "1048576" })
    EXPECT_EQ(RecordEra(era, text), EraVerdict::Unusable) << text;
  EXPECT_EQ(RecordEra(era, std::nullopt), EraVerdict::Unusable);
  EXPECT_EQ(RecordEra(era, "4"), EraVerdict::Current);
  EXPECT_EQ(RecordEra(era, "9"), EraVerdict::Restored);
  EXPECT_EQ(era.restores, 2U);
  RaiseEra(era, 8);
  EXPECT_EQ(era.latest, 9U);
  RaiseEra(era, 11);
  EXPECT_EQ(RecordEra(era, "10"), EraVerdict::Unusable);
  EXPECT_EQ(RecordEra(era, "11"), EraVerdict::Current);
  EXPECT_EQ(era.restores, 3U);
}

}
