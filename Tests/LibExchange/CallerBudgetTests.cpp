#include <LibExchange/CallerBudget.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Hornbeam::Gateway {

static constexpr MonotonicTime kStart{ 1h };

/// Opens an account that holds aBytes in aState.
static CallerId
Add(CallerBudget& aBudget, std::string const& aAddress, CallerState aState, std::size_t aBytes, MonotonicTime aNow)
{
  auto const id = OpenAccount(aBudget, CallerGroup::Callers, aAddress, aNow);
  UpdateAccount(aBudget, id, { aState, aBytes }, aNow);
  return id;
}

/// Does what a decision says, as a connection does it.
static void
Apply(CallerBudget& aBudget, RoomDecision const& aDecision, MonotonicTime aNow)
{
  auto usage = aBudget.accounts.at(aDecision.id).usage;
  if (aDecision.action == RoomAction::CloseUnread)
    return CloseAccount(aBudget, aDecision.id);
  if (aDecision.action == RoomAction::DropPipelined)
    usage.pipelinedBytes = 0;
  else
    usage = { CallerState::Closing };
  UpdateAccount(aBudget, aDecision.id, usage, aNow);
}

// A request that was still arriving had to give way to one that had stopped short of its end.
TEST(CallerBudget, RefusesWhatHoldsMostForLongestFirst)
{
  CallerBudget budget{ { 1000 } };
  auto const stalled = Add(budget, "a", CallerState::Receiving, 400, kStart);
  Add(budget, "a", CallerState::Receiving, 100, kStart);
  auto const active = Add(budget, "a", CallerState::Receiving, 500, kStart);
  EXPECT_FALSE(NextForRoom(budget, kStart));
  UpdateAccount(budget, active, { CallerState::Receiving, 600, 0, 0, 100000 }, kStart + 2s);
  auto const decision = NextForRoom(budget, kStart + 2s);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->id, stalled);
  EXPECT_EQ(decision->action, RoomAction::RefuseRequest);
}

// A caller that sent single bytes counted as active and kept what it held.
TEST(CallerBudget, DoesNotTakeSingleBytesForProgress)
{
  CallerBudget budget{ { 1000 } };
  auto const trickling = Add(budget, "a", CallerState::Receiving, 500, kStart);
  for (unsigned byte = 1; byte <= 100; ++byte)
    UpdateAccount(budget, trickling, { CallerState::Receiving, 500, 0, 0, byte }, kStart + byte * 10ms);
  Add(budget, "a", CallerState::Receiving, 501, kStart + 1s);
  EXPECT_EQ(NextForRoom(budget, kStart + 1s)->id, trickling);
}

// Many connections of one address crowded out the request of another address.
TEST(CallerBudget, RefusesTheAddressThatHoldsMost)
{
  CallerBudget budget{ { 1000 } };
  auto const single = Add(budget, "b", CallerState::Receiving, 200, kStart);
  for (unsigned index = 0; index < 20; ++index)
    Add(budget, "a", CallerState::Receiving, 50, kStart + 1s);
  while (auto const decision = NextForRoom(budget, kStart + 2s)) {
    EXPECT_NE(decision->id, single);
    Apply(budget, *decision, kStart + 2s);
  }
  EXPECT_EQ(budget.bytes, 1000U);
}

// A request in progress was refused although it may have run; only what was received after it, and then the connection
// of a caller that does not read, may go.
TEST(CallerBudget, NeverRefusesARequestInProgress)
{
  CallerBudget budget{ { 1000 } };
  auto const serving = Add(budget, "a", CallerState::Serving, 900, kStart);
  auto const pipelining = OpenAccount(budget, CallerGroup::Callers, "a", kStart);
  UpdateAccount(budget, pipelining, { CallerState::Serving, 50, 200 }, kStart);
  auto const unread = OpenAccount(budget, CallerGroup::Callers, "a", kStart);
  UpdateAccount(budget, unread, { CallerState::Serving, 10, 0, 300 }, kStart);
  auto decision = NextForRoom(budget, kStart + 1s);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->id, pipelining);
  EXPECT_EQ(decision->action, RoomAction::DropPipelined);
  Apply(budget, *decision, kStart + 1s);
  decision = NextForRoom(budget, kStart + 1s);
  ASSERT_TRUE(decision);
  EXPECT_EQ(decision->id, unread);
  EXPECT_EQ(decision->action, RoomAction::CloseUnread);
  Apply(budget, *decision, kStart + 1s);
  EXPECT_FALSE(NextForRoom(budget, kStart + 1s));
  UpdateAccount(budget, serving, { CallerState::Serving, 2000 }, kStart + 1s);
  EXPECT_FALSE(NextForRoom(budget, kStart + 1s));
}

// Connections that only opened kept ordinary callers from connecting, and requests in progress were closed for new
// connections.
TEST(CallerBudget, ClosesConnectionsThatNeverCompletedARequestFirst)
{
  CallerBudget budget{ { 1000, 3 } };
  auto const serving = Add(budget, "a", CallerState::Serving, 1, kStart);
  auto const kept = Add(budget, "a", CallerState::Idle, 1, kStart);
  UpdateAccount(budget, kept, { CallerState::Idle, 1, 0, 0, 0, 1 }, kStart);
  auto const opened = Add(budget, "a", CallerState::Idle, 1, kStart + 1s);
  EXPECT_FALSE(ConnectionToClose(budget, opened));
  auto const next = Add(budget, "a", CallerState::Idle, 1, kStart + 2s);
  EXPECT_EQ(ConnectionToClose(budget, next), opened);
  CloseAccount(budget, opened);
  UpdateAccount(budget, next, { CallerState::Serving, 1 }, kStart + 2s);
  auto const third = Add(budget, "a", CallerState::Idle, 1, kStart + 3s);
  EXPECT_EQ(ConnectionToClose(budget, third), kept);
  UpdateAccount(budget, kept, { CallerState::Serving, 1 }, kStart + 3s);
  EXPECT_EQ(ConnectionToClose(budget, third), third);
  EXPECT_TRUE(budget.accounts.contains(serving));
}

// Callers took the connections that the platform needs for its readiness probes.
TEST(CallerBudget, KeepsConnectionsForTheInternalAddresses)
{
  CallerBudget budget{ { 1000, 2, 1 } };
  for (unsigned index = 0; index < 2; ++index)
    Add(budget, "a", CallerState::Serving, 1, kStart);
  auto const probe = OpenAccount(budget, CallerGroup::Internal, "p", kStart);
  EXPECT_FALSE(ConnectionToClose(budget, probe));
  auto const second = OpenAccount(budget, CallerGroup::Internal, "p", kStart);
  EXPECT_EQ(ConnectionToClose(budget, second), probe);
}

// The process kept the memory of a crowd, or searched for free memory at each request.
TEST(CallerBudget, ReturnsMemoryOnceAfterACrowd)
{
  CallerBudget budget{ { 1000 } };
  auto const id = Add(budget, "a", CallerState::Receiving, 501, kStart);
  EXPECT_FALSE(TimeToReturnMemory(budget, kStart));
  CloseAccount(budget, id);
  EXPECT_EQ(TimeToReturnMemory(budget, kStart), kStart);
  OnMemoryReturned(budget, kStart);
  EXPECT_FALSE(TimeToReturnMemory(budget, kStart));
  CloseAccount(budget, Add(budget, "a", CallerState::Receiving, 600, kStart));
  EXPECT_EQ(TimeToReturnMemory(budget, kStart + 200ms), kStart + 1s);
}

// The sums drifted from the accounts, or the decisions left more than the limit while there was something to refuse.
TEST(CallerBudget, HoldsItsLimitForAnySequenceOfEvents)
{
  rc::check([] {
    CallerBudget budget{ { 10000, 20 } };
    auto now = kStart;
    for (auto const step : *rc::gen::container<std::vector<unsigned>>(200, rc::gen::inRange(0U, 1000000U))) {
      now += std::chrono::milliseconds(step % 97);
      auto const& accounts = budget.accounts;
      if (accounts.empty() || step % 4 == 0) {
        auto const opened = OpenAccount(budget, CallerGroup::Callers, std::to_string(step % 3), now);
        if (auto const closed = ConnectionToClose(budget, opened))
          CloseAccount(budget, *closed);
      } else {
        auto const id = std::next(accounts.begin(), long(step / 7 % accounts.size()))->first;
        auto const inProgress = step % 5 == 0;
        // Requests in progress together hold at most half of the limit here, as admission leaves them.
        CallerUsage const usage{ inProgress ? CallerState::Serving : CallerState::Receiving,
                                 inProgress ? 250U : step % 4000U,
                                 inProgress ? step % 700U : 0U,
                                 inProgress ? step % 900U : 0U,
                                 step };
        UpdateAccount(budget, id, usage, now);
      }
      while (auto const decision = NextForRoom(budget, now))
        Apply(budget, *decision, now);
      RC_ASSERT(budget.bytes <= budget.limits.bytes);
      RC_ASSERT(budget.callers <= budget.limits.connections);
      std::size_t sum = 0;
      for (auto const& [id, account] : budget.accounts)
        sum += HeldBytes(account.usage);
      RC_ASSERT(sum == budget.bytes);
    }
  });
}

}
