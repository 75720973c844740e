#include "FrontPeers.h"
#include "Gateway.capnp.h"
#include "LoadReportMessage.h"
#include "RelayWire.h"
#include "VersionReportWire.h"
#include <LibRpc/LibRpc.h>
#include <set>

namespace Hornbeam::Gateway {

/// The timeout of a probe, and the interval between probes while jobs are in flight. Their sum bounds the time until a
/// failed peer is detected. TCP alone does not detect a frozen process, whose kernel still acknowledges bytes.
static constexpr Duration kProbeTimeout = 700ms;
static constexpr Duration kProbeInterval = 300ms;
static constexpr Duration kFetchTimeout = 2s;
/// Includes a read of the store by the keeper.
static constexpr Duration kFindTimeout = 1s;

namespace {

// NOTE: The wire names stay for compatibility: StageOrder is a job, pieces are items, rank is the priority, laterUs the
// time after the stage, crossingBytes the bytes between data centres, made is completed, and moved is handed off.

StageJob
ReadJob(Wire::StageOrder::Reader aWire, MonotonicTime aNow)
{
  StageJob job;
  job.requestId = aWire.getRequestId().cStr();
  job.stage = aWire.getStage();
  job.items = aWire.getPieces();
  job.priority = aWire.getRank();
  job.target = aNow + Duration(aWire.getTargetLeftUs());
  job.deadline = aNow + Duration(aWire.getDeadlineLeftUs());
  job.timeAfterStage = Duration(aWire.getLaterUs());
  job.itemBytes = aWire.getPieceBytes();
  job.dataCenter = aWire.getDataCenter().cStr();
  job.crossDataCenterBytes = aWire.getCrossingBytes();
  job.key = aWire.getKey().cStr();
  for (auto const input : aWire.getInputs())
    job.inputs.emplace_back(input.cStr());
  return job;
}

template<typename List>
void
WriteStrings(std::vector<std::string> const& aStrings, List aWire)
{
  unsigned index = 0;
  for (auto const& text : aStrings)
    aWire.set(index++, text);
}

void
WriteJob(RemoteStageJob const& aJob, Wire::StageOrder::Builder aWire, MonotonicTime aNow)
{
  auto const& job = aJob.job;
  aWire.setService(aJob.service);
  aWire.setRequestId(job.requestId);
  aWire.setStage(static_cast<std::uint16_t>(job.stage));
  aWire.setPieces(job.items);
  aWire.setRank(static_cast<std::int16_t>(job.priority));
  aWire.setTargetLeftUs((job.target - aNow).count());
  aWire.setDeadlineLeftUs((job.deadline - aNow).count());
  aWire.setLaterUs(job.timeAfterStage.count());
  aWire.setPieceBytes(job.itemBytes);
  aWire.setDataCenter(job.dataCenter);
  aWire.setCrossingBytes(job.crossDataCenterBytes);
  aWire.setKey(job.key);
  WriteStrings(job.inputs, aWire.initInputs(unsigned(job.inputs.size())));
}

// NOTE: Both enums declare their enumerators in the same order.
StageEnd
ReadEnd(Wire::StageEnd aWire)
{
  return static_cast<StageEnd>(aWire);
}

/// What the server of a front calls. KJ may drop calls in flight as late as when its event loop is destroyed, after the
/// front's services.
struct ServedFront
{
  FrontPeerHandlers handlers;
  /// Cleared when the front is destroyed.
  bool alive{ true };
};

/// Connects a call's result to a callback, which may run after the call has been dropped.
template<typename Result>
struct CallResult
{
  CallResult()
    : CallResult(kj::newPromiseAndFulfiller<Result>())
  {
  }

  /// Returns the callback that ends the call.
  auto Callback() const
  {
    return [fulfiller = this->fulfiller, ended = this->ended](Result aResult) {
      *ended = true;
      (*fulfiller)->fulfill(kj::mv(aResult));
    };
  }

  /// Returns an action that cancels the work unless the call or the front has ended.
  auto CancelUnlessEnded(CancelAction aCancel, std::shared_ptr<ServedFront> aFront) const
  {
    return kj::defer([cancel = std::move(aCancel), ended = this->ended, front = std::move(aFront)] {
      if (!*ended && front->alive)
        cancel();
    });
  }

  kj::Promise<Result> promise;
  std::shared_ptr<kj::Own<kj::PromiseFulfiller<Result>>> fulfiller;
  std::shared_ptr<bool> ended{ std::make_shared<bool>(false) };

private:
  explicit CallResult(kj::PromiseFulfillerPair<Result> aPair)
    : promise(kj::mv(aPair.promise))
    , fulfiller(std::make_shared<kj::Own<kj::PromiseFulfiller<Result>>>(kj::mv(aPair.fulfiller)))
  {
  }
};

void
WriteRecord(StreamRecord const& aRecord, Wire::StreamRecord::Builder aWire)
{
  aWire.setRequestId(aRecord.requestId);
  aWire.setService(aRecord.origin.service);
  aWire.setSoftwareVersion(aRecord.origin.softwareVersion);
  aWire.setRequester(aRecord.origin.requester);
}

StreamRecord
ReadRecord(Wire::StreamRecord::Reader aWire)
{
  return { aWire.getRequestId().cStr(),
           { aWire.getService().cStr(), aWire.getSoftwareVersion().cStr(), aWire.getRequester() } };
}

class PeerServer final : public Wire::GatewayPeer::Server
{
public:
  PeerServer(EventLoop& aLoop, std::shared_ptr<ServedFront> aFront)
    : loop(aLoop)
    , front(std::move(aFront))
  {
  }

  kj::Promise<void> makeStage(MakeStageContext aContext) override
  {
    auto const wire = aContext.getParams().getOrder();
    RemoteStageJob job{ wire.getService().cStr(), ReadJob(wire, this->loop.RuntimeClock().Now()) };
    aContext.releaseParams();
    aContext.allowCancellation();
    CallResult<StageResult> result;
    auto cancel = this->Handlers().runStage(std::move(job), result.Callback());
    this->loop.Wake();
    return result.promise
      .then([aContext](StageResult aResult) mutable {
        auto wireResult = aContext.getResults().initResult();
        wireResult.setEnd(static_cast<Wire::StageEnd>(aResult.end));
        wireResult.setRetryAfterUs(aResult.retryAfter.count());
        wireResult.setBacklogUs(aResult.backlog.count());
        wireResult.setComputingUs(aResult.computing.count());
        WriteStrings(aResult.handles, wireResult.initHandles(unsigned(aResult.handles.size())));
      })
      .attach(result.CancelUnlessEnded(std::move(cancel), this->front));
  }

  kj::Promise<void> releaseResults(ReleaseResultsContext aContext) override
  {
    std::vector<std::string> handles;
    for (auto const handle : aContext.getParams().getHandles())
      handles.emplace_back(handle.cStr());
    this->Handlers().releaseResults(aContext.getParams().getService().cStr(), handles);
    this->loop.Wake();
    return kj::READY_NOW;
  }

  kj::Promise<void> ping(PingContext aContext) override
  {
    auto const status = this->Handlers().status();
    aContext.getResults().setIncarnation(status.incarnation);
    aContext.getResults().setTableVersion(status.tableVersion);
    aContext.getResults().setStoreEra(status.storeEra);
    return kj::READY_NOW;
  }

  kj::Promise<void> knownObjects(KnownObjectsContext aContext) override
  {
    auto const state = this->Handlers().cachedState();
    auto wire = aContext.getResults().initObjects(unsigned(state.objects.size()));
    for (unsigned index = 0; index < state.objects.size(); ++index) {
      wire[index].setKind(std::uint8_t(state.objects[index].kind));
      wire[index].setDocument(state.objects[index].document);
    }
    aContext.getResults().setCoverage(std::uint8_t(state.coverage));
    return kj::READY_NOW;
  }

  kj::Promise<void> followStore(FollowStoreContext aContext) override
  {
    FollowRequest request;
    for (auto const revision : aContext.getParams().getRevisions())
      request.revisions.push_back(revision);
    request.wait = Duration(aContext.getParams().getWaitUs());
    request.kind = aContext.getParams().getNoticeOnly() ? PollKind::Notice : PollKind::Changes;
    for (auto const base : aContext.getParams().getBases())
      request.bases.push_back(base);
    aContext.releaseParams();
    aContext.allowCancellation();
    CallResult<FollowResponse> result;
    auto cancel = this->Handlers().follow(std::move(request), result.Callback());
    this->loop.Wake();
    return result.promise
      .then([aContext](FollowResponse aResponse) mutable {
        auto wire = aContext.getResults();
        wire.setAgeUs(aResponse.age.count());
        wire.setWatching(aResponse.watchesStore);
        WriteNumbers(aResponse.revisions, wire.initRevisions(unsigned(aResponse.revisions.size())));
        auto updates = wire.initUpdates(unsigned(aResponse.updates.size()));
        for (unsigned index = 0; index < aResponse.updates.size(); ++index)
          WriteUpdate(aResponse.updates[index], updates[index]);
      })
      .attach(result.CancelUnlessEnded(std::move(cancel), this->front));
  }

  kj::Promise<void> recordStreams(RecordStreamsContext aContext) override
  {
    std::vector<StreamRecord> records;
    for (auto const record : aContext.getParams().getRecords())
      records.push_back(ReadRecord(record));
    this->Handlers().recordStreams(records);
    this->loop.Wake();
    return kj::READY_NOW;
  }

  kj::Promise<void> findStream(FindStreamContext aContext) override
  {
    auto const wire = aContext.getParams();
    StreamQuestion const question{ wire.getRequestId().cStr(), wire.getService().cStr(), wire.getRequester() };
    aContext.releaseParams();
    CallResult<std::optional<StreamOrigin>> result;
    this->Handlers().findStream(question, result.Callback());
    this->loop.Wake();
    return result.promise.then([aContext, question](std::optional<StreamOrigin> aOrigin) mutable {
      aContext.getResults().setKnown(aOrigin.has_value());
      if (aOrigin)
        WriteRecord({ question.requestId, *aOrigin }, aContext.getResults().initRecord());
    });
  }

  kj::Promise<void> exchangeLoads(ExchangeLoadsContext aContext) override
  {
    auto report = ReadLoads(aContext.getParams().getReport());
    aContext.releaseParams();
    KJ_REQUIRE(report.has_value(), "unreadable loads");
    auto const reply = this->Handlers().exchangeLoads(std::move(*report));
    if (reply)
      WriteLoads(*reply, aContext.getResults().initReply());
    return kj::READY_NOW;
  }

  kj::Promise<void> reportVersions(ReportVersionsContext aContext) override
  {
    aContext.getResults().setShare(
      this->Handlers().reportVersions(ReadVersionReport(aContext.getParams().getReport())));
    this->loop.Wake();
    return kj::READY_NOW;
  }

private:
  /// Throws if the front has been destroyed, which fails the call.
  FrontPeerHandlers const& Handlers() const
  {
    KJ_REQUIRE(this->front->alive, "the front was destroyed");
    return this->front->handlers;
  }

  EventLoop& loop;
  std::shared_ptr<ServedFront> front;
};

}

struct FrontPeers::Implementation
{
  explicit Implementation(EventLoop& aLoop)
    : loop(aLoop)
    , connections(aLoop)
  {
  }

  static auto PingCall()
  {
    return [](Wire::GatewayPeer::Client& aClient) {
      return aClient.pingRequest().send().then([](auto&& aResponse) {
        return PeerStatus{ aResponse.getIncarnation(), aResponse.getTableVersion(), aResponse.getStoreEra() };
      });
    };
  }

  /// Probes a connection periodically while jobs are in flight on it.
  void Probe(std::string const& aAddress)
  {
    if (!this->scheduledProbes.insert(aAddress).second)
      return;
    this->loop.RuntimeClock().Schedule(kProbeInterval, [this, aAddress] {
      this->scheduledProbes.erase(aAddress);
      auto const* const connection = this->connections.Find(aAddress);
      if (connection == nullptr || connection->whenDropped.empty())
        return;
      this->connections.Run<PeerStatus>(
        aAddress,
        kProbeTimeout,
        PingCall(),
        [this, aAddress](auto aResponse) {
          if (aResponse)
            this->Probe(aAddress);
        },
        WhenLate::Drop);
    });
  }

  /// Removes the job's callback for a dropped connection.
  void Detach(std::string const& aAddress, std::uint64_t aJobId)
  {
    if (auto* const connection = this->connections.Find(aAddress))
      connection->whenDropped.erase(aJobId);
  }

  /// Destroys a job's promise at the next turn of the event loop, since the promise's continuation may be running now.
  void ReleasePromise(std::uint64_t aJobId)
  {
    this->loop.RuntimeClock().Schedule(Duration::zero(), [this, aJobId] { this->jobPromises.erase(aJobId); });
  }

  EventLoop& loop;
  std::shared_ptr<ServedFront> served{ std::make_shared<ServedFront>() };
  RpcConnections<Wire::GatewayPeer> connections;
  std::set<std::string> scheduledProbes;
  std::map<std::uint64_t, kj::Promise<void>> jobPromises;
  std::uint64_t lastJobId{ 0 };
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Own<capnp::TwoPartyServer> server;
  kj::Promise<void> serving{ nullptr };
};

FrontPeers::FrontPeers(EventLoop& aLoop)
  : implementation(std::make_unique<Implementation>(aLoop))
{
}

FrontPeers::~FrontPeers()
{
  this->implementation->served->alive = false;
}

bool
FrontPeers::Listen(std::string const& aAddress, FrontPeerHandlers aHandlers)
{
  auto& self = *this->implementation;
  self.served->handlers = std::move(aHandlers);
  if (!ListenForRpc(self.loop, aAddress, kj::heap<PeerServer>(self.loop, self.served), self.receiver, self.server))
    return false;
  self.serving = self.server->listen(*self.receiver).eagerlyEvaluate(nullptr);
  return true;
}

void
FrontPeers::StopListening()
{
  auto& self = *this->implementation;
  self.serving = nullptr;
  self.server = nullptr;
  self.receiver = nullptr;
}

CancelAction
FrontPeers::RunStage(std::string const& aAddress,
                     RemoteStageJob const& aJob,
                     std::function<void(std::optional<StageResult>)> aDone)
{
  ++this->calls;
  auto* const self = this->implementation.get();
  auto const id = ++self->lastJobId;
  auto const done = std::make_shared<std::function<void(std::optional<StageResult>)>>(std::move(aDone));
  auto const finish = [self, id, done, aAddress](std::optional<StageResult> aResult) {
    self->Detach(aAddress, id);
    self->ReleasePromise(id);
    if (auto const action = std::move(*done)) {
      *done = nullptr;
      action(std::move(aResult));
    }
    self->loop.Wake();
  };
  auto const inFlight = self->connections.BeginCall(aAddress);
  auto promise = kj::evalNow([&] {
    return self->connections.Connect(aAddress).then([=](auto aConnection) {
      self->connections.Assign(*inFlight, aConnection);
      auto request = self->connections.ClientOf(*aConnection).makeStageRequest();
      aConnection->whenDropped[id] = [finish] { finish(std::nullopt); };
      self->Probe(aAddress);
      WriteJob(aJob, request.initOrder(), self->loop.RuntimeClock().Now());
      return request.send().then([](auto&& aResponse) {
        auto const wire = aResponse.getResult();
        StageResult result;
        result.end = ReadEnd(wire.getEnd());
        result.retryAfter = Duration(wire.getRetryAfterUs());
        result.backlog = Duration(wire.getBacklogUs());
        result.computing = Duration(wire.getComputingUs());
        for (auto const handle : wire.getHandles())
          result.handles.emplace_back(handle.cStr());
        return result;
      });
    });
  });
  auto settled = promise.then(
    [finish, self, inFlight](StageResult&& aResult) {
      self->connections.OnAnswer(*inFlight);
      finish(std::move(aResult));
    },
    [finish, self, inFlight](kj::Exception&& aException) {
      self->connections.OnFailure(*inFlight, aException, WhenLate::Drop);
      finish(std::nullopt);
    });
  self->jobPromises.emplace(id, settled.eagerlyEvaluate(nullptr));
  self->loop.Wake();
  return [self, id, done, aAddress] {
    *done = nullptr;
    self->Detach(aAddress, id);
    self->ReleasePromise(id);
    self->loop.Wake();
  };
}

void
FrontPeers::ReleaseResults(std::string const& aAddress,
                           std::string const& aService,
                           std::vector<std::string> const& aHandles,
                           std::function<void(bool)> aDone)
{
  ++this->calls;
  auto call = [aService, aHandles](Wire::GatewayPeer::Client& aClient) {
    auto request = aClient.releaseResultsRequest();
    request.setService(aService);
    WriteStrings(aHandles, request.initHandles(unsigned(aHandles.size())));
    return request.send().then([](auto&&) { return true; });
  };
  this->implementation->connections.Run<bool>(
    aAddress, kFetchTimeout, kj::mv(call), [aDone = std::move(aDone)](std::optional<bool> aReleased) {
      aDone(aReleased.has_value());
    });
}

void
FrontPeers::Ping(std::string const& aAddress, std::function<void(std::optional<PeerStatus>)> aDone)
{
  ++this->calls;
  this->implementation->connections.Run<PeerStatus>(
    aAddress, kProbeTimeout, Implementation::PingCall(), std::move(aDone), WhenLate::Drop);
}

void
FrontPeers::FetchCachedState(std::string const& aAddress, std::function<void(std::optional<CachedState>)> aDone)
{
  ++this->calls;
  auto call = [](Wire::GatewayPeer::Client& aClient) {
    return aClient.knownObjectsRequest().send().then([](auto&& aResponse) {
      CachedState state;
      for (auto const object : aResponse.getObjects())
        state.objects.push_back({ object.getKind(), object.getDocument().cStr() });
      state.coverage = static_cast<CacheCoverage>(aResponse.getCoverage());
      return state;
    });
  };
  this->implementation->connections.Run<CachedState>(aAddress, kFetchTimeout, kj::mv(call), std::move(aDone));
}

void
FrontPeers::Follow(std::string const& aAddress,
                   FollowRequest const& aRequest,
                   std::function<void(std::optional<FollowResponse>)> aDone)
{
  ++this->calls;
  auto call = [aRequest](Wire::GatewayPeer::Client& aClient) {
    auto request = aClient.followStoreRequest();
    request.setWaitUs(aRequest.wait.count());
    request.setNoticeOnly(aRequest.kind == PollKind::Notice);
    WriteNumbers(aRequest.revisions, request.initRevisions(unsigned(aRequest.revisions.size())));
    WriteNumbers(aRequest.bases, request.initBases(unsigned(aRequest.bases.size())));
    return request.send().then([](auto&& aResponse) {
      FollowResponse response;
      response.age = Duration(aResponse.getAgeUs());
      response.watchesStore = aResponse.getWatching();
      for (auto const revision : aResponse.getRevisions())
        response.revisions.push_back(revision);
      for (auto const update : aResponse.getUpdates())
        response.updates.push_back(ReadUpdate(update));
      return response;
    });
  };
  this->implementation->connections.Run<FollowResponse>(
    aAddress, aRequest.wait + kProbeTimeout, kj::mv(call), std::move(aDone));
}

void
FrontPeers::RecordStreams(std::string const& aAddress,
                          std::vector<StreamRecord> const& aRecords,
                          std::function<void(bool)> aDone)
{
  ++this->calls;
  auto call = [aRecords](Wire::GatewayPeer::Client& aClient) {
    auto request = aClient.recordStreamsRequest();
    auto wire = request.initRecords(unsigned(aRecords.size()));
    for (unsigned index = 0; index < aRecords.size(); ++index)
      WriteRecord(aRecords[index], wire[index]);
    return request.send().then([](auto&&) { return true; });
  };
  this->implementation->connections.Run<bool>(
    aAddress, kProbeTimeout, kj::mv(call), [aDone = std::move(aDone)](std::optional<bool> aRecorded) {
      aDone(aRecorded.has_value());
    });
}

void
FrontPeers::FindStream(std::string const& aAddress, StreamQuestion const& aQuestion, OriginCallback aDone)
{
  ++this->calls;
  using Found = std::optional<StreamOrigin>;
  auto call = [aQuestion](Wire::GatewayPeer::Client& aClient) {
    auto request = aClient.findStreamRequest();
    request.setRequestId(aQuestion.requestId);
    request.setService(aQuestion.service);
    request.setRequester(aQuestion.requester);
    return request.send().then([](auto&& aResponse) {
      return aResponse.getKnown() ? Found(ReadRecord(aResponse.getRecord()).origin) : Found();
    });
  };
  this->implementation->connections.Run<Found>(
    aAddress, kFindTimeout, kj::mv(call), [aDone = std::move(aDone)](std::optional<Found> aFound) {
      aDone(aFound.value_or(std::nullopt));
    });
}

void
FrontPeers::ExchangeLoads(std::string const& aAddress,
                          LoadReport const& aReport,
                          std::function<void(std::optional<LoadReport>)> aDone)
{
  ++this->calls;
  using Reply = std::optional<LoadReport>;
  auto call = [aReport](Wire::GatewayPeer::Client& aClient) {
    auto request = aClient.exchangeLoadsRequest();
    WriteLoads(aReport, request.initReport());
    // A reply without loads is not one: those of no endpoint have a header.
    return request.send().then([](auto&& aResponse) { return ReadLoads(aResponse.getReply()); });
  };
  this->implementation->connections.Run<Reply>(
    aAddress, kProbeTimeout, kj::mv(call), [aDone = std::move(aDone)](std::optional<Reply> aReply) {
      aDone(std::move(aReply).value_or(std::nullopt));
    });
}

void
FrontPeers::ReportVersions(std::string const& aAddress,
                           RemoteVersionReport const& aReport,
                           std::function<void(std::optional<double>)> aDone)
{
  ++this->calls;
  auto call = [aReport](Wire::GatewayPeer::Client& aClient) {
    auto request = aClient.reportVersionsRequest();
    WriteVersionReport(aReport, request.initReport());
    return request.send().then([](auto&& aResponse) { return double(aResponse.getShare()); });
  };
  this->implementation->connections.Run<double>(aAddress, kProbeTimeout, kj::mv(call), std::move(aDone));
}

}
