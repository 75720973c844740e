#include <LibStore/LibStore.h>
#include <gtest/gtest.h>

namespace Hornbeam {

// A store that was restored from an older copy went unnoticed.
TEST(VersionHistory, ReportsAnObjectThatWentBack)
{
  VersionHistory history;
  EXPECT_EQ(GreatestVersion(history, "epoch"), 0U);
  EXPECT_FALSE(RecordVersion(history, "epoch", 0, 7));
  EXPECT_FALSE(RecordVersion(history, "epoch", 7, 7));
  EXPECT_TRUE(RecordVersion(history, "epoch", GreatestVersion(history, "epoch"), 5));
  EXPECT_EQ(GreatestVersion(history, "epoch"), 7U);
  EXPECT_FALSE(RecordVersion(history, "table", 0, 3));
}

// An absent object has the version zero: one that existed and is gone went back, too, as objects are never removed.
TEST(VersionHistory, ReportsAnObjectThatIsGone)
{
  VersionHistory history;
  RecordVersion(history, "epoch", 0, 7);
  EXPECT_TRUE(RecordVersion(history, "epoch", 7, 0));
}

TEST(VersionHistory, AcceptsAnAnswerThatWasOvertaken)
{
  VersionHistory history;
  auto const before = GreatestVersion(history, "epoch");
  RecordVersion(history, "epoch", 0, 7);
  EXPECT_FALSE(RecordVersion(history, "epoch", before, 6));
}

}
