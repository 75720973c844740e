#include <gtest/gtest.h>
#include <platform/Platform.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace Hornbeam::Gateway {

static constexpr MonotonicTime kStart{ 1000s };
static constexpr Duration kWindow = 4s;
static constexpr Duration kTold = 500ms;
static constexpr Duration kStep = 20ms;

static FrontSet
FleetOf(std::vector<std::string> const& aNames)
{
  FrontSet fronts;
  for (auto const& name : aNames) {
    FrontEntry entry;
    entry.name = name;
    entry.dataCenter = "a";
    ApplyFront(fronts, entry, 1);
  }
  return fronts;
}

/// One front's side of an endpoint with a limit.
struct Sender
{
  EndpointSignals signals;
  std::size_t fronts{ 0 };
  std::size_t senders{ 0 };
  bool isSender{ false };
  std::optional<MonotonicTime> told;
};

static Sender
SenderIn(FrontSet const& aView, std::string const& aName, double aLimit)
{
  auto const senders = LimitSenders(aLimit, aView.byName.size());
  return { {}, aView.byName.size(), senders, IsAmongOwners(aView, "endpoint", aName, senders), std::nullopt };
}

/// Lets all fronts send whenever they may; returns the arrivals that count.
static std::vector<MonotonicTime>
Simulate(std::vector<Sender>& aSenders, double aLimit, Duration aTime, std::minstd_rand& aRandom)
{
  std::vector<MonotonicTime> arrivals;
  std::vector<Duration> offsets;
  for (std::size_t index = 0; index < aSenders.size(); ++index)
    offsets.push_back(kStep * std::int64_t(aRandom() % 100));
  for (auto now = kStart; now < kStart + aTime; now += kStep)
    for (std::size_t index = 0; index < aSenders.size(); ++index) {
      auto& sender = aSenders[index];
      // A request leaves late at times, as a loop may be busy.
      if (now < kStart + offsets[index] || aRandom() % 4 == 0)
        continue;
      if (EarliestSend(sender.signals, sender.isSender, sender.fronts) > now)
        continue;
      OnSend(sender.signals, sender.fronts, now);
      if (sender.told && now >= *sender.told + kTold)
        arrivals.push_back(now);
      ApplySignals(sender.signals, { false, aLimit, false, std::nullopt }, sender.senders, now);
      sender.told = sender.told.value_or(now);
    }
  return arrivals;
}

static std::size_t
MostInWindow(std::vector<MonotonicTime> const& aTimes)
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < aTimes.size(); ++last) {
    while (aTimes[last] - aTimes[first] > kWindow)
      ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

static std::vector<std::string>
Names(unsigned aCount)
{
  std::vector<std::string> names;
  for (unsigned index = 0; index < aCount; ++index)
    names.push_back("front-" + std::to_string(index));
  return names;
}

static constexpr unsigned kFleets[] = { 1, 7, 67, 195, 370 };
static constexpr double kLimits[] = { 0, 0.25, 1, 3, 10, 300 };

// Fronts that kept a limit each by themselves sent as many times too much as there are fronts, and two views of the
// membership choose different senders.
RC_GTEST_PROP(EndpointSignals, AllFrontsTogetherKeepALimit, ())
{
  auto const fleet = kFleets[*rc::gen::inRange<std::size_t>(0, std::size(kFleets))];
  auto const limit = kLimits[*rc::gen::inRange<std::size_t>(0, std::size(kLimits))];
  std::minstd_rand random(unsigned(*rc::gen::inRange(1, 1'000'000)));
  auto const names = Names(fleet);
  std::vector<std::string> others;
  std::ranges::copy_if(names, std::back_inserter(others), [&](auto const&) { return random() % 3 != 0; });
  auto const all = FleetOf(names);
  auto const some = FleetOf(others);
  std::vector<Sender> senders;
  for (auto const& name : names) {
    bool const inSome = some.byName.contains(name) && random() % 2 == 0;
    senders.push_back(SenderIn(inSome ? some : all, name, limit));
  }
  auto const arrivals = Simulate(senders, limit, 14s, random);
  RC_ASSERT(double(MostInWindow(arrivals)) <= 1.5 * limit * Seconds(kWindow) + 5);
}

// A limit that is shared among fronts without demand wastes the endpoint.
TEST(EndpointSignals, UsesMostOfALimit)
{
  std::minstd_rand random(1);
  for (auto const fleet : kFleets)
    for (auto const limit : { 1.0, 10.0, 300.0 }) {
      auto const fronts = FleetOf(Names(fleet));
      std::vector<Sender> senders;
      for (auto const& [name, front] : fronts.byName)
        senders.push_back(SenderIn(fronts, name, limit));
      auto const arrivals = Simulate(senders, limit, 44s, random);
      // At most 4 s pass until all senders have been told and had their first turn. A front looks every 20 ms, so that
      // one alone cannot send 210 requests a second.
      auto const possible = std::min(0.7 * limit, double(fleet) * 0.75 / Seconds(kStep));
      auto const expected = 0.95 * possible * 40;
      EXPECT_GE(double(arrivals.size()), expected) << fleet << " fronts, limit " << limit;
    }
}

TEST(EndpointSignals, FollowsALimitThatFallsAndRises)
{
  EndpointSignals signals;
  auto now = kStart;
  EXPECT_EQ(ApplySignals(signals, { false, 10.0, false, std::nullopt }, 1, now), SignalChange::LimitChanged);
  EXPECT_EQ(ApplySignals(signals, { false, 10.0, false, std::nullopt }, 1, now), SignalChange::None);
  EXPECT_GT(EarliestSend(signals, true, 1), now + 100ms);
  ApplySignals(signals, { false, 0.5, false, std::nullopt }, 1, now);
  EXPECT_GT(EarliestSend(signals, true, 1), now + 2s);
  ApplySignals(signals, { false, 100.0, false, std::nullopt }, 1, now);
  EXPECT_LT(EarliestSend(signals, true, 1), now + 100ms);
  // A front that is no sender asks again some day.
  EXPECT_EQ(EarliestSend(signals, false, 7), now + 30s);
  EXPECT_EQ(EarliestSend(signals, false, 370), now + 1480s);
  // An answer with a limit that cannot be read ends nothing.
  EXPECT_EQ(ApplySignals(signals, { false, std::nullopt, true, std::nullopt }, 1, now), SignalChange::None);
  EXPECT_EQ(ApplySignals(signals, {}, 1, now), SignalChange::LimitEnded);
  EXPECT_LE(EarliestSend(signals, false, 370), now);
}

// One answer must not silence an endpoint for good.
TEST(EndpointSignals, BoundsAPause)
{
  EndpointSignals signals;
  ApplySignals(signals, { false, std::nullopt, false, 1000h }, 1, kStart);
  EXPECT_EQ(EarliestSend(signals, true, 1), kStart + 5min);
  // A shorter one does not end it earlier.
  ApplySignals(signals, { false, std::nullopt, false, 1s }, 1, kStart);
  EXPECT_EQ(EarliestSend(signals, true, 1), kStart + 5min);
}

static EndpointEntry
EntryOf(std::string aId, std::string aAddress, std::int64_t aIncarnation)
{
  EndpointEntry entry;
  entry.id = std::move(aId);
  entry.service = "s";
  entry.address = std::move(aAddress);
  entry.incarnation = aIncarnation;
  return entry;
}

// A process that had said that it leaves came back by an older entry; a new process at its address inherited its words.
TEST(EndpointSignals, BelongToAProcess)
{
  EndpointSet set;
  auto const first = EntryOf("i-1", "10.0.0.1:80", 1);
  ApplyEntry(set, first, 0s, kStart);
  EXPECT_EQ(OnAnswerSignals(set, ProcessOf(first), { true, 1.0, false, 2s }, 3, kStart), SignalChange::LeavingBegan);
  EXPECT_FALSE(IsUsable(set, set.byId.at("i-1")));
  RemoveEndpoint(set, "i-1");
  ApplyEntry(set, first, 0s, kStart);
  EXPECT_FALSE(IsUsable(set, set.byId.at("i-1")));
  auto const restarted = EntryOf("i-1", "10.0.0.1:80", 2);
  ApplyEntry(set, restarted, 0s, kStart);
  EXPECT_TRUE(IsUsable(set, set.byId.at("i-1")));
  EXPECT_FALSE(set.byId.at("i-1").signals.limit);
  // A late answer of the process before.
  EXPECT_EQ(OnAnswerSignals(set, ProcessOf(first), { true, 1.0, false, 2s }, 3, kStart), SignalChange::None);
  EXPECT_TRUE(IsUsable(set, set.byId.at("i-1")));
}

static AnswerSignals
Decode(unsigned aStatus, HeaderFields const& aFields)
{
  return Platform::DecodeAnswerSignals(aStatus, aFields);
}

// Text that is no amount must not become a limit or a pause, nor undefined behaviour.
TEST(EndpointSignals, ReadsOnlyAmounts)
{
  for (auto const& text : { "",
                            " ",
                            "nan",
                            "-nan",
                            "inf",
                            "infinity",
                            "-1",
                            "1,5",
                            "1 ",
                            " 1",
                            "0x10",
                            "1.5s",
                            "1e999",
                            "Sat, 05 Dec 2026 00:00:00 GMT" }) {
    auto const signals = Decode(503, { { "Server-Limit", text }, { "Retry-After", text } });
    EXPECT_FALSE(signals.limit) << text;
    EXPECT_TRUE(signals.unreadableLimit) << text;
    EXPECT_FALSE(signals.pause) << text;
  }
  EXPECT_FALSE(Decode(200, { { "Server-Limit", std::string(400, '9') } }).limit);
  EXPECT_EQ(Decode(200, { { "server-limit", "0.25" } }).limit, 0.25);
  EXPECT_EQ(Decode(200, { { "Server-Limit", "1e2" } }).limit, 100);
  EXPECT_EQ(Decode(200, { { "Server-Limit", "0" } }).limit, 0);
  EXPECT_EQ(Decode(200, { { "Server-Limit", "7" }, { "Server-Limit", "x" }, { "Server-Limit", "3" } }).limit, 3);
  EXPECT_EQ(Decode(503, { { "Retry-After", "1.5" }, { "Retry-After", "0.5" } }).pause, Duration(1500ms));
  EXPECT_EQ(Decode(503, { { "Retry-After", "1e300" } }).pause, Duration(1'000'000s));
  EXPECT_FALSE(Decode(503, { { "Retry-After", "0" } }).pause);
  EXPECT_FALSE(Decode(200, { { "Retry-After", "1.5" } }).pause);
  EXPECT_TRUE(Decode(500, { { "Server-Leaving", "1" } }).leaving);
  EXPECT_FALSE(Decode(200, { { "Server-Leaving", "0" } }).leaving);
}

}
