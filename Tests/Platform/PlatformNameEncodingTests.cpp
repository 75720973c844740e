#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

using Platform::ObjectKind;
using Platform::StoreClient;

/// Bytes of names inside a JSON text that are no valid UTF-8.
static std::vector<std::string> const kInvalidNames{ "e\xff",
                                                     "\xfe",
                                                     "\x80",
                                                     "e\xc3",
                                                     "\xe2\x82",
                                                     "\xc3(",
                                                     "overlong-\xc0\xaf",
                                                     "overlong-\xe0\x80\xaf",
                                                     "overlong-\xf0\x80\x80\xaf",
                                                     "surrogate-\xed\xa0\x80",
                                                     "surrogate-\\udc00",
                                                     "pair-\xed\xa0\xbd\xed\xb8\x80",
                                                     "beyond-\xf4\x90\x80\x80",
                                                     "five-\xf8\x88\x80\x80\x80" };

static std::vector<std::string> const kValidNames{
  "e", "\xc3\xa9", "\xe2\x82\xac", "\xef\xbf\xbd", "\xed\x9f\xbf", "\xf0\x9f\x98\x80", "\xf4\x8f\xbf\xbf"
};

static std::string
ObjectText(std::string const& aName)
{
  return R"({"metadata":{"name":")" + aName + R"(","revision":6},"spec":{}})";
}

// An object was logged under its raw name and used under another one, so that its removal changed nothing.
TEST(PlatformNameEncoding, LeavesOutObjectsWhoseNamesChangeWhenPrinted)
{
  for (auto const& name : kInvalidNames)
    EXPECT_FALSE(Platform::ParseObjectDocument(ObjectText(name), 1)) << testing::PrintToString(name);
  for (auto const& name : kValidNames) {
    SCOPED_TRACE(testing::PrintToString(name));
    auto const object = Platform::ParseObjectDocument(ObjectText(name), 1);
    ASSERT_TRUE(object);
    EXPECT_EQ(object->name, name);
    auto const printed = Platform::ParseObjectDocument(Platform::ToText(object->document), 1);
    ASSERT_TRUE(printed);
    EXPECT_EQ(printed->name, name);
  }
}

// Lists and watches handed on objects under names that do not survive printing.
TEST(PlatformNameEncoding, CountsObjectsInListsAndEventsAsLeftOut)
{
  PlatformWorld world(0);
  std::string name;
  std::vector<std::string> targets;
  HttpListener listener(world.loop.UvLoop(), world.clock, [&](std::shared_ptr<Exchange> const& aExchange) {
    auto const& target = targets.emplace_back(aExchange->Request().target);
    std::string body = R"({"as_of":7,)";
    if (target.find("watch=") != std::string::npos)
      body += R"("events":[{"deleted":false,"object":)" + ObjectText(name) + R"(},{"deleted":true,"object":)" +
              ObjectText(name) + R"(},{"deleted":false,"object":)" + ObjectText("sound") + "}]}";
    else if (target.find("after=") != std::string::npos)
      body += R"("has_more":false,"items":[)" + ObjectText("sound") + "]}";
    else
      body += R"("has_more":true,"items":[)" + ObjectText(name) + "]}";
    aExchange->Respond({ 200, { { "Store-Era", "1" } } }, body);
  });
  auto const address = world.NextAddress();
  ASSERT_TRUE(listener.Open(address));
  StoreClient client(world.callers, address);
  auto const expect = [&](bool aUsable) {
    SCOPED_TRACE(testing::PrintToString(name));
    targets.clear();
    auto const list = std::make_shared<std::optional<Platform::ObjectList>>();
    client.List(ObjectKind::Endpoint, [list](Platform::ObjectList aList) { *list = std::move(aList); });
    ASSERT_TRUE(world.RunUntil([&] { return list->has_value(); }, 2s));
    EXPECT_EQ((*list)->outcome, Platform::StoreOutcome::Done);
    EXPECT_EQ((*list)->objects.size(), aUsable ? 2U : 1U);
    EXPECT_EQ((*list)->leftOut, aUsable ? 0U : 1U);
    EXPECT_EQ(targets.size(), 2U);
    auto const watch = std::make_shared<std::optional<Platform::ObjectEvents>>();
    client.Watch(ObjectKind::Endpoint, MakePosition(1, 5), 1s, [watch](Platform::ObjectEvents aEvents) {
      *watch = std::move(aEvents);
    });
    ASSERT_TRUE(world.RunUntil([&] { return watch->has_value(); }, 2s));
    EXPECT_EQ((*watch)->outcome, Platform::StoreOutcome::Done);
    EXPECT_EQ((*watch)->events.size(), aUsable ? 3U : 1U);
    EXPECT_EQ((*watch)->leftOut, aUsable ? 0U : 2U);
  };
  for (auto const& invalid : kInvalidNames) {
    name = invalid;
    expect(false);
  }
  for (auto const& valid : kValidNames) {
    name = valid;
    expect(true);
  }
}

}
