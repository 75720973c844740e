#include <World/StandardWorld.h>
#include <gtest/gtest.h>

using namespace Hornbeam;

namespace {

/// The stop of front-2 of the standard world.
struct ShutdownTest : public testing::Test
{
  ShutdownTest() { EXPECT_TRUE(this->world->AwaitMembership(20s)); }

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

  std::unique_ptr<World> world{ MakeStandardWorld() };
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

}
