#include <gtest/gtest.h>
#include <platform/ListAssembly.h>
#include <rapidcheck/gtest.h>

namespace Hornbeam::Platform {

static constexpr std::uint64_t kEra = 1;

static ListPage
PageUpTo(std::string const& aLastName, bool aHasMore, std::uint64_t aRevision = 7)
{
  return { aLastName, aHasMore, Gateway::MakePosition(kEra, aRevision), 400 };
}

static void
ExpectFault(ListAssembly& aList, ListPage const& aPage, ListFault aFault)
{
  EXPECT_EQ(OnPage(aList, aPage), ListStep::Abandon);
  EXPECT_EQ(aList.fault, aFault);
}

TEST(ListAssembly, IsWholeAsOfItsFirstPage)
{
  ListAssembly list;
  EXPECT_EQ(OnPage(list, PageUpTo("b", true, 7)), ListStep::Continue);
  EXPECT_EQ(list.after, "b");
  EXPECT_EQ(OnPage(list, PageUpTo("d", false, 9)), ListStep::Complete);
  EXPECT_EQ(list.revision, Gateway::MakePosition(kEra, 7));
}

TEST(ListAssembly, IsWholeWithoutObjects)
{
  ListAssembly list;
  EXPECT_EQ(OnPage(list, PageUpTo("", false)), ListStep::Complete);
}

// A page that says that more follow, and names nothing to continue after, was taken for the last one.
TEST(ListAssembly, IsNotWholeIfNothingIsNamedToContinueAfter)
{
  ListAssembly list;
  ExpectFault(list, PageUpTo("", true), ListFault::NoProgress);
}

// A list whose pages came again and again never ended, and kept all of them.
TEST(ListAssembly, IsAbandonedIfAPageComesAgain)
{
  ListAssembly same;
  EXPECT_EQ(OnPage(same, PageUpTo("b", true)), ListStep::Continue);
  ExpectFault(same, PageUpTo("b", true), ListFault::NoProgress);
  ListAssembly cycle;
  for (auto const* name : { "b", "d", "f" })
    EXPECT_EQ(OnPage(cycle, PageUpTo(name, true)), ListStep::Continue);
  ExpectFault(cycle, PageUpTo("b", true), ListFault::NoProgress);
}

// An end that a page does not state was taken for the end of the list.
TEST(ListAssembly, IsNotWholeIfAPageDoesNotSayWhetherMoreFollow)
{
  ListAssembly list;
  auto page = PageUpTo("b", true);
  page.hasMore.reset();
  ExpectFault(list, page, ListFault::NoEnd);
}

TEST(ListAssembly, IsNotWholeWithoutARevisionOrAcrossARestore)
{
  ListAssembly list;
  auto page = PageUpTo("b", true);
  page.revision = 0;
  ExpectFault(list, page, ListFault::NoRevision);
  ListAssembly restored;
  EXPECT_EQ(OnPage(restored, PageUpTo("b", true)), ListStep::Continue);
  page.revision = Gateway::MakePosition(kEra + 1, 7);
  ExpectFault(restored, page, ListFault::OtherEra);
}

// Whatever pages a store sends, a list ends after a bounded number of calls and with a bounded size.
RC_GTEST_PROP(ListAssembly, EndsWhateverThePagesAre, ())
{
  auto const names = *rc::gen::inRange<std::uint64_t>(1, 4000);
  auto const bytes = *rc::gen::inRange<std::size_t>(0, std::size_t(1) << 20);
  ListAssembly list;
  std::size_t pages = 0;
  for (auto step = ListStep::Continue; step == ListStep::Continue; ++pages) {
    auto page = PageUpTo(std::to_string(pages % names), true);
    page.bytes = bytes;
    step = OnPage(list, page);
  }
  RC_ASSERT(pages <= 2000U);
  RC_ASSERT(pages <= names + 1);
  RC_ASSERT(list.bytes <= std::size_t(8) << 20);
}

}
