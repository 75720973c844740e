#include "FrontPeers.h"
#include "Gateway.capnp.h"
#include <LibRpc/LibRpc.h>
#include <set>

namespace Hornbeam::Gateway {

/// How long a probe may take, and the time between probes while orders are open. Together they bound how late the end
/// of a peer is noticed; a frozen peer acknowledges bytes but answers nothing.
static constexpr Duration kProbeTimeout = 700ms;
static constexpr Duration kProbeInterval = 300ms;
static constexpr Duration kFetchTimeout = 2s;

namespace {

StageJob
ReadOrder(Wire::StageOrder::Reader aWire, MonotonicTime aNow)
{
  StageJob order;
  order.requestId = aWire.getRequestId().cStr();
  order.stage = aWire.getStage();
  order.items = aWire.getPieces();
  order.priority = aWire.getRank();
  order.target = aNow + Duration(aWire.getTargetLeftUs());
  order.deadline = aNow + Duration(aWire.getDeadlineLeftUs());
  order.timeAfterStage = Duration(aWire.getLaterUs());
  order.itemBytes = aWire.getPieceBytes();
  order.dataCenter = aWire.getDataCenter().cStr();
  order.crossDataCenterBytes = aWire.getCrossingBytes();
  order.key = aWire.getKey().cStr();
  for (auto const input : aWire.getInputs())
    order.inputs.emplace_back(input.cStr());
  return order;
}

template<typename List>
void
WriteTexts(std::vector<std::string> const& aTexts, List aWire)
{
  unsigned index = 0;
  for (auto const& text : aTexts)
    aWire.set(index++, text);
}

void
WriteOrder(RemoteOrder const& aOrder, Wire::StageOrder::Builder aWire, MonotonicTime aNow)
{
  auto const& order = aOrder.order;
  aWire.setService(aOrder.service);
  aWire.setRequestId(order.requestId);
  aWire.setStage(static_cast<std::uint16_t>(order.stage));
  aWire.setPieces(order.items);
  aWire.setRank(static_cast<std::int16_t>(order.priority));
  aWire.setTargetLeftUs((order.target - aNow).count());
  aWire.setDeadlineLeftUs((order.deadline - aNow).count());
  aWire.setLaterUs(order.timeAfterStage.count());
  aWire.setPieceBytes(order.itemBytes);
  aWire.setDataCenter(order.dataCenter);
  aWire.setCrossingBytes(order.crossDataCenterBytes);
  aWire.setKey(order.key);
  WriteTexts(order.inputs, aWire.initInputs(unsigned(order.inputs.size())));
}

// NOTE: The enumerators of both sides stand in the same order.
StageEnd
ReadEnd(Wire::StageEnd aWire)
{
  return static_cast<StageEnd>(aWire);
}

class PeerServer final : public Wire::GatewayPeer::Server
{
public:
  PeerServer(EventLoop& aLoop, FrontPeerHandlers const& aHandlers)
    : loop(aLoop)
    , handlers(aHandlers)
  {
  }

  kj::Promise<void> makeStage(MakeStageContext aContext) override
  {
    auto const wire = aContext.getParams().getOrder();
    RemoteOrder order{ wire.getService().cStr(), ReadOrder(wire, this->loop.RuntimeClock().Now()) };
    aContext.releaseParams();
    aContext.allowCancellation();
    auto pair = kj::newPromiseAndFulfiller<StageResult>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<StageResult>>>(kj::mv(pair.fulfiller));
    auto const ended = std::make_shared<bool>(false);
    auto cancel = this->handlers.makeStage(std::move(order), [fulfiller, ended](StageResult aResult) {
      *ended = true;
      (*fulfiller)->fulfill(kj::mv(aResult));
    });
    this->loop.Wake();
    auto cancelUnlessEnded = [cancel = std::move(cancel), ended] {
      if (!*ended)
        cancel();
    };
    return pair.promise
      .then([aContext](StageResult aResult) mutable {
        auto wireResult = aContext.getResults().initResult();
        wireResult.setEnd(static_cast<Wire::StageEnd>(aResult.end));
        wireResult.setRetryAfterUs(aResult.retryAfter.count());
        wireResult.setBacklogUs(aResult.backlog.count());
        WriteTexts(aResult.handles, wireResult.initHandles(unsigned(aResult.handles.size())));
      })
      .attach(kj::defer(kj::mv(cancelUnlessEnded)));
  }

  kj::Promise<void> releaseResults(ReleaseResultsContext aContext) override
  {
    std::vector<std::string> handles;
    for (auto const handle : aContext.getParams().getHandles())
      handles.emplace_back(handle.cStr());
    this->handlers.releaseResults(aContext.getParams().getService().cStr(), handles);
    this->loop.Wake();
    return kj::READY_NOW;
  }

  kj::Promise<void> ping(PingContext aContext) override
  {
    aContext.getResults().setIncarnation(this->handlers.incarnation());
    return kj::READY_NOW;
  }

  kj::Promise<void> knownObjects(KnownObjectsContext aContext) override
  {
    auto const objects = this->handlers.knownObjects();
    auto wire = aContext.getResults().initObjects(unsigned(objects.size()));
    for (unsigned index = 0; index < objects.size(); ++index) {
      wire[index].setKind(std::uint8_t(objects[index].kind));
      wire[index].setDocument(objects[index].document);
    }
    return kj::READY_NOW;
  }

private:
  EventLoop& loop;
  FrontPeerHandlers const& handlers;
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
      return aClient.pingRequest().send().then(
        [](auto&& aResponse) { return std::int64_t(aResponse.getIncarnation()); });
    };
  }

  /// Probes a connection for as long as orders are open on it.
  void Probe(std::string const& aAddress)
  {
    if (!this->probed.insert(aAddress).second)
      return;
    this->loop.RuntimeClock().Schedule(kProbeInterval, [this, aAddress] {
      this->probed.erase(aAddress);
      auto const* const connection = this->connections.Find(aAddress);
      if (connection == nullptr || connection->whenDropped.empty())
        return;
      this->connections.Run<std::int64_t>(aAddress, kProbeTimeout, PingCall(), [this, aAddress](auto aAnswer) {
        if (aAnswer)
          this->Probe(aAddress);
      });
    });
  }

  /// The order needs the connection no more.
  void Detach(std::string const& aAddress, std::uint64_t aOrder)
  {
    if (auto* const connection = this->connections.Find(aAddress))
      connection->whenDropped.erase(aOrder);
  }

  /// Forgets an order's promise at the next turn: it may be running now.
  void Forget(std::uint64_t aOrder)
  {
    this->loop.RuntimeClock().Schedule(Duration::zero(), [this, aOrder] { this->orders.erase(aOrder); });
  }

  EventLoop& loop;
  FrontPeerHandlers handlers;
  RpcConnections<Wire::GatewayPeer> connections;
  std::set<std::string> probed;
  std::map<std::uint64_t, kj::Promise<void>> orders;
  std::uint64_t lastOrder{ 0 };
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Own<capnp::TwoPartyServer> server;
  kj::Promise<void> serving{ nullptr };
};

FrontPeers::FrontPeers(EventLoop& aLoop)
  : implementation(std::make_unique<Implementation>(aLoop))
{
}

FrontPeers::~FrontPeers() = default;

bool
FrontPeers::Listen(std::string const& aAddress, FrontPeerHandlers aHandlers)
{
  auto& self = *this->implementation;
  self.handlers = std::move(aHandlers);
  if (!ListenForRpc(self.loop, aAddress, kj::heap<PeerServer>(self.loop, self.handlers), self.receiver, self.server))
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
FrontPeers::MakeStage(std::string const& aAddress,
                      RemoteOrder const& aOrder,
                      std::function<void(std::optional<StageResult>)> aDone)
{
  ++this->calls;
  auto* const self = this->implementation.get();
  auto const id = ++self->lastOrder;
  auto const done = std::make_shared<std::function<void(std::optional<StageResult>)>>(std::move(aDone));
  auto const finish = [self, id, done, aAddress](std::optional<StageResult> aResult) {
    self->Detach(aAddress, id);
    self->Forget(id);
    if (auto const action = std::move(*done)) {
      *done = nullptr;
      action(std::move(aResult));
    }
    self->loop.Wake();
  };
  auto promise = kj::evalNow([&] {
    return self->connections.Connect(aAddress).then([=](auto aConnection) {
      auto request = self->connections.ClientOf(*aConnection).makeStageRequest();
      aConnection->whenDropped[id] = [finish] { finish(std::nullopt); };
      self->Probe(aAddress);
      WriteOrder(aOrder, request.initOrder(), self->loop.RuntimeClock().Now());
      return request.send().then([](auto&& aResponse) {
        auto const wire = aResponse.getResult();
        StageResult result;
        result.end = ReadEnd(wire.getEnd());
        result.retryAfter = Duration(wire.getRetryAfterUs());
        result.backlog = Duration(wire.getBacklogUs());
        for (auto const handle : wire.getHandles())
          result.handles.emplace_back(handle.cStr());
        return result;
      });
    });
  });
  auto settled = promise.then([finish](StageResult&& aResult) { finish(std::move(aResult)); },
                              [finish, self, aAddress](kj::Exception&&) {
                                self->connections.Drop(aAddress);
                                finish(std::nullopt);
                              });
  self->orders.emplace(id, settled.eagerlyEvaluate(nullptr));
  self->loop.Wake();
  return [self, id, done, aAddress] {
    *done = nullptr;
    self->Detach(aAddress, id);
    self->Forget(id);
    self->loop.Wake();
  };
}

void
FrontPeers::ReleaseResults(std::string const& aAddress,
                           std::string const& aService,
                           std::vector<std::string> const& aHandles)
{
  ++this->calls;
  auto call = [aService, aHandles](Wire::GatewayPeer::Client& aClient) {
    auto request = aClient.releaseResultsRequest();
    request.setService(aService);
    WriteTexts(aHandles, request.initHandles(unsigned(aHandles.size())));
    return request.send().then([](auto&&) { return true; });
  };
  this->implementation->connections.Run<bool>(aAddress, kFetchTimeout, kj::mv(call), [](std::optional<bool>) {});
}

void
FrontPeers::Ping(std::string const& aAddress, std::function<void(std::optional<std::int64_t>)> aDone)
{
  ++this->calls;
  this->implementation->connections.Run<std::int64_t>(
    aAddress, kProbeTimeout, Implementation::PingCall(), std::move(aDone));
}

void
FrontPeers::FetchKnownObjects(std::string const& aAddress,
                              std::function<void(std::optional<std::vector<KnownObject>>)> aDone)
{
  ++this->calls;
  auto call = [](Wire::GatewayPeer::Client& aClient) {
    return aClient.knownObjectsRequest().send().then([](auto&& aResponse) {
      std::vector<KnownObject> objects;
      for (auto const object : aResponse.getObjects())
        objects.push_back({ object.getKind(), object.getDocument().cStr() });
      return objects;
    });
  };
  this->implementation->connections.Run<std::vector<KnownObject>>(
    aAddress, kFetchTimeout, kj::mv(call), std::move(aDone));
}

}
