#include <LibGateway/EventStream.h>
#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <vector>

namespace Hornbeam::Gateway {

/// Feeds the bytes in reads that end at the given positions, and returns what
/// is forwarded.
static std::string
FeedInReads(EventStream& aStream, std::string_view aBytes, std::vector<std::size_t> const& aEnds)
{
  std::string forwarded;
  std::size_t from = 0;
  for (auto const end : aEnds) {
    forwarded += ExtractCompleteEvents(aStream, aBytes.substr(from, end - from));
    from = end;
  }
  return forwarded + ExtractCompleteEvents(aStream, aBytes.substr(from));
}

/// A random stream: events of random lines with random line ends, possibly cut
/// off at the end.
static rc::Gen<std::string>
Streams()
{
  return rc::gen::exec([] {
    std::string bytes;
    auto const events = *rc::gen::inRange(0, 5);
    for (int event = 1; event <= events; ++event) {
      auto const lineEnd = *rc::gen::element<std::string>("\n", "\r\n", "\r");
      auto const lines = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("data: t", "data", ": note", "versions: 7", "data: a b"));
      if (*rc::gen::arbitrary<bool>())
        bytes += "id: " + std::to_string(event) + lineEnd;
      for (auto const& line : lines)
        bytes += line + lineEnd;
      bytes += lineEnd;
    }
    return bytes.substr(0, bytes.size() - std::min<std::size_t>(bytes.size(), *rc::gen::inRange<std::size_t>(0, 12)));
  });
}

TEST(EventStream, GivesTheSameEventsForAnySplitIntoReads)
{
  rc::check("what is forwarded and kept is the input, however it is read", [] {
    auto const bytes = *Streams();
    auto ends = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    std::sort(ends.begin(), ends.end());
    EventStream atOnce;
    auto const expected = ExtractCompleteEvents(atOnce, bytes);
    EventStream inReads;
    auto const forwarded = FeedInReads(inReads, bytes, ends);
    RC_ASSERT(forwarded == expected);
    RC_ASSERT(forwarded + inReads.partial == bytes);
    RC_ASSERT(inReads.lastId == atOnce.lastId);
    RC_ASSERT(inReads.outOfOrder == atOnce.outOfOrder);
  });
}

TEST(EventStream, SplitsAStreamAtEachPosition)
{
  std::string const events = "\xEF\xBB\xBF"
                             "id: 1\ndata: a\n\n: note\n\nversions: 7\r\nid: "
                             "2\r\ndata: b\r\n\r\n\n\ndata: c\nid: 3\n\n";
  for (std::size_t position = 0; position <= events.size(); ++position) {
    EventStream stream;
    EXPECT_EQ(FeedInReads(stream, events, { position }), events) << position;
    EXPECT_EQ(stream.lastId, "3") << position;
    EXPECT_FALSE(stream.outOfOrder) << position;
    EXPECT_TRUE(stream.partial.empty()) << position;
  }
}

// An event that ended with a blank line of another line end than its lines was
// taken for part of the next event.
TEST(EventStream, EndsAnEventAtABlankLineWithAnyLineEnd)
{
  for (auto const* const blank : { "\n\n", "\r\n\r\n", "\n\r\n", "\r\n\n", "\r\r" }) {
    EventStream stream;
    auto const event = std::string("id: 1\ndata: a") + blank;
    EXPECT_EQ(ExtractCompleteEvents(stream, event + "id: 2\n"), event);
    EXPECT_EQ(stream.lastId, "1");
    EXPECT_EQ(stream.partial, "id: 2\n");
  }
}

// The id of the first event after a byte order mark was not seen, so a
// resumption began with that event again.
TEST(EventStream, FindsTheIdOfAnEventAfterAByteOrderMark)
{
  EventStream stream;
  ExtractCompleteEvents(stream, "\xEF\xBB\xBFid: 1\ndata: a\n\n");
  EXPECT_EQ(stream.lastId, "1");
}

TEST(EventStream, EndsInsideAnEventUnlessOnlyCommentsOrLineEndsFollow)
{
  for (auto const* const rest :
       { "", "\n", "\r", "\r\n\n", ": note\n", ": note\r\n: note\n", "id: 2\r\rdata: b\r\r" }) {
    EventStream stream;
    ExtractCompleteEvents(stream, std::string("id: 1\n\n") + rest);
    EXPECT_FALSE(EndsInsideEvent(stream)) << rest;
  }
  for (auto const* const rest : { "i", "id: 2\n", "id: 2\r", ": no", ": note\ndata: b\r\n", "\ndata" }) {
    EventStream stream;
    ExtractCompleteEvents(stream, std::string("id: 1\n\n") + rest);
    EXPECT_TRUE(EndsInsideEvent(stream)) << rest;
    PrepareResumption(stream);
    EXPECT_EQ(ExtractCompleteEvents(stream, "id: 2\n\n"), "id: 2\n\n");
  }
}

// A stream with CR LF line ends that was cut between the two bytes of its last line end was taken for complete.
TEST(EventStream, EndsInsideAnEventBetweenTheTwoBytesOfALineEnd)
{
  for (auto const* const cut : { "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r", "id: 1\r\ndata: a\r\n\r" }) {
    EventStream stream;
    ExtractCompleteEvents(stream, cut);
    EXPECT_TRUE(EndsInsideEvent(stream)) << cut;
  }
}

TEST(EventStream, FindsTheIdOfAnEventAfterItsData)
{
  EventStream stream;
  ExtractCompleteEvents(stream, "data: a\nid: 7\n\n");
  EXPECT_EQ(stream.lastId, "7");
}

} // namespace Hornbeam::Gateway
