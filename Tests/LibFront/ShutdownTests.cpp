#include <World/StandardWorld.h>
#include <algorithm>
#include <array>
#include <gtest/gtest.h>

using namespace Hornbeam;

namespace {

/// The stop of front-2 of the standard world.
struct ShutdownTest : public testing::Test
{
  explicit ShutdownTest(Duration aGrace = 50s)
    : world(MakeStandardWorld(1, true, aGrace))
  {
    EXPECT_TRUE(this->world->AwaitMembership(20s));
  }

  /// Sends a request with a new input to front-2.
  std::shared_ptr<TrackedRequest> Send(std::string const& aPipeline, std::string const& aKey = {})
  {
    return this->world->Submit("front-2", aPipeline, "brewers", "input-" + std::to_string(++this->sent), aKey);
  }

  /// Makes the non-repeatable calls take aDuration, and raises their deadline to 9 s.
  void SlowRedemptionDown(Duration aDuration)
  {
    for (std::string const name : { "redemption-1", "redemption-2" }) {
      auto& model = this->world->Endpoint(name).Model();
      model.slowness = Seconds(aDuration) / Seconds(model.settings.service);
    }
    RowEdit const edit{ { RowKind::Pipeline, "redeem" }, RowEditKind::Merge, { { "deadline_ms", "9000" } }, {} };
    this->world->Edit("front-1", { "longer-deadline", { edit } });
    this->world->Advance(2s);
  }

  bool IsLeaving()
  {
    return this->world->FrontNamed("front-2").Find<MembershipService>(ServiceName::kMembership).State().leaving;
  }

  /// Sends a request every aInterval until front-2 has ended. Returns false if that takes longer than aLimit.
  bool SendUntilEnd(Duration aInterval, Duration aLimit)
  {
    auto const begunAt = this->world->Now();
    while (!this->world->HasEnded("front-2")) {
      if (this->world->Now() - begunAt > aLimit)
        return false;
      this->Send("notes");
      this->world->Advance(aInterval);
    }
    return true;
  }

  /// Expects that every request got one true response.
  void ExpectAllAnswered()
  {
    this->world->Advance(7s);
    this->world->CheckResponses();
    for (auto const& violation : this->world->Violations())
      ADD_FAILURE() << violation;
  }

  std::unique_ptr<World> world;
  int sent{ 0 };
};

// Requests that arrived while the front left the membership were cut at the end of its process.
TEST_F(ShutdownTest, AnswersRequestsThatArriveWhileItLeaves)
{
  this->world->Shutdown("front-2");
  EXPECT_TRUE(this->world->AdvanceUntil(10s, [this] { return this->IsLeaving(); }));
  EXPECT_TRUE(this->SendUntilEnd(5ms, 9s));
  this->ExpectAllAnswered();
}

// The same while the store is down: leaving takes until its timeout.
TEST_F(ShutdownTest, AnswersRequestsThatArriveWhileItCannotLeave)
{
  this->world->Shutdown("front-2");
  this->world->Store().SetFault(StoreFault::Down);
  EXPECT_TRUE(this->world->AdvanceUntil(10s, [this] { return this->IsLeaving(); }));
  EXPECT_TRUE(this->SendUntilEnd(100ms, 9s));
  this->ExpectAllAnswered();
}

// A request that the front had forwarded to the front of its key was cut at the end of the process.
TEST_F(ShutdownTest, AwaitsRequestsThatItForwarded)
{
  this->SlowRedemptionDown(4s);
  this->world->Shutdown("front-2");
  this->world->Advance(2900ms);
  auto const forwarded = this->Send("redeem", this->world->KeyPrefix("front-1") + "~k");
  EXPECT_TRUE(this->world->AdvanceUntil(20s, [this] { return this->world->HasEnded("front-2"); }));
  this->ExpectAllAnswered();
  EXPECT_EQ(forwarded->responseCount, 1);
}

// A front whose callers stayed waited for an instant without an active request, for ever.
TEST_F(ShutdownTest, EndsAlthoughCallersStay)
{
  this->world->Shutdown("front-2");
  // The address expires after 3 s, requests have a deadline of 5 s, and leaving takes a lease of 2 s and a little more.
  EXPECT_TRUE(this->SendUntilEnd(25ms, 11s));
  this->ExpectAllAnswered();
}

// A stop that comes before the front is a member, and comes twice, must lead to one orderly end.
TEST_F(ShutdownTest, EndsOnceWhenItIsStoppedDuringItsStart)
{
  this->world->Restart("front-2");
  this->world->Shutdown("front-2");
  this->world->Shutdown("front-2");
  auto const request = this->Send("notes");
  EXPECT_TRUE(this->world->AdvanceUntil(20s, [this] { return this->world->HasEnded("front-2"); }));
  EXPECT_EQ(request->responseCount, 1);
  this->ExpectAllAnswered();
}

/// Callers that each send a request every 80 ms to the address that they got from GET /v1/entry, which they keep for as
/// long as they may.
class KeepingCallers
{
public:
  explicit KeepingCallers(World& aWorld)
    : world(aWorld)
  {
  }

  void Run(Duration aDuration)
  {
    for (Duration done{ 0 }; done < aDuration; done += 20ms)
      this->Step();
  }

  void Step()
  {
    auto& caller = this->callers[this->turn++ % this->callers.size()];
    if (this->world.Now() >= caller.keepUntil || this->world.HasEnded(caller.front)) {
      caller.front = this->Entry();
      caller.keepUntil = this->world.Now() + 2s;
    }
    this->requests.push_back(
      this->world.Submit(caller.front, "notes", "brewers", "kept-" + std::to_string(this->turn)));
    this->world.Advance(20ms);
  }

  std::vector<std::shared_ptr<TrackedRequest>> requests;

private:
  struct Caller
  {
    std::string front{ "front-1" };
    MonotonicTime keepUntil{};
  };

  /// The address that the first running front gives.
  std::string Entry()
  {
    for (std::string const name : { "front-1", "front-2", "front-3" }) {
      if (this->world.HasEnded(name))
        continue;
      auto const members =
        this->world.FrontNamed(name).Find<MembershipService>(ServiceName::kMembership).AvailableMembers();
      if (!members.empty())
        return members[this->entries++ % members.size()].name;
    }
    ADD_FAILURE() << "no front serves";
    return "front-1";
  }

  World& world;
  std::array<Caller, 4> callers;
  std::size_t turn{ 0 };
  std::size_t entries{ 0 };
};

struct RestartsInTurnTest : public ShutdownTest
{
  RestartsInTurnTest()
  {
    for (std::string const name : { "front-1", "front-2", "front-3" }) {
      this->world->Shutdown(name);
      auto const begunAt = this->world->Now();
      while (!this->world->HasEnded(name) && this->world->Now() - begunAt < 20s)
        this->callers.Step();
      EXPECT_TRUE(this->world->HasEnded(name));
      this->callers.Run(500ms);
      this->world->Restart(name);
      this->callers.Run(6s);
    }
    this->ExpectAllAnswered();
  }

  KeepingCallers callers{ *this->world };
};

// Restarts in turn cut requests at the end of each process; callers that keep an address no longer than they may must
// not even be refused because a front stops.
TEST_F(RestartsInTurnTest, CutNoRequestAndRefuseNoneForAStop)
{
  for (auto const& request : this->callers.requests) {
    EXPECT_EQ(request->responseCount, 1);
    EXPECT_TRUE(!request->response.refusal || request->response.refusal->reason != RefusalReason::FrontStopping);
  }
}

// After a restarted front has joined, requests are refused for a limit of their account that is far away.
TEST_F(RestartsInTurnTest, DISABLED_CompleteEveryRequest)
{
  auto const refused = std::ranges::count_if(
    this->callers.requests, [](auto const& aRequest) { return aRequest->response.refusal.has_value(); });
  EXPECT_EQ(refused, 0) << "of " << this->callers.requests.size();
}

constexpr Duration kShortGrace = 10s;

/// The same with a grace time that is hardly longer than callers keep the address, and slow endpoints.
struct ShortGraceTest : public ShutdownTest
{
  ShortGraceTest()
    : ShutdownTest(kShortGrace)
  {
  }

  /// Advances until front-2 has ended, which must be before its process would be killed.
  void AwaitEnd(MonotonicTime aShutdownAt)
  {
    EXPECT_TRUE(this->world->AdvanceUntil(60s, [this] { return this->world->HasEnded("front-2"); }));
    EXPECT_LT(this->world->Now() - aShutdownAt, kShortGrace);
  }
};

// Requests that were taken late ran when the process was killed.
TEST_F(ShortGraceTest, RefusesAtOnceWhatItCannotCompleteBeforeItIsKilled)
{
  this->SlowRedemptionDown(3s);
  auto const prefix = this->world->KeyPrefix("front-2");
  // The front learns how long the calls take.
  for (int number = 0; number < 8; ++number) {
    this->Send("redeem", prefix + "~" + std::to_string(number));
    this->world->Advance(4s);
  }
  auto const early = this->Send("redeem", prefix + "~early");
  this->world->Advance(100ms);
  auto const shutdownAt = this->world->Now();
  this->world->Shutdown("front-2");
  this->world->Advance(2500ms);
  auto const late = this->Send("redeem", prefix + "~late");
  auto const quick = this->Send("notes");
  this->AwaitEnd(shutdownAt);
  this->ExpectAllAnswered();
  EXPECT_FALSE(early->response.refusal);
  EXPECT_FALSE(quick->response.refusal);
  ASSERT_TRUE(late->response.refusal);
  EXPECT_LE(late->respondedAt - late->sentAt, 10ms);
  EXPECT_STREQ(ToString(late->response.refusal->reason), "front-stopping");
  EXPECT_EQ(late->response.refusal->run, RunState::NotRun);
  // Other fronts serve: the caller should go there at once.
  EXPECT_EQ(late->response.refusal->retryAfter, 0ms);
}

// A request that took longer than predicted ran when the process was killed.
TEST_F(ShortGraceTest, RespondsToRequestsThatOutlastItsGraceTime)
{
  this->SlowRedemptionDown(8500ms);
  auto const shutdownAt = this->world->Now();
  this->world->Shutdown("front-2");
  this->world->Advance(2500ms);
  auto const slow = this->Send("redeem", this->world->KeyPrefix("front-2") + "~k");
  this->AwaitEnd(shutdownAt);
  this->ExpectAllAnswered();
  ASSERT_TRUE(slow->response.refusal);
  EXPECT_EQ(slow->response.refusal->run, RunState::MayHaveRun);
}

// The same for a request that the front had forwarded to the front of its key.
TEST_F(ShortGraceTest, RespondsToForwardedRequestsThatOutlastItsGraceTime)
{
  this->SlowRedemptionDown(8500ms);
  auto const shutdownAt = this->world->Now();
  this->world->Shutdown("front-2");
  this->world->Advance(2500ms);
  auto const forwarded = this->Send("redeem", this->world->KeyPrefix("front-1") + "~k");
  this->AwaitEnd(shutdownAt);
  this->ExpectAllAnswered();
  ASSERT_TRUE(forwarded->response.refusal);
  EXPECT_EQ(forwarded->response.refusal->run, RunState::MayHaveRun);
}

}
