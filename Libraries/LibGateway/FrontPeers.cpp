#include "FrontPeers.h"
#include "Gateway.capnp.h"
#include <capnp/rpc-twoparty.h>
#include <netinet/tcp.h>

namespace Hornbeam::Gateway {

/// How long a probe may take, and the time between probes while orders are open. Together they bound how late the end
/// of a peer is noticed; a frozen peer acknowledges bytes but answers nothing.
static constexpr Duration kProbeTimeout = 700ms;
static constexpr Duration kProbeInterval = 300ms;
static constexpr Duration kFetchTimeout = 2s;
/// Unacknowledged bytes end a connection after this.
static constexpr int kUnacknowledgedMs = 1000;

namespace {

StageOrder
ReadOrder(Wire::StageOrder::Reader aWire, MonotonicTime aNow)
{
  StageOrder order;
  order.requestId = aWire.getRequestId().cStr();
  order.stage = aWire.getStage();
  order.pieces = aWire.getPieces();
  order.rank = aWire.getRank();
  order.target = aNow + Duration(aWire.getTargetLeftUs());
  order.deadline = aNow + Duration(aWire.getDeadlineLeftUs());
  order.later = Duration(aWire.getLaterUs());
  order.pieceBytes = aWire.getPieceBytes();
  order.dataCenter = aWire.getDataCenter().cStr();
  order.crossingBytes = aWire.getCrossingBytes();
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
  aWire.setPieces(order.pieces);
  aWire.setRank(static_cast<std::int16_t>(order.rank));
  aWire.setTargetLeftUs((order.target - aNow).count());
  aWire.setDeadlineLeftUs((order.deadline - aNow).count());
  aWire.setLaterUs(order.later.count());
  aWire.setPieceBytes(order.pieceBytes);
  aWire.setDataCenter(order.dataCenter);
  aWire.setCrossingBytes(order.crossingBytes);
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

/// The client side of one connection.
struct FrontPeers::Connection
{
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
  /// Orders that wait for their result, and how to end them when the connection fails.
  std::map<std::uint64_t, std::function<void()>> openOrders;
  bool probing{ false };
};

struct FrontPeers::Implementation : public kj::TaskSet::ErrorHandler
{
  explicit Implementation(EventLoop& aLoop)
    : loop(aLoop)
    , tasks(*this)
  {
  }

  void taskFailed(kj::Exception&& aException) override
  {
    PART_WARNING("peers") << "event=task-failed reason=\"" << aException.getDescription().cStr() << "\"";
  }

  static void SetUpStream(kj::AsyncIoStream& aStream)
  {
    int const on = 1;
    aStream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    aStream.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMs, sizeof(kUnacknowledgedMs));
  }

  kj::Promise<std::shared_ptr<Connection>> Connect(std::string const& aAddress)
  {
    auto const found = this->connections.find(aAddress);
    if (found != this->connections.end())
      return found->second;
    auto& timer = this->loop.Io().provider->getTimer();
    auto connected =
      this->loop.Io().provider->getNetwork().parseAddress(aAddress).then([](kj::Own<kj::NetworkAddress> aParsed) {
        auto promise = aParsed->connect();
        return promise.attach(kj::mv(aParsed));
      });
    return timer.timeoutAfter(kProbeTimeout.count() * kj::MICROSECONDS, kj::mv(connected))
      .then([this, aAddress](kj::Own<kj::AsyncIoStream> aStream) {
        // Two calls may have begun to connect; the connection that came first serves both.
        auto& connection = this->connections[aAddress];
        if (!connection) {
          connection = std::make_shared<Connection>();
          connection->stream = kj::mv(aStream);
          SetUpStream(*connection->stream);
          connection->client = kj::heap<capnp::TwoPartyClient>(*connection->stream);
          this->DropWhenClosed(aAddress, connection);
        }
        return connection;
      });
  }

  void DropWhenClosed(std::string const& aAddress, std::weak_ptr<Connection> const& aConnection)
  {
    this->tasks.add(aConnection.lock()->client->onDisconnect().then([this, aAddress, aConnection] {
      auto const found = this->connections.find(aAddress);
      if (found != this->connections.end() && found->second == aConnection.lock())
        this->Drop(aAddress);
      this->loop.Wake();
    }));
  }

  /// Closes a connection at the next turn of the loop: its own callbacks may be running now.
  void Drop(std::string const& aAddress)
  {
    auto const found = this->connections.find(aAddress);
    if (found == this->connections.end())
      return;
    auto const connection = found->second;
    this->connections.erase(found);
    auto const open = std::move(connection->openOrders);
    connection->openOrders.clear();
    this->loop.RuntimeClock().Schedule(Duration::zero(), [connection, open] {
      for (auto const& [id, fail] : open)
        fail();
      // Cap'n Proto throws when it is told to shut down a connection that the peer has closed.
      kj::runCatchingExceptions([&] { connection->client = nullptr; });
      kj::runCatchingExceptions([&] { connection->stream = nullptr; });
    });
  }

  /// Runs one call within a time. aCall makes the promise of its result from the client.
  template<typename Result, typename Call>
  void Run(std::string const& aAddress, Duration aTimeout, Call aCall, std::function<void(std::optional<Result>)> aDone)
  {
    auto& timer = this->loop.Io().provider->getTimer();
    auto const done = std::make_shared<std::function<void(std::optional<Result>)>>(std::move(aDone));
    // A connection that has just broken throws when it is used; evalNow makes that a failed promise.
    auto result = kj::evalNow([&] {
      return this->Connect(aAddress).then([aCall = kj::mv(aCall)](std::shared_ptr<Connection> aConnection) mutable {
        return aCall(ClientOf(*aConnection));
      });
    });
    auto promise = timer.timeoutAfter(aTimeout.count() * kj::MICROSECONDS, kj::mv(result));
    this->tasks.add(promise.then(
      [this, done](Result&& aResult) {
        (*done)(std::move(aResult));
        this->loop.Wake();
      },
      [this, done, aAddress](kj::Exception&&) {
        this->Drop(aAddress);
        (*done)(std::nullopt);
        this->loop.Wake();
      }));
  }

  /// Throws, which becomes a failed promise, when the connection was dropped after it had been found.
  static Wire::GatewayPeer::Client ClientOf(Connection& aConnection)
  {
    KJ_REQUIRE(aConnection.client.get() != nullptr, "the connection was dropped");
    return aConnection.client->bootstrap().castAs<Wire::GatewayPeer>();
  }

  static auto PingCall()
  {
    return [](Wire::GatewayPeer::Client aClient) {
      return aClient.pingRequest().send().then(
        [](auto&& aResponse) { return std::int64_t(aResponse.getIncarnation()); });
    };
  }

  void Probe(std::string const& aAddress)
  {
    auto const found = this->connections.find(aAddress);
    if (found == this->connections.end() || found->second->probing)
      return;
    found->second->probing = true;
    this->loop.RuntimeClock().Schedule(kProbeInterval, [this, aAddress] {
      auto const connection = this->connections.find(aAddress);
      if (connection == this->connections.end())
        return;
      connection->second->probing = false;
      if (connection->second->openOrders.empty())
        return;
      this->Run<std::int64_t>(
        aAddress, kProbeTimeout, PingCall(), [this, aAddress](std::optional<std::int64_t> aAnswer) {
          if (aAnswer)
            this->Probe(aAddress);
        });
    });
  }

  /// Forgets an order's promise at the next turn: it may be running now.
  void Forget(std::uint64_t aOrder)
  {
    this->loop.RuntimeClock().Schedule(Duration::zero(), [this, aOrder] { this->orders.erase(aOrder); });
  }

  EventLoop& loop;
  FrontPeerHandlers handlers;
  std::map<std::string, std::shared_ptr<Connection>> connections;
  std::map<std::uint64_t, kj::Promise<void>> orders;
  std::uint64_t lastOrder{ 0 };
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Own<capnp::TwoPartyServer> server;
  kj::TaskSet tasks;
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
  // KJ reports an address that is taken by an exception; outcomes are values here.
  auto const failure = kj::runCatchingExceptions([&] {
    auto address = self.loop.Io().provider->getNetwork().parseAddress(aAddress).wait(self.loop.Io().waitScope);
    self.receiver = address->listen();
  });
  KJ_IF_MAYBE (exception, failure) {
    PART_WARNING("peers") << "event=cannot-listen address=" << aAddress << " reason=\""
                          << exception->getDescription().cStr() << "\"";
    return false;
  }
  self.server = kj::heap<capnp::TwoPartyServer>(kj::heap<PeerServer>(self.loop, self.handlers));
  self.tasks.add(self.server->listen(*self.receiver));
  return true;
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
    auto const connection = self->connections.find(aAddress);
    if (connection != self->connections.end())
      connection->second->openOrders.erase(id);
    self->Forget(id);
    if (auto const action = std::move(*done)) {
      *done = nullptr;
      action(std::move(aResult));
    }
    self->loop.Wake();
  };
  auto promise = kj::evalNow([&] {
    return self->Connect(aAddress).then([=](std::shared_ptr<Connection> aConnection) {
      auto request = Implementation::ClientOf(*aConnection).makeStageRequest();
      aConnection->openOrders[id] = [finish] { finish(std::nullopt); };
      self->Probe(aAddress);
      WriteOrder(aOrder, request.initOrder(), self->loop.RuntimeClock().Now());
      return request.send().then([](auto&& aResponse) {
        auto const wire = aResponse.getResult();
        StageResult result;
        result.end = ReadEnd(wire.getEnd());
        result.retryAfter = Duration(wire.getRetryAfterUs());
        for (auto const handle : wire.getHandles())
          result.handles.emplace_back(handle.cStr());
        return result;
      });
    });
  });
  auto settled = promise.then([finish](StageResult&& aResult) { finish(std::move(aResult)); },
                              [finish, self, aAddress](kj::Exception&&) {
                                self->Drop(aAddress);
                                finish(std::nullopt);
                              });
  self->orders.emplace(id, settled.eagerlyEvaluate(nullptr));
  self->loop.Wake();
  return [self, id, done, aAddress] {
    *done = nullptr;
    auto const connection = self->connections.find(aAddress);
    if (connection != self->connections.end())
      connection->second->openOrders.erase(id);
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
  auto call = [aService, aHandles](Wire::GatewayPeer::Client aClient) {
    auto request = aClient.releaseResultsRequest();
    request.setService(aService);
    WriteTexts(aHandles, request.initHandles(unsigned(aHandles.size())));
    return request.send().then([](auto&&) { return true; });
  };
  this->implementation->Run<bool>(aAddress, kFetchTimeout, kj::mv(call), [](std::optional<bool>) {});
  this->implementation->loop.Wake();
}

void
FrontPeers::Ping(std::string const& aAddress, std::function<void(std::optional<std::int64_t>)> aDone)
{
  ++this->calls;
  this->implementation->Run<std::int64_t>(aAddress, kProbeTimeout, Implementation::PingCall(), std::move(aDone));
  this->implementation->loop.Wake();
}

void
FrontPeers::FetchKnownObjects(std::string const& aAddress,
                              std::function<void(std::optional<std::vector<KnownObject>>)> aDone)
{
  ++this->calls;
  auto call = [](Wire::GatewayPeer::Client aClient) {
    return aClient.knownObjectsRequest().send().then([](auto&& aResponse) {
      std::vector<KnownObject> objects;
      for (auto const object : aResponse.getObjects())
        objects.push_back({ object.getKind(), object.getDocument().cStr() });
      return objects;
    });
  };
  this->implementation->Run<std::vector<KnownObject>>(aAddress, kFetchTimeout, kj::mv(call), std::move(aDone));
  this->implementation->loop.Wake();
}

}
