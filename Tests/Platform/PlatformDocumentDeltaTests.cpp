#include "PlatformFixtures.h"
#include "StandInFront.h"

// Relays tell a large table as its differences from one that the follower has.

namespace Hornbeam::Testing {

using Gateway::FollowRequest;
using Gateway::FollowResponse;

static constexpr unsigned kUnusedRoutes = 500;
static constexpr Duration kPollTime = 2s;

static nlohmann::json
LargeTable(std::uint64_t aVersion)
{
  return WithUnusedRoutes(StandInTable(aVersion), kUnusedRoutes);
}

namespace {

/// A front, and what a follower's polls of it are answered.
struct RelayWorld
{
  RelayWorld()
  {
    this->world.AddEndpoint(EndpointKind::Plain, "ledger");
    this->PutTable(1);
    this->world.Start();
    EXPECT_TRUE(HappensWithin(
      this->world, [&] { return VersionAt(this->world, 0) == 1; }, 2s));
  }

  void PutTable(std::uint64_t aVersion) { this->world.store->Put("config", "main", LargeTable(aVersion)); }

  FollowResponse Poll(FollowRequest aRequest)
  {
    std::optional<FollowResponse> response;
    bool done = false;
    this->peers.Follow(this->world.AddressOf(0, 3), aRequest, [&](std::optional<FollowResponse> aResponse) {
      response = std::move(aResponse);
      done = true;
    });
    EXPECT_TRUE(this->world.RunUntil([&] { return done; }, kPollTime));
    return response.value_or(FollowResponse());
  }

  PlatformWorld world{ 1 };
  Gateway::FrontPeers peers{ this->world.loop };
};

FollowResponse::KindUpdate
TableUpdateIn(FollowResponse const& aResponse)
{
  for (auto const& update : aResponse.updates)
    if (update.kind == unsigned(ObjectKind::ServingTable))
      return update;
  ADD_FAILURE() << "the response has no table";
  return {};
}

std::string
DocumentIn(FollowResponse::KindUpdate const& aUpdate)
{
  return aUpdate.update.objects.at(0).document.value_or("");
}

}

// A relay sent the whole table for each change, more than the links of its followers carry.
TEST(PlatformDocumentDelta, IsSentToAFollowerThatHasAnEarlierTable)
{
  RelayWorld relay;
  auto const first = relay.Poll({ { 0, 0, 0, 0, 0 }, 0s, Gateway::PollKind::Changes, {} });
  auto const base = DocumentIn(TableUpdateIn(first));
  relay.PutTable(2);
  FollowRequest const request{ first.revisions, 1s, Gateway::PollKind::Changes, { 1, StableHash(base) } };
  auto const update = TableUpdateIn(relay.Poll(request));
  EXPECT_TRUE(DocumentIn(update).empty());
  ASSERT_TRUE(update.deltas.contains("main"));
  auto const document = ApplyDelta(base, *update.deltas.at("main"));
  std::size_t newBytes = 0;
  for (auto const& piece : update.deltas.at("main")->pieces)
    newBytes += piece.bytes.size();
  EXPECT_LT(newBytes, base.size() / 50);
  auto const whole = relay.Poll({ { 0, 0, 0, 0, 0 }, 0s, Gateway::PollKind::Changes, {} });
  EXPECT_TRUE(document == DocumentIn(TableUpdateIn(whole)));
}

// A follower of an earlier build tells no bases, and one that has just started has none that the relay knows.
TEST(PlatformDocumentDelta, IsNotSentToAFollowerWithoutAKnownBase)
{
  RelayWorld relay;
  auto const first = relay.Poll({ { 0, 0, 0, 0, 0 }, 0s, Gateway::PollKind::Changes, {} });
  for (std::vector<std::uint64_t> const& bases : { std::vector<std::uint64_t>{}, { 1, 2 } }) {
    auto const update = TableUpdateIn(relay.Poll({ { 0, 0, 0, 0, 0 }, 0s, Gateway::PollKind::Changes, bases }));
    EXPECT_TRUE(update.deltas.empty());
    EXPECT_TRUE(DocumentIn(update) == DocumentIn(TableUpdateIn(first)));
  }
}

// A table must not be put together from differences that do not fit; the whole one is asked for.
TEST(PlatformDocumentDelta, ThatDoesNotFitIsReplacedByTheWholeTable)
{
  PlatformWorld world{ 1 };
  world.AddEndpoint(EndpointKind::Plain, "ledger");
  world.store->Put("config", "main", LargeTable(1));
  auto const relayAddress = world.NextAddress();
  StandInFront relay(world.loop, relayAddress);
  world.seeds = { relayAddress };
  world.Start();
  ASSERT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 1; }, 2s));
  ASSERT_TRUE(HappensWithin(
    world, [&] { return !relay.state.bases.empty(); }, 2s));
  // The table can only come from the relay.
  world.store->behavior = StoreBehavior::Silent;
  auto const position = MakePosition(1, 1000);
  auto delta = std::make_shared<Gateway::DocumentDelta>();
  delta->base = relay.state.bases.front();
  auto const document = TableDocument(LargeTable(2), 1000);
  delta->pieces.push_back({ 0, 0, document });
  FollowResponse::KindUpdate const whole{ unsigned(ObjectKind::ServingTable),
                                          { true, 0, position, { { "main", position, document } } },
                                          {} };
  auto differing = whole;
  differing.deltas["main"] = delta;
  relay.state.updates = { differing };
  relay.state.revisions = { position, 0, 0, 0, 0 };
  ASSERT_TRUE(HappensWithin(
    world, [&] { return relay.state.bases.empty(); }, 2s));
  EXPECT_EQ(VersionAt(world, 0), 1U);
  relay.state.updates = { whole };
  EXPECT_TRUE(HappensWithin(
    world, [&] { return VersionAt(world, 0) == 2; }, 2s));
}

}
