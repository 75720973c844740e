#include <LibExchange/LibExchange.h>
#include <LibGateway/FrontPeers.h>
#include <gtest/gtest.h>
#include <random>

namespace Hornbeam::Gateway {

static constexpr char kAddress[] = "127.0.0.1:20981";

static FrontPeerHandlers
SilentHandlers()
{
  FrontPeerHandlers handlers;
  handlers.runStage = [](RemoteStageJob, StageCallback) { return [] {}; };
  handlers.releaseResults = [](std::string const&, std::vector<std::string> const&) {};
  handlers.status = [] { return PeerStatus{ 7 }; };
  handlers.cachedState = [] { return CachedState(); };
  handlers.follow = [](FollowRequest, FollowCallback) { return [] {}; };
  return handlers;
}

static void
RunFor(EventLoop& aLoop, Duration aTime)
{
  bool due = false;
  aLoop.RuntimeClock().Schedule(aTime, [&] { due = true; });
  aLoop.RunUntil([&] { return due; });
}

// The peer's connections close while jobs are being sent or are in flight; every job must still end, without a result.
TEST(FrontPeers, EndsJobsOfAPeerThatDisconnectsAtAnyTime)
{
  Clock clock(ClockMode::Running);
  EventLoop loop(clock);
  FrontPeers caller(loop);
  std::minstd_rand random(7);
  unsigned sent = 0;
  unsigned ended = 0;
  auto const sendJob = [&] {
    ++sent;
    RemoteStageJob remote;
    remote.service = "encode";
    remote.job.deadline = clock.Now() + 1s;
    caller.RunStage(kAddress, remote, [&](std::optional<StageResult> aResult) {
      EXPECT_FALSE(aResult);
      ++ended;
    });
  };
  for (int index = 0; index < 150; ++index) {
    auto peer = std::make_unique<FrontPeers>(loop);
    ASSERT_TRUE(peer->Listen(kAddress, SilentHandlers()));
    sendJob();
    caller.Ping(kAddress, [](std::optional<PeerStatus>) {});
    RunFor(loop, Duration(random() % 3000));
    // The peer's connections are closed; jobs are sent before, while and after the caller detects it.
    peer.reset();
    for (int more = 0; more < 4; ++more) {
      sendJob();
      RunFor(loop, Duration(random() % 200));
    }
    bool done = false;
    clock.Schedule(2s, [&] { done = true; });
    loop.RunUntil([&] { return ended == sent || done; });
    ASSERT_EQ(ended, sent);
  }
}

// KJ drops calls in flight when its event loop is destroyed, after the services that serve them: dropping a call must
// not reach a service that no longer exists.
TEST(FrontPeers, CancelsNothingAtADestroyedFront)
{
  unsigned cancelled = 0;
  {
    Clock clock(ClockMode::Running);
    EventLoop loop(clock);
    FrontPeers caller(loop);
    auto peer = std::make_unique<FrontPeers>(loop);
    auto handlers = SilentHandlers();
    StageCallback job;
    FollowCallback poll;
    handlers.runStage = [&](RemoteStageJob, StageCallback aDone) {
      job = std::move(aDone);
      return [&] { ++cancelled; };
    };
    handlers.follow = [&](FollowRequest, FollowCallback aDone) {
      poll = std::move(aDone);
      return [&] { ++cancelled; };
    };
    ASSERT_TRUE(peer->Listen("127.0.0.1:20983", std::move(handlers)));
    RemoteStageJob remote;
    remote.job.deadline = clock.Now() + 10s;
    caller.RunStage("127.0.0.1:20983", remote, [](std::optional<StageResult>) {});
    caller.Follow("127.0.0.1:20983", { {}, 10s }, [](std::optional<FollowResponse>) {});
    loop.RunUntil([&] { return job && poll; });
    peer.reset();
  }
  EXPECT_EQ(cancelled, 0U);
}

// A peer that accepts connections but never responds: the probes time out, which must end every job without a result.
TEST(FrontPeers, EndsJobsOfAnUnresponsivePeer)
{
  Clock clock(ClockMode::Running);
  EventLoop loop(clock);
  std::vector<std::shared_ptr<TcpStream>> streams;
  TcpListener silent(loop.UvLoop(), {}, [&](std::shared_ptr<TcpStream> aStream) {
    aStream->SetEvents({});
    streams.push_back(std::move(aStream));
  });
  ASSERT_TRUE(silent.Open("127.0.0.1:20982"));
  FrontPeers caller(loop);
  unsigned sent = 0;
  unsigned ended = 0;
  // Several probes are in flight, so that one of them fails just while a job is being sent on the connection.
  std::function<void()> sendJob = [&] {
    if (sent >= 4000)
      return;
    ++sent;
    RemoteStageJob remote;
    remote.service = "encode";
    remote.job.deadline = clock.Now() + 1s;
    caller.RunStage("127.0.0.1:20982", remote, [&](std::optional<StageResult> aResult) {
      EXPECT_FALSE(aResult);
      ++ended;
    });
    caller.Ping("127.0.0.1:20982", [&](std::optional<PeerStatus>) { sendJob(); });
    clock.Schedule(Duration(500), sendJob);
  };
  for (int index = 0; index < 5; ++index)
    sendJob();
  RunFor(loop, 4s);
  EXPECT_EQ(ended, sent);
  for (auto const& stream : streams)
    stream->Reset();
  silent.Close();
  RunFor(loop, 5ms);
}

// A refused report must not look like a reply without load, after which a front would use loads that nobody sent.
TEST(FrontPeers, ExchangesLoads)
{
  Clock clock(ClockMode::Running);
  EventLoop loop(clock);
  FrontPeers peer(loop);
  auto handlers = SilentHandlers();
  handlers.exchangeLoads = [](LoadReport aReport) -> std::optional<LoadReport> {
    if (aReport.front != "front" || aReport.number != 5 || aReport.level != 2)
      return std::nullopt;
    return LoadReport{ "collector", aReport.dataCenter, 9, 1, 0, { 7, 300ms, std::move(aReport.sum.byEndpoint) } };
  };
  ASSERT_TRUE(peer.Listen(kAddress, handlers));
  FrontPeers caller(loop);
  std::vector<std::optional<LoadReport>> replies;
  LoadReport report{ "front", "a", 3, 5, 2, { 1, 0ms, { { 0xabcdef, 500 } } } };
  auto const exchange = [&](std::string const& aAddress) {
    auto const expected = replies.size() + 1;
    caller.ExchangeLoads(aAddress, report, [&](auto const& aReply) { replies.push_back(aReply); });
    loop.RunUntil([&] { return replies.size() == expected; });
  };
  exchange(kAddress);
  report.sum.byEndpoint.clear();
  exchange(kAddress);
  report.number = 6;
  exchange(kAddress);
  exchange("127.0.0.1:1");
  ASSERT_TRUE(replies[0]);
  EXPECT_EQ(replies[0]->front, "collector");
  EXPECT_EQ(replies[0]->dataCenter, "a");
  EXPECT_EQ(replies[0]->sum.fronts, 7U);
  EXPECT_EQ(replies[0]->sum.age, 300ms);
  EXPECT_EQ(replies[0]->sum.byEndpoint, (LoadByEndpoint{ { 0xabcdef, 500 } }));
  ASSERT_TRUE(replies[1]);
  EXPECT_TRUE(replies[1]->sum.byEndpoint.empty());
  EXPECT_FALSE(replies[2]);
  EXPECT_FALSE(replies[3]);
}

}
