#include <LibRelay/LibRelay.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Hornbeam::Gateway {

static constexpr MonotonicTime kStart{ 100s };
static constexpr Duration kLag = 450ms;
static constexpr std::size_t kKinds = 3;

static StoreProof
ProofAt(StorePosition aRevision)
{
  StoreProof proof;
  proof.known.assign(kKinds, aRevision);
  EXPECT_TRUE(BeginCheckIfDue(proof, 1s, kStart));
  OnCheckAnswered(proof, aRevision, kLag, kStart + 4ms);
  return proof;
}

TEST(StoreProof, CountsFromWhenTheCheckWasSent)
{
  auto const proof = ProofAt(40);
  EXPECT_EQ(proof.provenAt, kStart);
  EXPECT_TRUE(KindsToVerify(proof, kStart + 10s).empty());
}

// A watch that the store did not hear: the store's revision rises, and no object is seen to change.
TEST(StoreProof, ListsTheKindsThatMayMissAChange)
{
  auto proof = ProofAt(40);
  ASSERT_TRUE(BeginCheckIfDue(proof, 1s, kStart + 1s));
  OnCheckAnswered(proof, 42, kLag, kStart + 1004ms);
  OnSeen(proof, 41);
  OnKnown(proof, 1, 42);
  EXPECT_TRUE(KindsToVerify(proof, kStart + 1100ms).empty());
  EXPECT_EQ(KindsToVerify(proof, kStart + 1500ms), (std::vector<std::size_t>{ 0, 2 }));
  EXPECT_EQ(proof.provenAt, kStart);
  OnKnown(proof, 0, 43);
  OnKnown(proof, 2, 43);
  EXPECT_EQ(proof.provenAt, kStart + 1s);
}

// Each change costs the store one call at most: kinds without changes are not asked when all revisions are explained.
TEST(StoreProof, IsProvenByChangesThatWereSeen)
{
  auto proof = ProofAt(40);
  ASSERT_TRUE(BeginCheckIfDue(proof, 1s, kStart + 1s));
  OnCheckAnswered(proof, 42, kLag, kStart + 1004ms);
  OnSeen(proof, 42);
  EXPECT_EQ(proof.provenAt, kStart);
  OnSeen(proof, 41);
  EXPECT_EQ(proof.provenAt, kStart + 1s);
}

// One wrong reading of the store's revision must not set it for good.
TEST(StoreProof, RecoversFromOneWrongRevision)
{
  auto proof = ProofAt(40);
  ASSERT_TRUE(BeginCheckIfDue(proof, 1s, kStart + 1s));
  OnCheckAnswered(proof, 1'000'000, kLag, kStart + 1004ms);
  ASSERT_TRUE(BeginCheckIfDue(proof, 1s, kStart + 2100ms));
  OnCheckAnswered(proof, 40, kLag, kStart + 2104ms);
  EXPECT_EQ(proof.provenAt, kStart + 2100ms);
  // Even if the wrong revision was taken for known by all kinds.
  for (std::size_t kind = 0; kind < kKinds; ++kind)
    OnKnown(proof, kind, 1'000'000);
  ASSERT_TRUE(BeginCheckIfDue(proof, 1s, kStart + 3200ms));
  OnCheckAnswered(proof, 1'000'000, kLag, kStart + 3204ms);
  for (std::size_t kind = 0; kind < kKinds; ++kind)
    OnKnown(proof, kind, 41);
  ASSERT_TRUE(BeginCheckIfDue(proof, 1s, kStart + 4300ms));
  OnCheckAnswered(proof, 42, kLag, kStart + 4304ms);
  EXPECT_EQ(KindsToVerify(proof, kStart + 5s).size(), kKinds);
}

TEST(StoreProof, ChecksAgainOnlyAfterTheCheckInFlight)
{
  StoreProof proof;
  proof.known.assign(kKinds, 1);
  ASSERT_TRUE(BeginCheckIfDue(proof, 1s, kStart));
  EXPECT_FALSE(BeginCheckIfDue(proof, 1s, kStart + 1400ms));
  OnCheckFailed(proof);
  EXPECT_TRUE(BeginCheckIfDue(proof, 1s, kStart + 1500ms));
  EXPECT_FALSE(BeginCheckIfDue(proof, std::nullopt, kStart + 10s));
}

TEST(StoreProof, IsLeftToOneFrontOnlyWhileThatProvesTheState)
{
  RelayRoles roles;
  EXPECT_TRUE(CheckInterval(roles, StoreUse::Watch, false, 0s));
  roles.checker = { "10.0.0.1:7740", "a" };
  EXPECT_FALSE(CheckInterval(roles, StoreUse::Watch, false, 1700ms));
  EXPECT_TRUE(CheckInterval(roles, StoreUse::Watch, false, 2300ms));
  EXPECT_FALSE(CheckInterval(roles, StoreUse::None, true, 1h));
  // In a fleet with followers, each front that watches the store checks.
  roles.fleetHasFollowers = true;
  EXPECT_TRUE(CheckInterval(roles, StoreUse::Watch, true, 0s));
}

// All fronts must name the same one, and nobody if there are followers.
TEST(StoreProof, OneFrontChecksForASmallFleet)
{
  for (unsigned const count : { 2U, 7U, 8U, 195U, 370U }) {
    FrontSet fronts;
    for (unsigned index = 0; index < count; ++index) {
      FrontEntry entry;
      entry.name = "front-" + std::to_string(index);
      entry.peerAddress = entry.name + ":7740";
      entry.dataCenter = std::string(1, char('a' + index % 3));
      ApplyFront(fronts, entry, index + 1);
    }
    std::map<std::string, unsigned> named;
    unsigned checkers = 0;
    for (auto const& [name, front] : fronts.byName) {
      auto const roles = AssignRoles(fronts, front.entry, {}, kStart);
      if (roles.checker)
        ++named[roles.checker->address];
      else
        ++checkers;
    }
    bool const small = count < 15;
    EXPECT_EQ(named.size(), small ? 1U : 0U) << count;
    EXPECT_EQ(checkers, small ? 1U : count) << count;
  }
}

// A proof with a change that was neither seen nor listed would hide a lost watch.
RC_GTEST_PROP(StoreProof, IsNeverClaimedWhileAChangeIsMissed, ())
{
  StoreProof proof;
  proof.known.assign(kKinds, 1);
  StorePosition store = 1;
  std::vector<std::set<StorePosition>> missed(kKinds);
  auto now = kStart;
  auto const steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    now += std::chrono::milliseconds(*rc::gen::inRange(1, 700));
    auto const kind = std::size_t(*rc::gen::inRange(0, int(kKinds)));
    auto const before = proof.provenAt;
    switch (*rc::gen::inRange(0, 4)) {
      case 0: // a change that the watch tells
        OnSeen(proof, ++store);
        if (missed[kind].empty())
          OnKnown(proof, kind, store);
        break;
      case 1: // a change that the watch misses
        missed[kind].insert(++store);
        break;
      case 2:
        if (BeginCheckIfDue(proof, 1s, now))
          OnCheckAnswered(proof, store, kLag, now);
        break;
      default:
        for (auto const verified : KindsToVerify(proof, now)) {
          missed[verified].clear();
          OnKnown(proof, verified, store);
        }
    }
    if (proof.provenAt == before || proof.provenRevision != store)
      continue;
    for (auto const& revisions : missed)
      RC_ASSERT(revisions.empty());
  }
}

}
