#include "PlatformWorld.h"
#include <gtest/gtest.h>

namespace Hornbeam::Testing {

using namespace Gateway;

/// A world with one plain endpoint.
struct PlainWorld
{
  explicit PlainWorld(unsigned aFronts = 1, unsigned aEndpoints = 1)
    : world(aFronts)
  {
    for (unsigned index = 0; index < aEndpoints; ++index)
      this->world.AddEndpoint(EndpointKind::Plain, "ledger");
    this->world.Start();
    this->WaitUntilReady(aFronts);
  }

  void WaitUntilReady(unsigned aFronts)
  {
    for (unsigned front = 0; front < aFronts; ++front)
      EXPECT_TRUE(
        this->world.RunUntil([&] { return this->world.store->Has("fronts", "front-" + std::to_string(front)); }));
    this->world.RunFor(50ms);
  }

  PlatformWorld world;
};

/// The platform's bounds: for the table in force, and for leaving endpoints and fronts.
static constexpr Duration kApplyBound = 2s;

static nlohmann::json
BeliefsOf(PlatformWorld& aWorld, unsigned aFront)
{
  return nlohmann::json::parse(aWorld.Ask(aFront, 4, "/beliefs").body, nullptr, false);
}

/// The version of the table in force at a front.
static std::uint64_t
VersionAt(PlatformWorld& aWorld, unsigned aFront)
{
  auto const beliefs = BeliefsOf(aWorld, aFront);
  return beliefs.is_object() ? beliefs.value("table_version", std::uint64_t(0)) : 0;
}

static CallerRequest
Safe(std::string aId = "r1")
{
  CallerRequest request;
  request.method = "GET";
  request.target = "/safe/x";
  request.id = std::move(aId);
  request.body = "";
  return request;
}

static CallerRequest
Model(std::string aTarget = "/model/x")
{
  CallerRequest request;
  request.target = std::move(aTarget);
  request.more = { { "Hornbeamfront-Prefix-Hash", "aa:10,bb:20,cc:5" },
                   { "Hornbeamfront-Token-Usage", "35,9" },
                   { "Hornbeamfront-Chunks", "2,3" },
                   { "Hornbeamfront-Chunk-Key", "chunk" } };
  if (request.target.starts_with("/model"))
    request.more.resize(2);
  return request;
}

TEST(Platform, ServesAPlainRequestWithItsHeadersSet)
{
  PlainWorld plain;
  CallerRequest request;
  request.method = "PATCH";
  request.more = { { "X-Own", "kept" },
                   { "Connection", "X-Hop" },
                   { "X-Hop", "dropped" },
                   { "Hornbeamfront-Tenant", "forged" },
                   { "Kv-From", "forged" } };
  auto const answer = plain.world.Call(0, request);
  EXPECT_EQ(answer.status, 200U);
  EXPECT_EQ(answer.body, "answer of i-ledger-0");
  auto const& seen = plain.world.endpoints[0]->seen.at(0);
  EXPECT_EQ(seen.method, "PATCH");
  EXPECT_EQ(seen.target, "/plain/x");
  EXPECT_EQ(seen.body, "hello");
  EXPECT_EQ(seen.id, "r1");
  EXPECT_EQ(*FindField(seen.fields, "X-Own"), "kept");
  EXPECT_EQ(*FindField(seen.fields, "Hornbeamfront-Tenant"), "account-1");
  EXPECT_EQ(FindField(seen.fields, "X-Hop"), nullptr);
  EXPECT_EQ(FindField(seen.fields, "Kv-From"), nullptr);
  EXPECT_EQ(FindField(seen.fields, "Authorization"), nullptr);
  EXPECT_LE(std::stoi(*FindField(seen.fields, "Hornbeamfront-Deadline-Ms")), 3000);
}

TEST(Platform, RefusesUnknownRoutesAndKeys)
{
  PlainWorld plain;
  auto request = Safe();
  request.target = "/nowhere/x";
  EXPECT_EQ(plain.world.Call(0, request).status, 404U);
  request = Safe();
  request.key = "wrong";
  EXPECT_EQ(plain.world.Call(0, request).status, 401U);
  EXPECT_TRUE(plain.world.endpoints[0]->seen.empty());
}

TEST(Platform, FramingIsStrict)
{
  PlainWorld plain;
  std::string const head = "POST /plain/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
                           "Hornbeamfront-Request-Id: r1\r\n";
  std::string const hidden = "GET /safe/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
                             "Hornbeamfront-Request-Id: hidden\r\n\r\n";
  auto const refused = [&](std::string const& aBytes, std::string const& aStatus) {
    auto const answer = plain.world.SendRaw(0, aBytes, 1500ms);
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 " + aStatus)) << aBytes << "\n" << answer;
    EXPECT_EQ(answer.find("HTTP/1.1", 8), std::string::npos) << "two answers to\n" << aBytes;
  };
  refused(head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden, "400");
  refused(head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden, "400");
  refused(head + "Transfer-Encoding: identity\r\n\r\n" + hidden, "400");
  refused(head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden, "400");
  refused(head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nhello" + hidden, "400");
  refused(head + "X-Large: " + std::string(9000, 'x') + "\r\n\r\n", "431");
  refused(head + "Content-Length: 100000\r\n\r\n", "413");
  refused(head + "Content-Le", "408");
  EXPECT_TRUE(plain.world.endpoints[0]->seen.empty());
}

TEST(Platform, ForwardsAChunkedBodyWhole)
{
  PlainWorld plain;
  auto const answer = plain.world.SendRaw(0,
                                          "PUT /plain/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
                                          "Hornbeamfront-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n"
                                          "Connection: close\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
                                          1500ms);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_EQ(plain.world.endpoints[0]->seen.at(0).body, "abcdefg");
}

TEST(Platform, DoesNotRepeatWhatMayRunOnce)
{
  PlainWorld plain(1, 2);
  for (auto const& endpoint : plain.world.endpoints)
    endpoint->faultOf = [](std::size_t) { return EndpointFault::LostAnswer; };
  auto const answer = plain.world.Call(0, {});
  EXPECT_EQ(answer.status, 502U);
  EXPECT_EQ(plain.world.endpoints[0]->seen.size() + plain.world.endpoints[1]->seen.size(), 1U);
}

TEST(Platform, RepeatsSafeRequestsElsewhere)
{
  for (auto const fault : { EndpointFault::LostAnswer,
                            EndpointFault::BreakOff,
                            EndpointFault::ForeignAnswer,
                            EndpointFault::Full,
                            EndpointFault::Error }) {
    PlainWorld plain(1, 2);
    std::size_t total = 0;
    for (auto const& endpoint : plain.world.endpoints)
      endpoint->faultOf = [&total, fault](std::size_t) { return total++ == 0 ? fault : EndpointFault::None; };
    auto const answer = plain.world.Call(0, Safe());
    EXPECT_EQ(answer.status, 200U) << int(fault);
    EXPECT_EQ(total, 2U);
  }
}

TEST(Platform, SaysNotRunOnlyWhereNothingRan)
{
  PlainWorld plain;
  plain.world.endpoints[0]->faultOf = [](std::size_t) { return EndpointFault::Full; };
  auto const refused = plain.world.Call(0, {});
  EXPECT_EQ(refused.status, 503U);
  EXPECT_NE(FindField(refused.fields, "Retry-After"), nullptr);
  EXPECT_LT(refused.took, 200ms);
  plain.world.endpoints[0]->faultOf = [](std::size_t) { return EndpointFault::Silent; };
  CallerRequest request;
  request.id = "r2";
  request.patience = 300ms;
  auto const silent = plain.world.Call(0, request);
  EXPECT_EQ(silent.status, 504U);
  EXPECT_LT(silent.took, 400ms);
}

TEST(Platform, CancelsTheWorkOfACallerThatLeaves)
{
  PlainWorld plain;
  plain.world.endpoints[0]->workTime = 2s;
  CallHandle handle;
  plain.world.Send(0, Safe(), &handle);
  ASSERT_TRUE(plain.world.RunUntil([&] { return plain.world.endpoints[0]->seen.size() == 1; }));
  handle.Abandon();
  EXPECT_TRUE(plain.world.RunUntil([&] { return plain.world.endpoints[0]->callersGone == 1; }, 300ms));
}

TEST(Platform, ResumesAStreamThatBreaksOff)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Model, "model");
  world.AddEndpoint(EndpointKind::Model, "model");
  std::size_t total = 0;
  for (auto const& endpoint : world.endpoints)
    endpoint->faultOf = [&](std::size_t) { return total++ == 0 ? EndpointFault::BreakOff : EndpointFault::None; };
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const answer = world.Call(0, Model());
  EXPECT_EQ(answer.end, CallEnd::Complete);
  EXPECT_EQ(answer.body,
            "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n");
  EXPECT_EQ(total, 2U);
}

static std::string
FiveEvents()
{
  return "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\nid: 4\ndata: t4\n\nid: 5\ndata: t5\n\n";
}

/// A caller that waits long enough for a paused stream to be given up and taken on by another endpoint.
static CallerRequest
PatientModel()
{
  auto request = Model();
  request.patience = 10s;
  return request;
}

TEST(Platform, TakesAPausedStreamOnElsewhere)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Model, "model");
  world.AddEndpoint(EndpointKind::Model, "model");
  std::size_t total = 0;
  for (auto const& endpoint : world.endpoints)
    endpoint->faultOf = [&](std::size_t) { return total++ == 0 ? EndpointFault::Pause : EndpointFault::None; };
  world.endpoints[0]->pauseTime = world.endpoints[1]->pauseTime = 5s;
  world.PutTable(1, 10s);
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const answer = world.Call(0, PatientModel());
  EXPECT_EQ(answer.body, FiveEvents());
  EXPECT_EQ(total, 2U);
  EXPECT_LT(answer.took, 2500ms);
}

TEST(Platform, WaitsForAPausedStreamThatCannotGoOnElsewhere)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Model, "model");
  world.AddEndpoint(EndpointKind::Model, "model");
  // Both attempts that the route allows pause; the second one is the last.
  for (auto const& endpoint : world.endpoints)
    endpoint->faultOf = [](std::size_t) { return EndpointFault::Pause; };
  world.PutTable(1, 10s);
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const answer = world.Call(0, PatientModel());
  EXPECT_EQ(answer.end, CallEnd::Complete);
  EXPECT_EQ(answer.body, FiveEvents());
  // With no other endpoint the first attempt is the last.
  world.store->Remove("servers", world.endpoints[1]->Id());
  world.RunFor(1s);
  EXPECT_EQ(world.Call(0, PatientModel()).body, FiveEvents());
}

TEST(Platform, RunsStagesOverAllFrontsAndFreesTheirResults)
{
  PlatformWorld world(3);
  auto& encode = world.AddEndpoint(EndpointKind::Stage, "encode");
  auto& rank = world.AddEndpoint(EndpointKind::Stage, "rank");
  auto& model = world.AddEndpoint(EndpointKind::Model, "model");
  encode.workTime = rank.workTime = 30ms;
  world.Start();
  for (auto const* name : { "front-0", "front-1", "front-2" })
    ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", name); }));
  world.RunFor(50ms);
  std::vector<std::shared_ptr<CallerAnswer>> answers;
  for (unsigned index = 0; index < 9; ++index) {
    auto request = Model("/staged/x");
    request.id = "r" + std::to_string(index);
    answers.push_back(world.Send(index % 3, request));
  }
  ASSERT_TRUE(
    world.RunUntil([&] { return std::ranges::all_of(answers, [](auto const& aAnswer) { return aAnswer->ended; }); }));
  for (auto const& answer : answers)
    EXPECT_EQ(answer->status, 200U) << answer->body;
  EXPECT_EQ(model.seen.size(), 9U);
  for (auto const& seen : model.seen) {
    auto const* const inputs = FindField(seen.fields, "Hornbeamfront-Inputs");
    ASSERT_NE(inputs, nullptr);
    EXPECT_EQ(std::ranges::count(*inputs, ','), 2);
  }
  EXPECT_EQ(encode.seen.size(), 18U);
  EXPECT_LT(encode.batchSizes.size(), 9U);
  EXPECT_TRUE(world.RunUntil([&] { return encode.heldResults.empty() && rank.heldResults.empty(); }, 1s));
}

TEST(Platform, BreaksOffABegunAnswerThatCannotGoOn)
{
  PlatformWorld world(1);
  auto& encode = world.AddEndpoint(EndpointKind::Stage, "encode");
  world.AddEndpoint(EndpointKind::Stage, "rank");
  world.AddEndpoint(EndpointKind::Model, "model");
  world.AddEndpoint(EndpointKind::Model, "model");
  for (auto const& endpoint : world.endpoints)
    endpoint->faultOf = [&](std::size_t) {
      world.store->Remove("servers", encode.Id());
      return EndpointFault::BreakOff;
    };
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const answer = world.SendRaw(0,
                                    "POST /staged/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
                                    "Hornbeamfront-Request-Id: r1\r\nHornbeamfront-Deadline-Ms: 800\r\n"
                                    "Hornbeamfront-Chunks: 2,3\r\nHornbeamfront-Chunk-Key: k\r\n"
                                    "Content-Length: 0\r\n\r\n",
                                    1500ms);
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200")) << answer;
  EXPECT_NE(answer.find("data: t2"), std::string::npos) << answer;
  EXPECT_EQ(answer.find("HTTP/1.1", 8), std::string::npos) << answer;
  EXPECT_EQ(answer.find("\r\n0\r\n"), std::string::npos) << answer;
}

TEST(Platform, MakesResultsAgainThatAreGone)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Stage, "encode");
  world.AddEndpoint(EndpointKind::Stage, "rank");
  auto& model = world.AddEndpoint(EndpointKind::Model, "model");
  model.faultOf = [](std::size_t aNumber) { return aNumber == 0 ? EndpointFault::InputsGone : EndpointFault::None; };
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  EXPECT_EQ(world.Call(0, Model("/staged/x")).status, 200U);
  EXPECT_EQ(model.seen.size(), 2U);
}

TEST(Platform, SendsNothingToALeavingEndpoint)
{
  PlainWorld plain(1, 2);
  plain.world.Enter(*plain.world.endpoints[0], "ledger", "draining");
  auto const isLeaving = [&] { return BeliefsOf(plain.world, 0)["endpoints"][0]["state"] == "leaving"; };
  ASSERT_TRUE(plain.world.RunUntil(isLeaving, kApplyBound));
  for (int index = 0; index < 6; ++index)
    EXPECT_EQ(plain.world.Call(0, Safe("r" + std::to_string(index))).status, 200U);
  EXPECT_TRUE(plain.world.endpoints[0]->seen.empty());
}

TEST(Platform, SendsNothingToADataCentreThatIsOut)
{
  PlatformWorld world(1);
  world.AddEndpoint(EndpointKind::Plain, "ledger", "a");
  world.AddEndpoint(EndpointKind::Plain, "ledger", "b");
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const isOut = [&] { return BeliefsOf(world, 0)["data_centers_out"].size() == 1; };
  world.store->Put("evacuations", "a", nlohmann::json::object());
  ASSERT_TRUE(world.RunUntil(isOut, kApplyBound));
  for (int index = 0; index < 6; ++index)
    EXPECT_EQ(world.Call(0, Safe("r" + std::to_string(index))).status, 200U);
  EXPECT_TRUE(world.endpoints[0]->seen.empty());
  world.store->Remove("evacuations", "a");
  ASSERT_TRUE(world.RunUntil([&] { return !isOut(); }, kApplyBound));
  // Several at once, so that one endpoint does not take them all.
  std::vector<std::shared_ptr<CallerAnswer>> answers;
  for (int index = 0; index < 6; ++index)
    answers.push_back(world.Send(0, Safe("s" + std::to_string(index))));
  EXPECT_TRUE(
    world.RunUntil([&] { return std::ranges::all_of(answers, [](auto const& aAnswer) { return aAnswer->ended; }); }));
  EXPECT_FALSE(world.endpoints[0]->seen.empty());
}

TEST(Platform, TakesNewTablesAndNeverOlderOnes)
{
  PlainWorld plain;
  plain.world.PutTable(7);
  EXPECT_TRUE(plain.world.RunUntil([&] { return VersionAt(plain.world, 0) == 7; }, 1s));
  plain.world.PutTable(5);
  plain.world.RunFor(100ms);
  EXPECT_EQ(VersionAt(plain.world, 0), 7U);
}

TEST(Platform, FetchesChangesInQuickSuccessionTogether)
{
  PlainWorld plain;
  plain.world.RunFor(500ms);
  auto const before = plain.world.store->calls;
  for (std::uint64_t version = 10; version < 60; ++version) {
    plain.world.PutTable(version);
    plain.world.RunFor(10ms);
  }
  EXPECT_TRUE(plain.world.RunUntil([&] { return VersionAt(plain.world, 0) == 59; }, 1s));
  EXPECT_LE(plain.world.store->calls - before, 5U);
}

TEST(Platform, FindsATableWrittenWhileTheHistoryWasDropped)
{
  PlainWorld plain;
  plain.world.store->PutInGap("config", "main", StandInTable(9));
  EXPECT_TRUE(plain.world.RunUntil([&] { return VersionAt(plain.world, 0) == 9; }, 1500ms));
}

TEST(Platform, FindsATableWrittenBetweenItsListAndTheDropOfTheHistory)
{
  PlainWorld plain;
  plain.world.store->PutAfterCut("config", "main", StandInTable(9), 140ms);
  EXPECT_TRUE(plain.world.RunUntil([&] { return VersionAt(plain.world, 0) == 9; }, 1800ms));
}

TEST(Platform, ServesOnWhileTheStoreIsAwayAndCatchesUp)
{
  for (auto const behavior : { StoreBehavior::Refusing, StoreBehavior::Resetting }) {
    PlainWorld plain;
    plain.world.store->behavior = behavior;
    plain.world.store->CutWatches();
    plain.world.RunFor(300ms);
    EXPECT_EQ(plain.world.Call(0, Safe()).status, 200U);
    plain.world.store->behavior = StoreBehavior::Well;
    plain.world.PutTable(8);
    EXPECT_TRUE(plain.world.RunUntil([&] { return VersionAt(plain.world, 0) == 8; }, 2s));
  }
}

TEST(Platform, KeepsEndpointsWhoseEntriesLapsedWhileTheStoreWasAway)
{
  PlainWorld plain;
  auto& store = *plain.world.store;
  store.behavior = StoreBehavior::Resetting;
  store.CutWatches();
  plain.world.RunFor(200ms);
  store.Remove("servers", plain.world.endpoints[0]->Id());
  store.DropHistory();
  store.behavior = StoreBehavior::Well;
  plain.world.RunFor(1200ms);
  EXPECT_EQ(plain.world.Call(0, Safe()).status, 200U);
  plain.world.RunFor(2s);
  auto request = Safe("r2");
  request.patience = 300ms;
  EXPECT_EQ(plain.world.Call(0, request).status, 503U);
}

TEST(Platform, EntersItselfAlsoWhenTheAnswerIsLost)
{
  PlatformWorld world(1);
  world.store->answersToLose = 1;
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  world.RunFor(700ms);
  EXPECT_EQ(world.Ask(0, 2, "/lookup?name=h.example&region=r&zone=a").status, 200U);
}

TEST(Platform, StartsFromAPeerWhileTheStoreIsAway)
{
  PlatformWorld world(2);
  world.AddEndpoint(EndpointKind::Plain, "ledger");
  auto const all = world.ended.size();
  world.ended.resize(1);
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  world.RunFor(50ms);
  world.store->behavior = StoreBehavior::Resetting;
  world.store->CutWatches();
  world.ended.resize(all);
  world.StartFront(1);
  EXPECT_TRUE(world.RunUntil([&] { return world.Ask(1, 1, "/readyz").status == 200; }, 3s));
  EXPECT_EQ(world.Call(1, Safe()).status, 200U);
}

TEST(Platform, DoesNotRemoveOtherFrontsWhileItMayBeCutOffItself)
{
  PlainWorld plain(2);
  plain.world.RunFor(500ms);
  auto& store = *plain.world.store;
  // The neighbour cannot be reached, and the store does not answer either.
  store.behavior = StoreBehavior::Silent;
  plain.world.fronts[1]->StopPeers();
  plain.world.RunFor(2500ms);
  store.behavior = StoreBehavior::Well;
  store.CutWatches();
  plain.world.RunFor(1200ms);
  EXPECT_EQ(store.removals, 0U);
  // It is removed once the store answers again and probes go on failing; as it lives, it enters itself again.
  EXPECT_TRUE(plain.world.RunUntil([&] { return store.removals == 1; }, 6s));
}

TEST(Platform, DrainsInOrder)
{
  PlainWorld plain(2);
  plain.world.endpoints[0]->workTime = 400ms;
  auto const open = plain.world.Send(0, Safe());
  ASSERT_TRUE(plain.world.RunUntil([&] { return plain.world.endpoints[0]->seen.size() == 1; }));
  plain.world.fronts[0]->BeginDraining();
  EXPECT_EQ(plain.world.Ask(0, 1, "/readyz").status, 503U);
  plain.world.RunFor(100ms);
  EXPECT_FALSE(plain.world.store->Has("fronts", "front-0"));
  auto const names = [&](unsigned aFront) {
    auto const lookup = plain.world.Ask(1, 2, "/lookup?name=h.example&region=r&zone=a").body;
    return lookup.find(plain.world.CallerAddress(aFront)) != std::string::npos;
  };
  EXPECT_TRUE(plain.world.RunUntil([&] { return !names(0); }, kApplyBound));
  EXPECT_TRUE(names(1));
  ASSERT_TRUE(plain.world.RunUntil([&] { return open->ended; }));
  EXPECT_EQ(open->status, 200U);
  EXPECT_EQ(plain.world.Call(0, Safe("r2")).status, 200U);
  EXPECT_TRUE(plain.world.RunUntil([&] { return plain.world.ended[0]; }, 8s));
}

TEST(Platform, AnswersTheNextRequestOnAConnectionThatWasNotSaidToClose)
{
  PlatformWorld world(1);
  auto& model = world.AddEndpoint(EndpointKind::Model, "model");
  world.AddEndpoint(EndpointKind::Plain, "ledger");
  model.events = 40;
  world.Start();
  ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-0"); }));
  auto const stream = world.Send(0, Model(), nullptr, Reuse::Kept);
  ASSERT_TRUE(world.RunUntil([&] { return stream->status == 200; }));
  world.fronts[0]->BeginDraining();
  ASSERT_TRUE(world.RunUntil([&] { return stream->ended; }));
  EXPECT_EQ(stream->end, CallEnd::Complete);
  auto const next = world.Send(0, Safe("r2"), nullptr, Reuse::Kept);
  ASSERT_TRUE(world.RunUntil([&] { return next->ended; }));
  EXPECT_EQ(next->status, 200U);
}

TEST(Platform, SendsFewRequestsToAColdEndpointOverAllFronts)
{
  PlatformWorld world(6);
  auto& model = world.AddEndpoint(EndpointKind::Model, "model");
  world.Start();
  for (unsigned front = 0; front < 6; ++front)
    ASSERT_TRUE(world.RunUntil([&] { return world.store->Has("fronts", "front-" + std::to_string(front)); }));
  world.RunFor(50ms);
  // The same id comes back as another process: it is cold.
  world.store->Put("servers",
                   model.Id(),
                   { { "service", "model" },
                     { "address", model.Address() },
                     { "zone", "a" },
                     { "state", "ready" },
                     { "cold_remaining_ms", 2000 },
                     { "born", 2 } });
  world.RunFor(50ms);
  std::vector<std::shared_ptr<CallerAnswer>> answers;
  for (unsigned index = 0; index < 120; ++index) {
    auto request = Model();
    request.id = "r" + std::to_string(index);
    answers.push_back(world.Send(index % 6, request));
    world.RunFor(8ms);
  }
  // The platform's bound for any second: 10 a second, times 1.5, plus 5.
  for (auto const& first : model.seen) {
    auto const within = std::ranges::count_if(
      model.seen, [&](auto const& aSeen) { return aSeen.at >= first.at && aSeen.at < first.at + 1s; });
    EXPECT_LE(within, 20);
  }
  EXPECT_GE(model.seen.size(), 4U);
}

}
