#include <World/StandardWorld.h>
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
    for (std::string const name : { "redemption-1", "redemption-2" })
      this->world->Endpoint(name).Model().slowness = aDuration / this->world->Endpoint(name).Model().settings.service;
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
  for (std::string const number : { "1", "2", "3", "4", "5", "6", "7", "8" }) {
    this->Send("redeem", prefix + "~" + number);
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
