#include "PlatformFixtures.h"

namespace Hornbeam::Testing {

/// From the platform's rules: this long after the third crash, at most kMaxLateRequests more of the request may reach
/// endpoints.
static constexpr Duration kContactTime = 3s;
static constexpr std::size_t kCrashesBeforeBound = 3;
static constexpr std::size_t kMaxLateRequests = 3;

static constexpr char kDead[] = "dead";

/// Fronts and endpoints that crash when they run a request with the body kDead.
struct CrashingRequestWorld
{
  CrashingRequestWorld(EndpointKind aKind, unsigned aEndpoints, std::string aTarget)
    : world(3)
    , target(std::move(aTarget))
  {
    std::string const service = aKind == EndpointKind::Plain ? "ledger" : "model";
    for (unsigned index = 0; index < aEndpoints; ++index) {
      auto& endpoint = this->world.AddEndpoint(aKind, service);
      endpoint.crashingBody = kDead;
      endpoint.workTime = 30ms;
      endpoint.onReturn = [this, &endpoint, service](std::string const& aPreviousId) {
        this->world.store->Remove("servers", aPreviousId);
        this->world.Register(endpoint, service, "ready");
      };
    }
    this->world.Start();
    for (auto const* name : { "front-0", "front-1", "front-2" })
      EXPECT_TRUE(this->world.RunUntil([&] { return this->world.store->Has("fronts", name); }));
    this->world.RunFor(100ms);
  }

  std::shared_ptr<CallerResponse> Send(std::string const& aBody)
  {
    auto const number = this->sent++;
    CallerRequest request;
    request.target = this->target;
    request.id = "r" + std::to_string(number);
    request.body = aBody;
    request.extraFields = { { "Hornbeamfront-Prefix-Hash", "first:10,shared:20,own:5" },
                            { "Hornbeamfront-Token-Usage", "35,9" } };
    return this->world.Send(unsigned(number % 3), request);
  }

  /// Sends sound requests at all fronts and, if aWithDead, the crashing one in between.
  void SendFor(Duration aTime, bool aWithDead)
  {
    auto const end = this->world.clock.Now() + aTime;
    for (unsigned round = 0; this->world.clock.Now() < end; ++round) {
      this->sound.emplace_back(this->world.clock.Now(), this->Send("sound " + std::to_string(this->sent)));
      if (aWithDead && round % 4 == 0)
        this->Send(kDead);
      this->world.RunFor(50ms);
    }
  }

  /// When the third endpoint crashed.
  std::optional<MonotonicTime> ThirdCrash() const
  {
    std::vector<MonotonicTime> times;
    for (auto const& endpoint : this->world.endpoints)
      times.insert(times.end(), endpoint->crashTimes.begin(), endpoint->crashTimes.end());
    std::ranges::sort(times);
    if (times.size() < kCrashesBeforeBound)
      return std::nullopt;
    return times[kCrashesBeforeBound - 1];
  }

  std::size_t CountDeadAtEndpointsSince(MonotonicTime aTime) const
  {
    std::size_t count = 0;
    for (auto const& endpoint : this->world.endpoints)
      for (auto const& seen : endpoint->seen)
        count += seen.at >= aTime && seen.body == kDead ? 1 : 0;
    return count;
  }

  std::size_t CountSoundNotServedSince(MonotonicTime aTime) const
  {
    return std::size_t(std::ranges::count_if(this->sound, [&](auto const& aRequest) {
      auto const& [at, response] = aRequest;
      return at >= aTime && (response->status != 200 || response->end != CallEnd::Complete);
    }));
  }

  void ExpectStopped()
  {
    this->SendFor(1s, false);
    this->SendFor(7s, true);
    auto const end = this->world.clock.Now();
    this->SendFor(500ms, false);
    this->world.RunUntil(
      [&] { return std::ranges::all_of(this->sound, [](auto const& aRequest) { return aRequest.second->ended; }); });
    auto const third = this->ThirdCrash();
    ASSERT_TRUE(third);
    ASSERT_LT(*third + kContactTime, end);
    EXPECT_LE(this->CountDeadAtEndpointsSince(*third + kContactTime), kMaxLateRequests);
    EXPECT_EQ(this->CountSoundNotServedSince(*third + kContactTime), 0U);
  }

  PlatformWorld world;
  std::string target;
  std::vector<std::pair<MonotonicTime, std::shared_ptr<CallerResponse>>> sound;
  std::size_t sent{ 0 };
};

// A request to a plain service ended one endpoint after the other: only parts of prompts were held against crashes.
TEST(PlatformCrashingRequest, StopsSendingItToAPlainService)
{
  CrashingRequestWorld crashing(EndpointKind::Plain, 3, "/safe/x");
  crashing.ExpectStopped();
}

// Requests that may run once came again and ended an endpoint each time.
TEST(PlatformCrashingRequest, StopsSendingOneThatMayRunOnce)
{
  CrashingRequestWorld crashing(EndpointKind::Plain, 3, "/plain/x");
  crashing.ExpectStopped();
}

// A prompt of which only the last part or the body is harmful shares all other parts with sound ones.
TEST(PlatformCrashingRequest, StopsSendingItToAModel)
{
  CrashingRequestWorld crashing(EndpointKind::Model, 5, "/model/x");
  crashing.ExpectStopped();
}

}
