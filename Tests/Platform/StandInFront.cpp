#include "StandInFront.h"
#include <LibGateway/RelayWire.h>
#include <platform/Platform.h>

namespace Hornbeam::Testing {

using namespace Gateway;

/// Polls are never answered at once, as a relay with news for its follower would be asked again at once.
static constexpr Duration kMinWait = 200ms;

namespace {

class Server final : public Wire::GatewayPeer::Server
{
public:
  Server(EventLoop& aLoop, StandInFrontState& aState)
    : loop(aLoop)
    , state(aState)
  {
  }

  kj::Promise<void> ping(PingContext aContext) override
  {
    aContext.getResults().setIncarnation(this->state.incarnation);
    aContext.getResults().setTableVersion(this->state.tableVersion);
    aContext.getResults().setStoreEra(this->state.storeEra);
    return kj::READY_NOW;
  }

  kj::Promise<void> knownObjects(KnownObjectsContext aContext) override
  {
    ++this->state.fetches;
    if (this->state.failingFetches > 0) {
      --this->state.failingFetches;
      KJ_FAIL_REQUIRE("the objects are not available");
    }
    auto cached = this->state.cachedObjects;
    if (!this->state.tableDocument.empty())
      cached.push_back({ unsigned(Platform::ObjectKind::ServingTable), this->state.tableDocument });
    auto objects = aContext.getResults().initObjects(unsigned(cached.size()));
    for (unsigned index = 0; index < cached.size(); ++index) {
      objects[index].setKind(std::uint8_t(cached[index].kind));
      objects[index].setDocument(cached[index].document);
    }
    aContext.getResults().setCoverage(std::uint8_t(this->state.coverage));
    return kj::READY_NOW;
  }

  kj::Promise<void> makeStage(MakeStageContext aContext) override
  {
    KJ_REQUIRE(bool(this->state.runStage), "stages are not served");
    auto result = aContext.getResults().initResult();
    result.setEnd(Wire::StageEnd::MADE);
    auto const handles = this->state.runStage(aContext.getParams().getOrder().getPieces());
    auto wireHandles = result.initHandles(unsigned(handles.size()));
    for (unsigned index = 0; index < handles.size(); ++index)
      wireHandles.set(index, handles[index]);
    return kj::READY_NOW;
  }

  kj::Promise<void> releaseResults(ReleaseResultsContext aContext) override
  {
    for (auto const handle : aContext.getParams().getHandles())
      this->state.releasedResults.emplace_back(handle.cStr());
    return kj::READY_NOW;
  }

  kj::Promise<void> followStore(FollowStoreContext aContext) override
  {
    auto const wait = std::max<Duration>(kMinWait, Duration(aContext.getParams().getWaitUs()));
    auto& timer = this->loop.Io().provider->getTimer();
    return timer.afterDelay(wait.count() * kj::MICROSECONDS).then([this, aContext]() mutable {
      this->AnswerPoll(aContext);
    });
  }

private:
  void AnswerPoll(FollowStoreContext& aContext) const
  {
    auto wire = aContext.getResults();
    wire.setAgeUs(this->state.age.count());
    wire.setWatching(true);
    std::vector<StorePosition> revisions = this->state.revisions;
    if (revisions.empty())
      for (auto const revision : aContext.getParams().getRevisions())
        revisions.push_back(revision);
    WriteNumbers(revisions, wire.initRevisions(unsigned(revisions.size())));
    if (aContext.getParams().getNoticeOnly())
      return;
    this->state.bases.clear();
    for (auto const base : aContext.getParams().getBases())
      this->state.bases.push_back(base);
    auto updates = wire.initUpdates(unsigned(this->state.updates.size()));
    for (unsigned index = 0; index < this->state.updates.size(); ++index)
      WriteUpdate(this->state.updates[index], updates[index]);
  }

  EventLoop& loop;
  StandInFrontState& state;
};

}

StandInFront::StandInFront(EventLoop& aLoop, std::string const& aAddress)
{
  VERIFY(ListenForRpc(aLoop, aAddress, kj::heap<Server>(aLoop, this->state), this->receiver, this->server));
  this->serving = this->server->listen(*this->receiver).eagerlyEvaluate(nullptr);
}

}
