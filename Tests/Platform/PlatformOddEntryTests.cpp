#include "PlatformFixtures.h"
#include <random>

namespace Hornbeam::Testing {

/// The time within which all fronts must know of another endpoint's departure.
static constexpr Duration kLearnBound = 4s;

static std::string
Nested(std::size_t aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

// One odd entry of another writer made fronts end, or stop following the list of endpoints.
TEST(PlatformOddEntry, DecidesOverNoOtherEntry)
{
  std::vector<std::string> const oddValues{ "1e999",
                                            "-1e999",
                                            "1e308",
                                            "99999999999999999999",
                                            "18446744073709551615",
                                            "-1",
                                            Nested(100000),
                                            Nested(40),
                                            "[]",
                                            "{}",
                                            "true",
                                            "\"\xff\xfe\"",
                                            "\"" + std::string(1 << 20, 'x') + "\"" };
  PlatformWorld world(3);
  world.AddEndpoint(EndpointKind::Plain, "ledger");
  auto const& leaving = world.AddEndpoint(EndpointKind::Plain, "ledger");
  world.Start();
  for (auto const* name : { "front-0", "front-1", "front-2" })
    ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", name); }));
  for (auto const* field : { "note", "cold_remaining_ms" })
    for (auto const& value : oddValues) {
      world.Register(leaving, "ledger", "ready");
      auto odd = StandInEntry("ledger", "127.0.0.1:1", "ready", "a");
      odd[field] = "@raw@";
      world.store->rawValue = value;
      world.store->Put("servers", "odd", odd);
      auto const isKnown = [&](unsigned aFront) {
        for (auto const& endpoint : CachedStateOf(world, aFront).value("endpoints", nlohmann::json::array()))
          if (endpoint["id"] == leaving.Id())
            return true;
        return false;
      };
      auto const areKnown = [&](bool aKnown) {
        return isKnown(0) == aKnown && isKnown(1) == aKnown && isKnown(2) == aKnown;
      };
      ASSERT_TRUE(HappensWithin(
        world, [&] { return areKnown(true); }, kLearnBound))
        << field << ' ' << value.substr(0, 30);
      world.store->Remove("servers", leaving.Id());
      ASSERT_TRUE(HappensWithin(
        world, [&] { return areKnown(false); }, kLearnBound))
        << field << ' ' << value.substr(0, 30);
    }
}

// A front that started while the odd entry was there had no list of endpoints at all.
TEST(PlatformOddEntry, DoesNotKeepAFrontFromStarting)
{
  PlatformWorld world(2);
  world.AddEndpoint(EndpointKind::Plain, "ledger");
  world.PutTable(1);
  for (auto const& [name, value] :
       std::map<std::string, std::string>{ { "deep", Nested(100000) }, { "large", "1e999" } }) {
    auto odd = StandInEntry("ledger", "127.0.0.1:1", "ready", "a");
    odd["note"] = "@raw@";
    world.store->rawValue = value;
    world.store->Put("servers", name, odd);
    auto const front = unsigned(world.fronts.size());
    world.StartFront(front);
    ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-" + std::to_string(front)); })) << name;
    EXPECT_EQ(world.Call(front, {}).status, 200U) << name;
  }
}

static std::optional<Gateway::EndpointEntry>
Decode(std::string const& aField, std::string const& aValue)
{
  auto entry = StandInEntry("ledger", "127.0.0.1:80", "ready", "a");
  entry[aField] = "@raw@";
  auto text = nlohmann::json{ { "metadata", { { "name", "e" }, { "revision", 1 } } }, { "spec", entry } }.dump();
  text.replace(text.find("\"@raw@\""), 7, aValue);
  auto const object = Platform::ParseObjectDocument(text, 0);
  std::string error;
  return object ? Platform::DecodeEndpoint(*object, error) : std::nullopt;
}

TEST(PlatformOddEntry, NamesNoEndpointIfAKnownFieldIsOdd)
{
  EXPECT_TRUE(Decode("note", "\"fine\""));
  EXPECT_TRUE(Decode("note", "1e999"));
  EXPECT_TRUE(Decode("note", Nested(100000)));
  EXPECT_TRUE(Decode("born", "1771182958200"));
  for (auto const* value : { "1e999", "1e308", "\"5\"", "[]" })
    EXPECT_FALSE(Decode("cold_remaining_ms", value)) << value;
  for (auto const* value : { "18446744073709551615", "1e999", "-1e30", "1.5" })
    EXPECT_FALSE(Decode("born", value)) << value;
  for (auto const* port : { "0", "65536", "70000", "99999999999999999999", "-1", "" })
    EXPECT_FALSE(Decode("address", "\"127.0.0.1:" + std::string(port) + "\"")) << port;
  EXPECT_FALSE(Decode("address", "\"" + std::string(1 << 20, '1') + "\""));
  EXPECT_FALSE(Decode("state", Nested(50)));
}

TEST(PlatformOddEntry, LeavesOutNamesThatCannotBeNamedInAPathOrALogLine)
{
  for (std::string const name : { "", "a/b", "a\nb", "a b" }) {
    auto const text = nlohmann::json{ { "metadata", { { "name", name } } }, { "spec", nlohmann::json::object() } };
    EXPECT_FALSE(Platform::ParseObjectDocument(text.dump(), 0)) << name;
  }
}

// Text from callers that is no UTF-8 ended the process when a message to the store or to an endpoint was made of it.
TEST(PlatformOddEntry, EncodesTextThatIsNoUtf8)
{
  EXPECT_FALSE(Platform::ToText({ { "id", "\xff\xfe" } }).empty());
  auto const parsed = Platform::ParseDocument("{\"a\": \"\xff\"}");
  EXPECT_TRUE(parsed.is_object());
}

// Any bytes lead to a decoded object or to none.
TEST(PlatformOddEntry, SurvivesRandomChangesOfADocument)
{
  std::minstd_rand random(20261205);
  auto const original = nlohmann::json{
    { "metadata", { { "name", "e" }, { "revision", 1 } } },
    { "spec", StandInEntry("ledger", "127.0.0.1:80", "ready", "a") }
  }.dump();
  std::string const bytes = "[]{}:,\"\\0123456789eE+-.tfnul \xff\x00";
  for (int round = 0; round < 20000; ++round) {
    auto text = original;
    for (auto changes = random() % 6 + 1; changes > 0; --changes) {
      auto const at = random() % text.size();
      if (random() % 3 == 0)
        text.insert(at, std::string(random() % 60, bytes[random() % bytes.size()]));
      else
        text[at] = bytes[random() % bytes.size()];
    }
    auto const object = Platform::ParseObjectDocument(text, 0);
    if (!object)
      continue;
    std::string error;
    Platform::DecodeEndpoint(*object, error);
    Platform::DecodeFront(*object, error);
    Platform::DecodeServingTable(*object, error);
    Platform::DecodeCrashReport(*object, error);
    Platform::DecodeStreamRecords(*object);
    Platform::DecodeSoftwareVersions(*object);
    EXPECT_FALSE(Platform::ToText(object->document).empty());
  }
}

}
