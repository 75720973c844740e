#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

using Platform::ObjectKind;
using Platform::ObjectList;
using Platform::StoreClient;

/// The time within which a front must know all endpoints after its start.
static constexpr Duration kStartBound = 3s;

/// Names of entries that hold characters which a query reserves or a target must not hold.
static std::vector<std::string> const kReservedNames{ "!00%#",
                                                      "!02&b=",
                                                      "!03+",
                                                      "%7A",
                                                      "!&after=zzz",
                                                      "!7?watch=1",
                                                      "!x",
                                                      "z#",
                                                      "zz%",
                                                      "!&watch=1&wait_ms=9000",
                                                      "!\xc3\xa9",
                                                      "!04%C3%A9",
                                                      "!;charset=utf-8,*$()'" };

/// Names that a front does not use for any object.
static std::vector<std::string> const kUnusableNames{
  "!5 5", "!6/6", "!\"=\n\x7f", "z\t", "..", std::string(300, 'n')
};

static ObjectList
ListAll(PlatformWorld& aWorld, StoreClient& aClient, ObjectKind aKind = ObjectKind::Endpoint)
{
  auto const result = std::make_shared<std::optional<ObjectList>>();
  aClient.List(aKind, [result](ObjectList aList) { *result = std::move(aList); });
  EXPECT_TRUE(aWorld.RunUntil([&] { return result->has_value(); }, 2s));
  return result->value_or(ObjectList{});
}

static std::set<std::string>
NamesOf(ObjectList const& aList)
{
  std::set<std::string> names;
  for (auto const& object : aList.objects)
    names.insert(object.name);
  return names;
}

/// Lists four sound endpoints beside an entry with the name, on pages of one to four entries.
static void
ExpectSoundEndpointsBeside(std::string const& aOddName)
{
  std::set<std::string> const sound{ "e1", "e2", "e3", "e4" };
  PlatformWorld world(0);
  StoreClient client(world.callers, world.store->Address());
  for (auto const& name : sound)
    world.store->Put("servers", name, StandInEntry("ledger", "127.0.0.1:1", "ready", "a"));
  world.store->Put("servers", aOddName, { { "note", 1 } });
  for (std::size_t pageSize = 1; pageSize <= 4; ++pageSize) {
    SCOPED_TRACE(aOddName + " on pages of " + std::to_string(pageSize));
    world.store->pageSize = pageSize;
    auto const callsBefore = world.store->calls;
    auto const list = ListAll(world, client);
    EXPECT_EQ(list.outcome, Platform::StoreOutcome::Done);
    auto names = NamesOf(list);
    names.erase(aOddName);
    EXPECT_EQ(names, sound);
    EXPECT_LE(world.store->calls - callsBefore, 5U);
  }
}

// The cursor of the next page was not encoded: the list failed, ended early or began again without end.
TEST(PlatformList, ContinuesAfterANameWithReservedCharacters)
{
  for (auto const& name : kReservedNames)
    ExpectSoundEndpointsBeside(name);
}

// A page on which no name was usable was taken for the end of the list, and the objects behind it for removed.
TEST(PlatformList, ContinuesAfterANameThatIsNotUsable)
{
  for (auto const& name : kUnusableNames)
    ExpectSoundEndpointsBeside(name);
}

// While such an entry stood, fronts that started knew no endpoint and served nothing.
TEST(PlatformList, LetsAFrontServeBesideANameWithReservedCharacters)
{
  for (std::string const oddName : { "!00%#", "!02&b=", "!03+", "%7A" }) {
    SCOPED_TRACE(oddName);
    PlatformWorld world(1);
    for (int count = 0; count < 4; ++count)
      world.AddEndpoint(EndpointKind::Plain, "ledger");
    world.store->Put("servers", oddName, { { "note", 1 } });
    world.store->pageSize = 1;
    world.Start();
    auto const knowsAll = [&] {
      return CachedStateOf(world, 0).value("endpoints", nlohmann::json::array()).size() == 4;
    };
    EXPECT_TRUE(HappensWithin(world, knowsAll, kStartBound));
    EXPECT_EQ(world.Call(0, {}).status, 200U);
  }
}

// The names of objects were put into paths as they are: calls reached other objects, or none.
TEST(PlatformList, ReadsAndRemovesObjectsWithReservedCharactersInTheirNames)
{
  PlatformWorld world(0);
  StoreClient client(world.callers, world.store->Address());
  world.store->Put("fronts", "a", { { "n", 0 } });
  for (auto const& name : kReservedNames) {
    SCOPED_TRACE(name);
    world.store->Put("fronts", name, { { "n", 1 } });
    auto const read = std::make_shared<std::optional<Platform::ObjectRead>>();
    client.Get(ObjectKind::Front, name, [read](Platform::ObjectRead aRead) { *read = std::move(aRead); });
    ASSERT_TRUE(world.RunUntil([&] { return read->has_value(); }));
    ASSERT_EQ((*read)->outcome, Platform::StoreOutcome::Done);
    auto const removed = std::make_shared<std::optional<Platform::WriteResult>>();
    client.Remove(ObjectKind::Front, name, (*read)->object->revision, [removed](Platform::WriteResult aResult) {
      *removed = std::move(aResult);
    });
    ASSERT_TRUE(world.RunUntil([&] { return removed->has_value(); }));
    EXPECT_EQ((*removed)->outcome, Platform::StoreOutcome::Done);
    EXPECT_FALSE(world.store->Has("fronts", name));
  }
  EXPECT_TRUE(world.store->Has("fronts", "a"));
}

// An event about an object without a usable name did not count as one: the watch was sent again at once, without end.
TEST(PlatformList, WatchesOnAfterAnEventOfANameThatIsNotUsable)
{
  PlainWorld plain;
  auto& world = plain.world;
  for (std::string const kind : { "config", "servers", "evacuations", "fronts", "endpoint-crashes" }) {
    SCOPED_TRACE(kind);
    world.store->Put(kind, "a b", { { "note", 1 } });
    world.RunFor(600ms);
    auto const before = world.store->calls;
    world.RunFor(1s);
    EXPECT_LE(world.store->calls - before, 10U);
  }
  world.PutTable(2);
  EXPECT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 2; }, kApplyBound));
}

// A store that answers watches at once, and without events, was asked as often as it answered.
TEST(PlatformList, DoesNotRepeatWatchesWithoutPause)
{
  PlainWorld plain;
  auto& world = plain.world;
  world.store->answersWatchesAtOnce = true;
  world.store->CutWatches();
  world.RunFor(1s);
  auto const before = world.store->calls;
  world.RunFor(1s);
  EXPECT_LE(world.store->calls - before, 20U);
}

// An event that is no object ended the watch: the exception was logged, and nothing was asked again.
TEST(PlatformList, LeavesOutEventsThatAreNoObjects)
{
  PlatformWorld world(0);
  std::string body;
  HttpListener listener(world.loop.UvLoop(), world.clock, [&body](std::shared_ptr<Exchange> const& aExchange) {
    aExchange->Respond({ 200, { { "Store-Era", "1" } } }, body);
  });
  auto const address = world.NextAddress();
  ASSERT_TRUE(listener.Open(address));
  StoreClient client(world.callers, address);
  auto const watch = [&](std::string const& aEvents) {
    body = R"({"as_of":7,"events":)" + aEvents + "}";
    auto const result = std::make_shared<std::optional<Platform::ObjectEvents>>();
    client.Watch(ObjectKind::Endpoint, MakePosition(1, 5), 1s, [result](Platform::ObjectEvents aEvents) {
      *result = std::move(aEvents);
    });
    EXPECT_TRUE(world.RunUntil([&] { return result->has_value(); }, 2s));
    return result->value_or(Platform::ObjectEvents{});
  };
  static constexpr char kSound[] = R"({"deleted":false,"object":{"metadata":{"name":"e","revision":6}}})";
  for (std::string const odd :
       { "5", "null", "[]", "\"x\"", "{}", R"({"object":5})", R"({"object":{"metadata":[]}})" }) {
    auto const result = watch("[" + odd + "," + kSound + "]");
    EXPECT_EQ(result.outcome, Platform::StoreOutcome::Done) << odd;
    EXPECT_EQ(result.events.size(), 1U) << odd;
    EXPECT_EQ(result.leftOut, 1U) << odd;
  }
  for (std::string const odd : { "5", "null", "{}", "\"x\"" })
    EXPECT_EQ(watch(odd).outcome, Platform::StoreOutcome::Unknown) << odd;
}

// While lists succeeded and watches failed, the watches of all kinds made each other list without pause.
TEST(PlatformList, DISABLED_DoesNotRepeatListsWithoutPauseWhileWatchesFail)
{
  for (unsigned const status : { 400U, 410U, 500U, 503U }) {
    SCOPED_TRACE(status);
    PlainWorld plain;
    auto& world = plain.world;
    world.store->watchStatus = status;
    world.store->CutWatches();
    world.RunFor(1s);
    auto const before = world.store->calls;
    world.RunFor(2s);
    // Five kinds, each listed and watched once in 400 ms, and one check a second.
    EXPECT_LE(world.store->calls - before, 55U);
    EXPECT_EQ(world.Call(0, {}).status, 200U);
  }
}

// Some entries of the greatest size beside the endpoints made the list too large to be used.
TEST(PlatformList, FindsAllEndpointsBesideLargeEntries)
{
  PlatformWorld world(0);
  StoreClient client(world.callers, world.store->Address());
  auto large = StandInEntry("ledger", "127.0.0.1:1", "ready", "a");
  large["note"] = std::string(1 << 20, 'x');
  for (int number = 0; number < 20; ++number)
    world.store->Put("servers", "d" + std::to_string(number), large);
  for (auto const* name : { "a1", "e1" })
    world.store->Put("servers", name, StandInEntry("ledger", "127.0.0.1:1", "ready", "a"));
  world.store->pageSize = 3;
  auto const list = ListAll(world, client);
  ASSERT_EQ(list.outcome, Platform::StoreOutcome::Done);
  EXPECT_EQ(list.objects.size(), 22U);
  std::set<std::string> sound;
  for (auto const& object : list.objects)
    if (std::string error; Platform::DecodeEndpoint(object, error))
      sound.insert(object.name);
  EXPECT_EQ(sound, (std::set<std::string>{ "a1", "e1" }));
}

}
