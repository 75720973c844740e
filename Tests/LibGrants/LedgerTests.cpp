#include <LibGrants/LibGrants.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace Hornbeam;

namespace {

MonotonicTime const kStart{ 1h };

GrantSettings const kSettings;

HoldingPolicy const kSingleSlots{ 0, 20ms };

TEST(Ledger, GrantsAtMostTheLimitAcrossAllHolders)
{
  Ledger ledger{ 3, {}, {} };
  auto const first = ProcessGrantRequest(ledger, { "a", 1, 0, 0, 2 }, kSettings, TakeoverRule::Withhold, 2, kStart);
  auto const second = ProcessGrantRequest(ledger, { "b", 1, 0, 0, 2 }, kSettings, TakeoverRule::Withhold, 2, kStart);
  ASSERT_TRUE(first && second);
  EXPECT_EQ(first->total, 2);
  EXPECT_EQ(second->total, 1);
}

TEST(Ledger, IgnoresARequestOlderThanTheLastOneProcessed)
{
  Ledger ledger{ 4, {}, {} };
  ASSERT_TRUE(ProcessGrantRequest(ledger, { "a", 5, 0, 0, 4 }, kSettings, TakeoverRule::Withhold, 1, kStart));
  EXPECT_FALSE(ProcessGrantRequest(ledger, { "a", 4, 0, 0, 0 }, kSettings, TakeoverRule::Withhold, 1, kStart));
  EXPECT_EQ(CommittedToOthers(ledger, "b", kStart), 4);
}

TEST(Ledger, WithholdsSlotsAfterATakeoverUntilEarlierWorkHasEnded)
{
  auto ledger = TakenOverLedger(kSettings, kStart);
  ledger.limit = 2;
  auto const early = ProcessGrantRequest(ledger, { "a", 1, 0, 0, 1 }, kSettings, TakeoverRule::Withhold, 2, kStart);
  EXPECT_EQ(early->total, 0);
  auto const later =
    ProcessGrantRequest(ledger, { "a", 2, 0, 0, 1 }, kSettings, TakeoverRule::Withhold, 2, ledger.takenOverUntil);
  EXPECT_EQ(later->total, 1);
}

TEST(Ledger, KeepsTheSlotsOfAnUnresponsiveHolderUntilItsWorkHasCertainlyEnded)
{
  Ledger ledger{ 1, {}, {} };
  ProcessGrantRequest(ledger, { "a", 1, 0, 0, 1 }, kSettings, TakeoverRule::Withhold, 2, kStart);
  auto const workEnds = kSettings.grantDuration + kSettings.maxWorkDuration;
  auto const during =
    ProcessGrantRequest(ledger, { "b", 1, 0, 0, 1 }, kSettings, TakeoverRule::Withhold, 2, kStart + workEnds);
  EXPECT_EQ(during->total, 0);
  auto const after = ProcessGrantRequest(
    ledger, { "b", 2, 0, 0, 1 }, kSettings, TakeoverRule::Withhold, 2, kStart + workEnds + kSettings.driftAllowance);
  EXPECT_EQ(after->total, 1);
}

TEST(Holding, StopsUsingReleasedSlotsBeforeTheOwnerResponds)
{
  // Guards against released slots staying committed at the owner for twelve seconds.
  Ledger ledger{ 1, {}, {} };
  Holding holding;
  holding.waiting = 1;
  auto const request = BeginGrantRequest(holding, "a", kSingleSlots, kStart);
  FinishGrantRequest(
    holding, *ProcessGrantRequest(ledger, request, kSettings, TakeoverRule::Withhold, 2, kStart), kSettings);
  ASSERT_TRUE(AcquireSlot(holding, kStart));
  holding.waiting = 0;
  ReleaseSlot(holding);
  auto const releaseRequest = BeginGrantRequest(holding, "a", kSingleSlots, kStart + 1ms);
  EXPECT_FALSE(AcquireSlot(holding, kStart + 1ms));
  ProcessGrantRequest(ledger, releaseRequest, kSettings, TakeoverRule::Withhold, 2, kStart + 1ms);
  auto const other =
    ProcessGrantRequest(ledger, { "b", 1, 0, 0, 1 }, kSettings, TakeoverRule::Withhold, 2, kStart + 2ms);
  EXPECT_EQ(other->total, 1);
}

TEST(Holding, IgnoresTheResponseToACancelledRequest)
{
  Holding holding;
  holding.waiting = 1;
  auto const request = BeginGrantRequest(holding, "a", kSingleSlots, kStart);
  SuspendHolding(holding);
  FinishGrantRequest(holding, { 4, request.sequence }, kSettings);
  EXPECT_EQ(AvailableSlots(holding, kStart), 0);
  EXPECT_TRUE(IsGrantRequestDue(holding, kSingleSlots, kSettings, kStart));
}

TEST(Holding, UsesNoSlotOfAnExpiredGrant)
{
  Holding holding;
  holding.waiting = 1;
  auto const request = BeginGrantRequest(holding, "a", kSingleSlots, kStart);
  FinishGrantRequest(holding, { 1, request.sequence }, kSettings);
  EXPECT_EQ(AvailableSlots(holding, kStart + kSettings.grantDuration - 1ms), 1);
  EXPECT_EQ(AvailableSlots(holding, kStart + kSettings.grantDuration), 0);
}

/// One holder of the random schedule, whose messages may be lost, delayed or reordered.
struct ScheduledHolder
{
  std::string name;
  Holding holding;
  std::vector<GrantRequest> requests;
  std::vector<Grant> responses;
};

TEST(LedgerProperty, UseNeverExceedsTheLimitWithLostOrReorderedMessages)
{
  bool const holds = rc::check("slots in use stay within the limit", [] {
    int const limit = *rc::gen::inRange(1, 6);
    Ledger ledger{ limit, {}, {} };
    std::vector<ScheduledHolder> holders{ { "a", {}, {}, {} }, { "b", {}, {}, {} }, { "c", {}, {}, {} } };
    auto now = kStart;
    auto const steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 900));
    for (int const step : steps) {
      auto& holder = holders[static_cast<std::size_t>(step) % holders.size()];
      auto& holding = holder.holding;
      switch (step / 3 % 9) {
        case 0:
          holding.waiting = step / 27 % 4;
          break;
        case 1:
        case 2:
          if (!holding.requestSentAt)
            holder.requests.push_back(BeginGrantRequest(holding, holder.name, kSingleSlots, now));
          break;
        case 3:
          // One of the requests in flight arrives; the others stay in flight.
          if (!holder.requests.empty()) {
            auto const index = static_cast<std::size_t>(step / 27) % holder.requests.size();
            auto const response =
              ProcessGrantRequest(ledger, holder.requests[index], kSettings, TakeoverRule::Withhold, 3, now);
            if (response)
              holder.responses.push_back(*response);
          }
          break;
        case 4:
          if (!holder.responses.empty()) {
            auto const index = static_cast<std::size_t>(step / 27) % holder.responses.size();
            FinishGrantRequest(holding, holder.responses[index], kSettings);
          }
          break;
        case 5:
          FailGrantRequest(holding, kSingleSlots, now);
          break;
        case 6:
          AcquireSlot(holding, now);
          break;
        case 7:
          if (holding.used > 0)
            ReleaseSlot(holding);
          break;
        default:
          now += std::chrono::milliseconds(step);
          break;
      }
      int used = 0;
      for (auto const& each : holders)
        used += each.holding.used;
      // Work ends at its deadline and never takes longer than maxWorkDuration, which the schedule does not model.
      // Longer schedules are discarded.
      RC_PRE(now - kStart < kSettings.maxWorkDuration);
      RC_ASSERT(used <= limit);
    }
  });
  EXPECT_TRUE(holds);
}

PoolRow const kPool{ "generate", PoolKind::Engine, 2, 16, 100ms };

TEST(EndpointPhase, RaisesTheLimitStepByStepAfterSuccessfulCalls)
{
  EndpointPhase phase;
  ResetToCold(phase, kPool, kStart);
  EXPECT_EQ(LimitOf(phase, kPool), 2);
  auto now = kStart;
  double previous = 2;
  for (int round = 0; round < 40; ++round) {
    now += 1s;
    OnWorkObserved(phase, { 16, 0, 16 * 100ms }, kPool, {}, now);
    EXPECT_LE(phase.limit, std::max(previous + 1, previous * 1.5));
    EXPECT_LE(LimitOf(phase, kPool), phase.limit);
    previous = phase.limit;
  }
  EXPECT_EQ(LimitOf(phase, kPool), 16);
  EXPECT_EQ(phase.phase, Phase::Warm);
}

TEST(EndpointPhase, BecomesColdOnFailureRestartOrHighLatency)
{
  EndpointPhase const warm{ Phase::Warm, 16, 7, 100ms, 0, 0, {}, kStart };
  auto failed = warm;
  OnWorkObserved(failed, { 0, 1, {} }, kPool, {}, kStart);
  EXPECT_EQ(LimitOf(failed, kPool), 2);
  auto restarted = warm;
  OnReport(restarted, { 8, 0, 0 }, kPool, kStart);
  EXPECT_EQ(LimitOf(restarted, kPool), 2);
  auto slow = warm;
  OnWorkObserved(slow, { 3, 0, 3 * 500ms }, kPool, {}, kStart);
  EXPECT_EQ(LimitOf(slow, kPool), 2);
}

TEST(EndpointPhase, KeepsTheLimitBetweenTheTwoRatios)
{
  EndpointPhase phase{ Phase::Ramping, 4, 7, 100ms, 0, 0, {}, kStart };
  for (int round = 1; round < 20; ++round)
    OnWorkObserved(phase, { 6, 0, 6 * 300ms }, kPool, {}, kStart + round * 1s);
  EXPECT_EQ(LimitOf(phase, kPool), 4);
  EXPECT_EQ(phase.phase, Phase::Ramping);
}

TEST(EndpointPhase, IgnoresAHintAboutAnotherIncarnation)
{
  EndpointPhase phase;
  ResetToCold(phase, kPool, kStart);
  OnReport(phase, { 9, 0, 0 }, kPool, kStart);
  OnHint(phase, { 8, 16 }, kPool, kStart);
  EXPECT_EQ(LimitOf(phase, kPool), 2);
  OnHint(phase, { 9, 16 }, kPool, kStart);
  EXPECT_EQ(LimitOf(phase, kPool), 16);
}

}
