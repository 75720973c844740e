#include "PeerNetwork.h"
#include "WireFormat.h"
#include <capnp/rpc-twoparty.h>

namespace Hornbeam {

/// How long a heartbeat, a grant request or a table may take.
static constexpr Duration kCallTimeout = 1s;

namespace {

/// The receiving side of the interface.
class FrontServer final : public Wire::Front::Server
{
public:
  FrontServer(EventLoop& aLoop, PeerHandlers const& aHandlers)
    : loop(aLoop)
    , handlers(aHandlers)
  {
  }

  kj::Promise<void> heartbeat(HeartbeatContext aContext) override
  {
    auto const answer = this->handlers.onHeartbeat(ReadHeartbeat(aContext.getParams().getMessage()));
    WriteHeartbeat(answer, aContext.getResults().initAnswer());
    this->loop.Wake();
    return kj::READY_NOW;
  }

  kj::Promise<void> requestGrants(RequestGrantsContext aContext) override
  {
    auto const answer = this->handlers.onGrantBatch(ReadGrantBatch(aContext.getParams().getBatch()));
    aContext.getResults().setReportTaken(answer.reportTaken);
    auto wire = aContext.getResults().initResults(static_cast<unsigned>(answer.results.size()));
    unsigned index = 0;
    for (auto const& result : answer.results)
      WriteGrantResult(result, wire[index++]);
    this->loop.Wake();
    return kj::READY_NOW;
  }

  kj::Promise<void> fetchTable(FetchTableContext aContext) override
  {
    aContext.getResults().setTable(this->handlers.onFetchTable());
    return kj::READY_NOW;
  }

  kj::Promise<void> recallGrants(RecallGrantsContext aContext) override
  {
    for (auto const key : aContext.getParams().getKeys())
      this->handlers.onRecallGrant(key.cStr());
    this->loop.Wake();
    return kj::READY_NOW;
  }

  kj::Promise<void> forward(ForwardContext aContext) override
  {
    auto const request = aContext.getParams().getRequest();
    ForwardedRequest const forwarded{ request.getPipeline().cStr(), request.getBody().cStr() };
    auto pair = kj::newPromiseAndFulfiller<std::string>();
    auto fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<std::string>>>(kj::mv(pair.fulfiller));
    this->handlers.onForward(forwarded, [fulfiller](std::string aAnswer) { (*fulfiller)->fulfill(kj::mv(aAnswer)); });
    this->loop.Wake();
    return pair.promise.then([aContext](std::string aAnswer) mutable { aContext.getResults().setAnswer(aAnswer); });
  }

private:
  EventLoop& loop;
  PeerHandlers const& handlers;
};

}

/// The client side of one connection.
struct PeerNetwork::Connection
{
  kj::Own<kj::AsyncIoStream> stream;
  kj::Own<capnp::TwoPartyClient> client;
};

struct PeerNetwork::Implementation : public kj::TaskSet::ErrorHandler
{
  explicit Implementation(EventLoop& aLoop)
    : loop(aLoop)
    , tasks(*this)
  {
  }

  void taskFailed(kj::Exception&& aException) override
  {
    PART_WARNING("peers") << "a task failed: " << aException.getDescription().cStr();
  }

  /// The connection to an address, being made or made.
  kj::Promise<Wire::Front::Client> Connect(std::string const& aAddress)
  {
    auto const found = this->connections.find(aAddress);
    if (found != this->connections.end())
      return Wire::Front::Client(found->second->client->bootstrap().castAs<Wire::Front>());
    return this->loop.Io()
      .provider->getNetwork()
      .parseAddress(aAddress)
      .then([](kj::Own<kj::NetworkAddress> aParsed) {
        auto promise = aParsed->connect();
        return promise.attach(kj::mv(aParsed));
      })
      .then([this, aAddress](kj::Own<kj::AsyncIoStream> aStream) {
        // Two calls may have begun to connect; the connection that came first serves both.
        auto& connection = this->connections[aAddress];
        if (!connection) {
          connection = std::make_shared<Connection>();
          connection->stream = kj::mv(aStream);
          connection->client = kj::heap<capnp::TwoPartyClient>(*connection->stream);
          this->DropWhenClosed(aAddress, connection);
        }
        return Wire::Front::Client(connection->client->bootstrap().castAs<Wire::Front>());
      });
  }

  /// Forgets a connection as soon as the peer has closed it, so that no call uses it afterwards.
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
    // Cap'n Proto throws when it is told to shut down a connection that the peer has closed.
    this->loop.RuntimeClock().Schedule(Duration::zero(), [connection] {
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
      return this->Connect(aAddress).then(
        [aCall = kj::mv(aCall)](Wire::Front::Client aClient) mutable { return aCall(aClient); });
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

  EventLoop& loop;
  PeerHandlers handlers;
  std::map<std::string, std::shared_ptr<Connection>> connections;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Own<capnp::TwoPartyServer> server;
  kj::TaskSet tasks;
};

PeerNetwork::PeerNetwork(EventLoop& aLoop)
  : implementation(std::make_unique<Implementation>(aLoop))
{
}

PeerNetwork::~PeerNetwork() = default;

bool
PeerNetwork::Listen(std::string const& aAddress, PeerHandlers aHandlers)
{
  auto& self = *this->implementation;
  self.handlers = std::move(aHandlers);
  bool bound = false;
  // KJ reports an address that is taken by an exception; outcomes are values here.
  auto const failure = kj::runCatchingExceptions([&] {
    auto address = self.loop.Io().provider->getNetwork().parseAddress(aAddress).wait(self.loop.Io().waitScope);
    self.receiver = address->listen();
    bound = true;
  });
  KJ_IF_MAYBE (exception, failure) {
    PART_WARNING("peers") << "cannot listen on " << aAddress << ": " << exception->getDescription().cStr();
    return false;
  }
  self.server = kj::heap<capnp::TwoPartyServer>(kj::heap<FrontServer>(self.loop, self.handlers));
  self.tasks.add(self.server->listen(*self.receiver));
  return bound;
}

PeerPort
PeerNetwork::Port()
{
  auto* const self = this->implementation.get();
  auto* const counts = &this->usage;
  PeerPort port;
  port.heartbeat = [self, counts](Member const& aPeer, Heartbeat const& aHeartbeat, auto aDone) {
    ++counts->heartbeats;
    auto call = [aHeartbeat](Wire::Front::Client& aClient) {
      auto request = aClient.heartbeatRequest();
      WriteHeartbeat(aHeartbeat, request.initMessage());
      return request.send().then([](auto&& aResponse) { return ReadHeartbeat(aResponse.getAnswer()); });
    };
    self->Run<Heartbeat>(aPeer.peerAddress, kCallTimeout, kj::mv(call), std::move(aDone));
  };
  port.requestGrants = [self, counts](Member const& aPeer, GrantBatch const& aBatch, auto aDone) {
    ++counts->grantBatches;
    counts->grantItems += aBatch.items.size();
    auto call = [aBatch](Wire::Front::Client& aClient) {
      auto request = aClient.requestGrantsRequest();
      WriteGrantBatch(aBatch, request.initBatch());
      return request.send().then([](auto&& aResponse) {
        GrantBatchAnswer answer;
        answer.reportTaken = aResponse.getReportTaken();
        for (auto const result : aResponse.getResults())
          answer.results.push_back(ReadGrantResult(result));
        return answer;
      });
    };
    self->Run<GrantBatchAnswer>(aPeer.peerAddress, kCallTimeout, kj::mv(call), std::move(aDone));
  };
  port.fetchTable = [self, counts](Member const& aPeer, auto aDone) {
    ++counts->tableFetches;
    auto call = [](Wire::Front::Client& aClient) {
      return aClient.fetchTableRequest().send().then(
        [](auto&& aResponse) { return std::string(aResponse.getTable().cStr()); });
    };
    self->Run<std::string>(aPeer.peerAddress, kCallTimeout, kj::mv(call), std::move(aDone));
  };
  port.forward = [self, counts](Member const& aPeer, ForwardedRequest const& aRequest, Duration aTimeout, auto aDone) {
    ++counts->forwards;
    auto call = [aRequest](Wire::Front::Client& aClient) {
      auto request = aClient.forwardRequest();
      auto wire = request.initRequest();
      wire.setPipeline(aRequest.pipeline);
      wire.setBody(aRequest.body);
      return request.send().then([](auto&& aResponse) { return std::string(aResponse.getAnswer().cStr()); });
    };
    self->Run<std::string>(aPeer.peerAddress, aTimeout, kj::mv(call), std::move(aDone));
  };
  port.recallGrant = [self](Member const& aPeer, std::string const& aKey) {
    auto call = [aKey](Wire::Front::Client& aClient) {
      auto request = aClient.recallGrantsRequest();
      request.initKeys(1).set(0, aKey);
      return request.send().then([](auto&&) { return true; });
    };
    self->Run<bool>(aPeer.peerAddress, kCallTimeout, kj::mv(call), [](std::optional<bool>) {});
  };
  return port;
}

}
