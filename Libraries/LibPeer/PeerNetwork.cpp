#include "PeerNetwork.h"
#include "WireFormat.h"
#include <LibRpc/LibRpc.h>

namespace Hornbeam {

/// Timeout of heartbeats, grant requests, grant recalls and table fetches.
static constexpr Duration kCallTimeout = 1s;

namespace {

/// Serves the interface to other fronts.
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
    auto const response = this->handlers.onHeartbeat(ReadHeartbeat(aContext.getParams().getMessage()));
    WriteHeartbeat(response, aContext.getResults().initAnswer());
    this->loop.Wake();
    return kj::READY_NOW;
  }

  kj::Promise<void> requestGrants(RequestGrantsContext aContext) override
  {
    auto const response = this->handlers.onGrantBatch(ReadGrantBatch(aContext.getParams().getBatch()));
    aContext.getResults().setReportTaken(response.reportTaken);
    auto wire = aContext.getResults().initResults(static_cast<unsigned>(response.results.size()));
    unsigned index = 0;
    for (auto const& result : response.results)
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
    this->handlers.onForward(forwarded,
                             [fulfiller](std::string aResponse) { (*fulfiller)->fulfill(kj::mv(aResponse)); });
    this->loop.Wake();
    return pair.promise.then([aContext](std::string aResponse) mutable { aContext.getResults().setAnswer(aResponse); });
  }

private:
  EventLoop& loop;
  PeerHandlers const& handlers;
};

}

struct PeerNetwork::Implementation
{
  explicit Implementation(EventLoop& aLoop)
    : loop(aLoop)
    , connections(aLoop)
  {
  }

  EventLoop& loop;
  PeerHandlers handlers;
  RpcConnections<Wire::Front> connections;
  kj::Own<kj::ConnectionReceiver> receiver;
  kj::Own<capnp::TwoPartyServer> server;
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
  if (!ListenForRpc(self.loop, aAddress, kj::heap<FrontServer>(self.loop, self.handlers), self.receiver, self.server))
    return false;
  self.connections.Tasks().add(self.server->listen(*self.receiver));
  return true;
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
    self->connections.Run<Heartbeat>(aPeer.peerAddress, kCallTimeout, kj::mv(call), std::move(aDone));
  };
  port.requestGrants = [self, counts](Member const& aPeer, GrantBatch const& aBatch, auto aDone) {
    ++counts->grantBatches;
    counts->grantItems += aBatch.items.size();
    auto call = [aBatch](Wire::Front::Client& aClient) {
      auto request = aClient.requestGrantsRequest();
      WriteGrantBatch(aBatch, request.initBatch());
      return request.send().then([](auto&& aResponse) {
        GrantBatchResponse response;
        response.reportTaken = aResponse.getReportTaken();
        for (auto const result : aResponse.getResults())
          response.results.push_back(ReadGrantResult(result));
        return response;
      });
    };
    self->connections.Run<GrantBatchResponse>(aPeer.peerAddress, kCallTimeout, kj::mv(call), std::move(aDone));
  };
  port.fetchTable = [self, counts](Member const& aPeer, auto aDone) {
    ++counts->tableFetches;
    auto call = [](Wire::Front::Client& aClient) {
      return aClient.fetchTableRequest().send().then(
        [](auto&& aResponse) { return std::string(aResponse.getTable().cStr()); });
    };
    self->connections.Run<std::string>(aPeer.peerAddress, kCallTimeout, kj::mv(call), std::move(aDone));
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
    self->connections.Run<std::string>(aPeer.peerAddress, aTimeout, kj::mv(call), std::move(aDone));
  };
  port.recallGrant = [self](Member const& aPeer, std::string const& aKey) {
    auto call = [aKey](Wire::Front::Client& aClient) {
      auto request = aClient.recallGrantsRequest();
      request.initKeys(1).set(0, aKey);
      return request.send().then([](auto&&) { return true; });
    };
    self->connections.Run<bool>(aPeer.peerAddress, kCallTimeout, kj::mv(call), [](std::optional<bool>) {});
  };
  return port;
}

}
