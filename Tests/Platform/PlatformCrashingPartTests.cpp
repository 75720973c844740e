#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

/// From the platform's rules: this long after the fifth crash, at most kMaxLateRequests more requests with the part may
/// reach endpoints.
static constexpr Duration kContactTime = 3s;
static constexpr std::size_t kCrashesBeforeBound = 5;
static constexpr std::size_t kMaxLateRequests = 3;

/// Three of four fronts and model endpoints that crash when they begin to answer a prompt with the part "dead".
struct CrashingWorld
{
  explicit CrashingWorld(std::string aUnknownKind = "")
    : world(4)
  {
    this->world.store->unknownKind = std::move(aUnknownKind);
    for (unsigned index = 0; index < 8; ++index) {
      auto& endpoint = this->world.AddEndpoint(EndpointKind::Model, "model");
      endpoint.crashingPart = "dead";
      endpoint.events = 60;
      endpoint.onReturn = [this, &endpoint](std::string const& aPreviousId) {
        this->world.store->Remove("servers", aPreviousId);
        this->world.Register(endpoint, "model", "ready");
      };
    }
    this->world.PutTable(1);
    for (unsigned front = 0; front < 3; ++front)
      this->world.StartFront(front);
    for (auto const* name : { "front-0", "front-1", "front-2" })
      EXPECT_TRUE(this->world.RunUntil([&] { return this->world.store->Has("fronts", name); }));
    this->world.RunFor(100ms);
  }

  std::shared_ptr<CallerResponse> Send(std::string const& aParts)
  {
    auto const number = this->sent++;
    CallerRequest request;
    request.target = "/model/x";
    request.id = "r" + std::to_string(number);
    request.extraFields = { { "Hornbeamfront-Prefix-Hash", aParts + ",own" + std::to_string(number) + ":5" },
                            { "Hornbeamfront-Token-Usage", "35,9" } };
    return this->world.Send(unsigned(number % 3), request);
  }

  /// Sends sound requests at all fronts and, if aWithDead, requests with the part in between.
  void SendFor(Duration aTime, bool aWithDead)
  {
    auto const end = this->world.clock.Now() + aTime;
    for (unsigned round = 0; this->world.clock.Now() < end; ++round) {
      auto const now = this->world.clock.Now();
      this->sound.emplace_back(now, this->Send("first:10,shared:20"));
      if (aWithDead && round % 7 == 0)
        this->dead.emplace_back(now, this->Send("first:10,dead:30,shared:20"));
      this->world.RunFor(50ms);
    }
  }

  std::vector<MonotonicTime> CrashTimes() const
  {
    std::vector<MonotonicTime> times;
    for (auto const& endpoint : this->world.endpoints)
      times.insert(times.end(), endpoint->crashTimes.begin(), endpoint->crashTimes.end());
    std::ranges::sort(times);
    return times;
  }

  std::size_t CountDeadAtEndpointsSince(MonotonicTime aTime) const
  {
    std::size_t count = 0;
    for (auto const& endpoint : this->world.endpoints)
      for (auto const& seen : endpoint->seen)
        if (seen.at >= aTime && FieldValue(seen.fields, "Hornbeamfront-Prefix-Hash").find("dead") != std::string::npos)
          ++count;
    return count;
  }

  using Sent = std::vector<std::pair<MonotonicTime, std::shared_ptr<CallerResponse>>>;

  static std::size_t CountNotServed(Sent const& aRequests, MonotonicTime aSince)
  {
    return std::size_t(std::ranges::count_if(aRequests, [&](auto const& aRequest) {
      auto const& [at, response] = aRequest;
      return at >= aSince && (response->status != 200 || response->end != CallEnd::Complete);
    }));
  }

  PlatformWorld world;
  Sent sound;
  Sent dead;
  std::size_t sent{ 0 };
};

// Each front kept to itself which prompts crash endpoints, and none by part of the prompt: such requests ended one
// endpoint after the other.
TEST(Platform, StopsSendingAPartThatCrashesEndpoints)
{
  CrashingWorld crashing;
  auto const start = crashing.world.clock.Now();
  crashing.SendFor(1s, false);
  crashing.SendFor(8s, true);
  auto const end = crashing.world.clock.Now();
  crashing.SendFor(1s, false);
  crashing.world.RunUntil(
    [&] { return std::ranges::all_of(crashing.sound, [](auto const& aRequest) { return aRequest.second->ended; }); });
  auto const crashes = crashing.CrashTimes();
  auto const bound =
    (crashes.size() < kCrashesBeforeBound ? crashes.back() : crashes[kCrashesBeforeBound - 1]) + kContactTime;
  ASSERT_LT(bound, end);
  EXPECT_LE(crashing.CountDeadAtEndpointsSince(bound), kMaxLateRequests) << crashes.size() << " crashes";
  // Sound requests of the same caller, route, first part and other parts are served.
  EXPECT_EQ(CrashingWorld::CountNotServed(crashing.sound, bound), 0U);
  crashing.sound.resize(std::size_t(
    std::ranges::count_if(crashing.sound, [&](auto const& aRequest) { return aRequest.first < start + 500ms; })));
  EXPECT_EQ(CrashingWorld::CountNotServed(crashing.sound, start), 0U);
}

/// Returns the parts that a front refuses.
static std::vector<std::string>
QuarantinedAt(PlatformWorld& aWorld, unsigned aFront)
{
  std::vector<std::string> parts;
  for (auto const& item : CachedStateOf(aWorld, aFront).value("quarantined", nlohmann::json::array()))
    parts.push_back(item.value("candidate", ""));
  return parts;
}

TEST(Platform, RefusesAQuarantinedPartWithTheTimeLeft)
{
  CrashingWorld crashing;
  crashing.SendFor(500ms, false);
  crashing.SendFor(2500ms, true);
  auto const response = crashing.Send("first:10,dead:30,shared:20");
  ASSERT_TRUE(crashing.world.RunUntil([&] { return response->ended; }));
  EXPECT_EQ(response->status, 503U);
  auto const* const retryAfter = FindField(response->fields, "Retry-After");
  ASSERT_NE(retryAfter, nullptr);
  EXPECT_GT(std::stod(*retryAfter), 60);
  // The others of the same first part and caller are served.
  for (auto const* parts : { "first:10,shared:20", "first:10,other:30", "first:10" }) {
    auto const sound = crashing.Send(parts);
    ASSERT_TRUE(crashing.world.RunUntil([&] { return sound->ended; }));
    EXPECT_EQ(sound->status, 200U) << parts;
  }
}

// A front that started after the crashes learns of them from the store, and one that has lost the store keeps them.
TEST(Platform, KnowsQuarantinedPartsAfterAStartAndWithoutTheStore)
{
  CrashingWorld crashing;
  crashing.SendFor(500ms, false);
  crashing.SendFor(2500ms, true);
  auto& world = crashing.world;
  auto const expected = std::vector<std::string>{ "dead" };
  EXPECT_EQ(QuarantinedAt(world, 0), expected);
  world.StartFront(3);
  EXPECT_TRUE(world.RunUntil([&] { return QuarantinedAt(world, 3) == expected; }));
  world.store->behavior = StoreBehavior::Refusing;
  world.store->CutWatches();
  world.RunFor(1s);
  for (unsigned front = 0; front < 4; ++front)
    EXPECT_EQ(QuarantinedAt(world, front), expected) << "front " << front;
}

// Fronts must start and serve, and each act on the crashes that it sees, if the store does not know the kind.
TEST(Platform, ServesIfTheStoreDoesNotKnowCrashReports)
{
  CrashingWorld crashing("endpoint-crashes");
  crashing.SendFor(500ms, false);
  crashing.world.RunFor(500ms);
  EXPECT_EQ(CrashingWorld::CountNotServed(crashing.sound, {}), 0U);
  for (unsigned front = 0; front < 3; ++front)
    EXPECT_TRUE(CachedStateOf(crashing.world, front)["store_reached"].get<bool>());
  crashing.SendFor(4s, true);
  EXPECT_EQ(QuarantinedAt(crashing.world, 0), std::vector<std::string>{ "dead" });
}

// The reports were lost with a restore of the store, and what had been learnt from them was forgotten.
TEST(PlatformRestore, KeepsAQuarantineAndWritesItsReportsAgain)
{
  CrashingWorld crashing;
  auto& world = crashing.world;
  world.store->TakeCopy();
  crashing.SendFor(500ms, false);
  crashing.SendFor(2500ms, true);
  auto const expected = std::vector<std::string>{ "dead" };
  ASSERT_EQ(QuarantinedAt(world, 0), expected);
  auto const reports = world.store->Count("endpoint-crashes");
  ASSERT_GT(reports, 0U);
  auto const creations = world.store->creations;
  world.store->Restore();
  ASSERT_EQ(world.store->Count("endpoint-crashes"), 0U);
  auto const isForgotten = [&] {
    for (unsigned front = 0; front < 3; ++front)
      if (QuarantinedAt(world, front) != expected)
        return true;
    return false;
  };
  EXPECT_FALSE(HappensWithin(world, isForgotten, 4s));
  EXPECT_EQ(world.store->Count("endpoint-crashes"), reports);
  // Each report once, and the entries of three fronts.
  EXPECT_LE(world.store->creations - creations, reports + 3);
}

}
