#include <LibRelay/LibRelay.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Hornbeam::Gateway {

namespace {

/// A list of objects with the given numbers, as a JSON text.
std::string
ListOf(std::vector<unsigned> const& aNumbers)
{
  std::string text = "[";
  for (auto const number : aNumbers)
    text += "{\"name\":\"route-" + std::to_string(number) + "\",\"service\":\"" + std::string(60, 's') + "\"},";
  return text + "]";
}

std::vector<unsigned>
Numbers(unsigned aCount)
{
  std::vector<unsigned> numbers(aCount);
  for (unsigned index = 0; index < aCount; ++index)
    numbers[index] = index;
  return numbers;
}

std::size_t
NewBytes(DocumentDelta const& aDelta)
{
  std::size_t bytes = 0;
  for (auto const& piece : aDelta.pieces)
    bytes += piece.bytes.size();
  return bytes;
}

}

// A change in one route of a large table was sent as the whole table.
TEST(DocumentDelta, HoldsLittleMoreThanTheObjectThatDiffers)
{
  auto numbers = Numbers(2000);
  auto const base = ListOf(numbers);
  numbers[1000] = 99999;
  numbers.erase(numbers.begin() + 1500);
  auto const document = ListOf(numbers);
  auto const delta = MakeDelta(base, document);
  EXPECT_EQ(ApplyDelta(base, delta), document);
  EXPECT_LT(NewBytes(delta), 500U);
  EXPECT_LE(delta.pieces.size(), 5U);
}

RC_GTEST_PROP(DocumentDelta, GivesTheDocumentAgain, ())
{
  auto const base = ListOf(*rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 20U)));
  auto const document = ListOf(*rc::gen::container<std::vector<unsigned>>(rc::gen::inRange(0U, 20U)));
  RC_ASSERT(ApplyDelta(base, MakeDelta(base, document)) == document);
  auto const text = *rc::gen::arbitrary<std::string>();
  RC_ASSERT(ApplyDelta(base, MakeDelta(base, text)) == text);
  RC_ASSERT(ApplyDelta(text, MakeDelta(text, document)) == document);
}

// Another front's differences must not give a document that no front has written.
TEST(DocumentDelta, DoesNotApplyToAnotherBase)
{
  auto const base = ListOf(Numbers(20));
  auto const document = ListOf(Numbers(30));
  auto const delta = MakeDelta(base, document);
  auto other = base;
  other[10] = 'x';
  EXPECT_FALSE(ApplyDelta(other, delta));
  EXPECT_FALSE(ApplyDelta("", delta));
  auto beyond = delta;
  beyond.pieces.push_back({ base.size() - 1, 2, {} });
  EXPECT_FALSE(ApplyDelta(base, beyond));
  beyond.pieces.back().offset = std::numeric_limits<std::size_t>::max();
  EXPECT_FALSE(ApplyDelta(base, beyond));
}

TEST(DocumentHistory, FindsTheDifferencesFromTheNewestKnownState)
{
  DocumentHistory history;
  for (unsigned state = 1; state <= 3; ++state)
    Remember(history, "0/main", state, ListOf(Numbers(1000 + state)));
  auto const hashOf = [](unsigned aState) { return StableHash(ListOf(Numbers(1000 + aState))); };
  EXPECT_EQ(FindDelta(history, "0/main", 3, { hashOf(1), hashOf(2) })->base, hashOf(2));
  EXPECT_EQ(FindDelta(history, "0/main", 3, { 12345 }), nullptr);
  EXPECT_EQ(FindDelta(history, "0/other", 3, { hashOf(2) }), nullptr);
  EXPECT_EQ(FindDelta(history, "0/main", 4, { hashOf(2) }), nullptr);
}

// The states of large documents must not fill the memory of a small VM.
TEST(DocumentHistory, IsBounded)
{
  DocumentHistory history;
  for (unsigned state = 1; state <= 100; ++state)
    Remember(history, "0/main", state, ListOf(Numbers(1000 + state)));
  EXPECT_EQ(history.entries.size(), 8U);
  EXPECT_EQ(history.entries.front().revision, 100U);
  for (unsigned state = 101; state <= 110; ++state)
    Remember(history, "0/main", state, std::string(1 << 20, 'x') + std::to_string(state));
  EXPECT_LE(history.entries.size(), 4U);
  EXPECT_EQ(history.entries.front().revision, 110U);
  Remember(history, "0/main", 111, "small");
  EXPECT_EQ(history.entries.front().revision, 110U);
}

}
