#include <LibGateway/FrontPeers.h>
#include <LibGateway/Gateway.capnp.h>
#include <LibRpc/LibRpc.h>
#include <gtest/gtest.h>

// Calls that a peer answers with an error, or answers late for a reason of their own, beside other calls on the same
// connection.

namespace Hornbeam::Gateway {

static constexpr char kAddress[] = "127.0.0.1:20986";

namespace {

/// A front of a build that does not know all calls of this one. Its polls and jobs wait for good.
class OlderPeer final : public Wire::GatewayPeer::Server
{
public:
  kj::Promise<void> ping(PingContext aContext) override
  {
    aContext.getResults().setIncarnation(7);
    return kj::READY_NOW;
  }
  kj::Promise<void> makeStage(MakeStageContext) override { return kj::NEVER_DONE; }
  kj::Promise<void> followStore(FollowStoreContext) override { return kj::NEVER_DONE; }
  kj::Promise<void> findStream(FindStreamContext) override { return kj::NEVER_DONE; }
  kj::Promise<void> knownObjects(KnownObjectsContext) override { KJ_FAIL_REQUIRE("no objects yet"); }
};

/// A front that waits for a job and a poll at an older peer.
struct WaitingFront
{
  WaitingFront()
  {
    EXPECT_TRUE(ListenForRpc(this->loop, kAddress, kj::heap<OlderPeer>(), this->receiver, this->server));
    this->serving = this->server->listen(*this->receiver).eagerlyEvaluate(nullptr);
    RemoteStageJob remote;
    remote.service = "encode";
    remote.job.deadline = this->clock.Now() + 10s;
    this->cancelJob =
      this->peers.RunStage(kAddress, remote, [this](std::optional<StageResult>) { this->jobEnded = true; });
    this->peers.Follow(kAddress, { { 1, 1 }, 5s, PollKind::Changes }, [this](auto const&) { this->pollEnded = true; });
    this->RunFor(100ms);
  }

  void RunFor(Duration aTime)
  {
    bool due = false;
    this->clock.Schedule(aTime, [&] { due = true; });
    this->loop.RunUntil([&] { return due; });
  }

  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Own<capnp::TwoPartyServer> server;
  kj::Promise<void> serving{ nullptr };
  FrontPeers peers{ loop };
  CancelAction cancelJob;
  bool jobEnded{ false };
  bool pollEnded{ false };
};

}

// A load report that an older front does not know ended its jobs and the polls of the state of the store.
TEST(OlderPeer, KeepsJobsAndPollsAfterACallThatThePeerDoesNotKnow)
{
  WaitingFront front;
  bool answered = false;
  front.peers.ExchangeLoads(kAddress, LoadReport{}, [&](std::optional<LoadReport> const& aReply) {
    answered = true;
    EXPECT_FALSE(aReply);
  });
  front.RunFor(300ms);
  EXPECT_TRUE(answered);
  EXPECT_FALSE(front.jobEnded);
  EXPECT_FALSE(front.pollEnded);
}

// As above for a call that the peer knows and answers with an error.
TEST(OlderPeer, KeepsJobsAndPollsAfterACallThatThePeerRejects)
{
  WaitingFront front;
  bool answered = false;
  front.peers.FetchCachedState(kAddress, [&](auto const& aState) {
    answered = true;
    EXPECT_FALSE(aState);
  });
  front.RunFor(300ms);
  EXPECT_TRUE(answered);
  EXPECT_FALSE(front.jobEnded);
  EXPECT_FALSE(front.pollEnded);
}

// A keeper of streams that waited for a silent store lost the jobs of the front that had asked it.
TEST(OlderPeer, KeepsJobsAndPollsAfterALateAnswerOfAPeerThatAnswersProbes)
{
  WaitingFront front;
  bool answered = false;
  front.peers.FindStream(kAddress, { "r1", "encode", 1 }, [&](std::optional<StreamOrigin> const& aOrigin) {
    answered = true;
    EXPECT_FALSE(aOrigin);
  });
  front.RunFor(1500ms);
  EXPECT_TRUE(answered);
  EXPECT_FALSE(front.jobEnded);
  EXPECT_FALSE(front.pollEnded);
}

}
