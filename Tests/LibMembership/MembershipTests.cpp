#include <LibMembership/LibMembership.h>
#include <gtest/gtest.h>

using namespace Hornbeam;

namespace {

MonotonicTime const kStart{ 1h };

Member
MemberNamed(std::string const& aName, Incarnation aIncarnation = 1)
{
  return { aName, aIncarnation, aName + ":1", aName + ":2", "dc" };
}

/// Front a, active in epoch 1 with b and c.
MembershipState
ActiveState()
{
  MembershipState state;
  state.self = MemberNamed("a");
  state.record = EpochRecord{ 1, { MemberNamed("a"), MemberNamed("b"), MemberNamed("c") }, {}, {} };
  state.recordVersion = 10;
  state.activeEpoch = 1;
  state.table = 5;
  return state;
}

Heartbeat
ResponseFrom(std::string const& aName, EpochNumber aKnown, Revision aTable = 5, Incarnation aIncarnation = 1)
{
  Heartbeat response;
  response.name = aName;
  response.incarnation = aIncarnation;
  response.knownEpoch = aKnown;
  response.activeEpoch = 1;
  response.table = aTable;
  return response;
}

TEST(Lease, IsMeasuredFromTheSendTimeOfTheAcknowledgedHeartbeat)
{
  auto state = ActiveState();
  OnHeartbeatResponse(state, ResponseFrom("b", 1), kStart, kStart + 900ms);
  EXPECT_TRUE(HoldsLease(state, kStart + 1999ms));
  EXPECT_FALSE(HoldsLease(state, kStart + 2000ms));
}

TEST(Lease, IsNotAcknowledgedByAPeerWithANewerEpochOrTable)
{
  auto newerEpoch = ActiveState();
  OnHeartbeatResponse(newerEpoch, ResponseFrom("b", 2), kStart, kStart);
  EXPECT_FALSE(HoldsLease(newerEpoch, kStart));
  auto newerTable = ActiveState();
  auto const decisions = OnHeartbeatResponse(newerTable, ResponseFrom("b", 1, 6), kStart, kStart);
  EXPECT_FALSE(HoldsLease(newerTable, kStart));
  ASSERT_FALSE(decisions.empty());
  EXPECT_EQ(decisions.front().action, MembershipAction::FetchTable);
}

TEST(Lease, IsNotAcknowledgedByALaterProcessWithTheSameName)
{
  auto state = ActiveState();
  OnHeartbeatResponse(state, ResponseFrom("b", 1, 5, 2), kStart, kStart);
  EXPECT_FALSE(HoldsLease(state, kStart));
  EXPECT_TRUE(IsKnownTerminated(state, MemberNamed("b", 1)));
}

TEST(Lease, StaysValidButIsNotExtendedAfterANewerRecordIsReceived)
{
  // Without the previous lease, service stops for two seconds at each change of epoch.
  auto state = ActiveState();
  OnHeartbeatResponse(state, ResponseFrom("b", 1), kStart, kStart);
  EpochRecord const next{ 2, { MemberNamed("a"), MemberNamed("b") }, state.record->members, {} };
  OnRecordRead(state, next, 11, kStart + 100ms);
  ASSERT_NE(RecordInForce(state, kStart + 1s), nullptr);
  EXPECT_EQ(RecordInForce(state, kStart + 1s)->epoch, 1U);
  OnHeartbeatResponse(state, ResponseFrom("c", 1), kStart + 1s, kStart + 1s);
  EXPECT_EQ(RecordInForce(state, kStart + 2s), nullptr);
}

TEST(Handover, WaitsForAMajorityOfThePreviousEpochAndThenForTheirLeases)
{
  auto state = ActiveState();
  EpochRecord const next{ 2, { MemberNamed("a"), MemberNamed("b") }, state.record->members, {} };
  OnRecordRead(state, next, 11, kStart);
  OnTick(state, kStart + 10s);
  EXPECT_FALSE(IsKnownEpochActive(state)) << "only this front has received the record";
  OnHeartbeatResponse(state, ResponseFrom("b", 2), kStart + 10s, kStart + 10s);
  OnTick(state, kStart + 12s);
  EXPECT_FALSE(IsKnownEpochActive(state)) << "a lease may have been extended until the majority received the record";
  OnTick(state, kStart + 12s + state.settings.driftAllowance);
  EXPECT_TRUE(IsKnownEpochActive(state));
}

TEST(Handover, WaitsForTheNewestTableOfTheMajority)
{
  auto state = ActiveState();
  EpochRecord const next{ 2, { MemberNamed("a"), MemberNamed("b") }, state.record->members, {} };
  OnRecordRead(state, next, 11, kStart);
  OnHeartbeatResponse(state, ResponseFrom("b", 2, 6), kStart, kStart);
  OnTick(state, kStart + 10s);
  EXPECT_FALSE(IsKnownEpochActive(state));
  OnTableApplied(state, 6, kStart + 11s);
  EXPECT_TRUE(IsKnownEpochActive(state));
}

TEST(Handover, CountsTerminatedMembersButConfirmsTheTableThroughTheStore)
{
  auto state = ActiveState();
  EpochRecord const next{ 2, { MemberNamed("a") }, state.record->members, {} };
  OnRecordRead(state, next, 11, kStart);
  OnHeartbeatResponse(state, ResponseFrom("b", 0, 0, 2), kStart, kStart);
  OnTick(state, kStart + 1s);
  OnTick(state, kStart + 10s);
  EXPECT_FALSE(IsKnownEpochActive(state));
  OnStoreAcknowledgement(state, 2, 5, kStart + 10s, kStart + 10s);
  EXPECT_TRUE(IsKnownEpochActive(state));
}

TEST(Proposals, APartitionedFrontRemovesNoMember)
{
  auto state = ActiveState();
  OnTick(state, kStart);
  OnStoreAcknowledgement(state, 1, 5, kStart + 60s, kStart + 60s);
  ASSERT_TRUE(HoldsLease(state, kStart + 60s));
  for (auto const& decision : OnTick(state, kStart + 60s))
    EXPECT_NE(decision.action, MembershipAction::WriteRecord) << decision.reason;
}

TEST(Proposals, AnUnconfirmedWriteIsFollowedByAReadBeforeAnyRetry)
{
  auto state = ActiveState();
  auto const record = *state.record;
  state.writing = true;
  auto const decisions = OnRecordWritten(state, record, StoreStatus::Unknown, 0, kStart);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions.front().action, MembershipAction::ReadRecord);
  EXPECT_EQ(state.recordVersion, 0U);
}

TEST(Owners, ChangeOnlyForKeysOfRemovedMembers)
{
  EpochRecord three{ 1, { MemberNamed("a"), MemberNamed("b"), MemberNamed("c") }, {}, {} };
  EpochRecord two{ 2, { MemberNamed("a"), MemberNamed("b") }, {}, {} };
  for (int key = 0; key < 200; ++key) {
    auto const name = "endpoint/" + std::to_string(key);
    auto const& before = OwnerOf(three, name, "");
    if (before.name != "c")
      EXPECT_EQ(OwnerOf(two, name, "").name, before.name);
  }
}

TEST(Record, RoundTripsThroughJson)
{
  EpochRecord const record{ 7, { MemberNamed("a", 3) }, { MemberNamed("b") }, { "b" } };
  LastReason reason;
  auto const decoded = DecodeRecord(EncodeRecord(record), reason);
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->members, record.members);
  EXPECT_EQ(decoded->previous, record.previous);
  EXPECT_EQ(decoded->drained, record.drained);
  EXPECT_FALSE(DecodeRecord("{\"epoch\":1}", reason));
  EXPECT_FALSE(reason.detail.empty());
}

}
