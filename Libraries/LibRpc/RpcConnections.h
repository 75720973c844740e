#pragma once

#include "ReceivingStream.h"
#include <capnp/rpc-twoparty.h>
#include <map>
#include <memory>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <sys/socket.h>

namespace Hornbeam {

/// What a failed call tells of its peer.
enum class CallFailure
{
  /// The peer answered with an error, or does not know the method, as one of an older build may not.
  Rejected,
  /// No answer came in time.
  Late,
  /// The connection failed, or could not be opened.
  Disconnected,
};

/// An exception of KJ's timers counts as late, one of the connection as disconnected, and any other as rejected.
CallFailure
ClassifyFailure(kj::Exception const& aException);

/// Returns the description of a failure for the log, in one line of at most 256 bytes. The other process may have
/// written it.
std::string
DescribeFailure(kj::Exception const& aException);

/// What a call's connection had brought when the call failed.
struct CallReceipt
{
  /// Bytes that arrived since the call was made.
  std::uint64_t bytes{ 0 };
  /// Time since the last of them arrived; nothing without any.
  std::optional<Duration> silence;
};

/// Logs a failed call. A method that a peer does not know is logged once for each peer.
class FailedCallLog
{
public:
  void Add(std::string const& aAddress, kj::Exception const& aException, CallReceipt const& aReceipt);

private:
  std::set<std::string> unknownMethods;
};

/// What a late call means for its connection.
enum class WhenLate
{
  /// The peer answers such calls at once, so it is taken for dead.
  Drop,
  /// The call may wait for something else at the peer, so the connection stays if it has brought any answer meanwhile.
  DropIfSilent,
};

/// A pool of Cap'n Proto RPC client connections to other processes, keyed by address. A connection that fails or whose
/// peer does not respond is closed; the next call reconnects. A call that the peer rejects fails alone.
template<typename Interface>
class RpcConnections : private kj::TaskSet::ErrorHandler
{
public:
  struct Connection
  {
    kj::Own<ReceivingStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    /// Requested once per connection: a request on a connection that the peer has just closed ends the process, as
    /// Cap'n Proto then throws in a destructor. Calls on the capability of a closed connection merely fail.
    std::optional<typename Interface::Client> server;
    /// Callbacks to run when the connection is dropped, keyed by an identifier that the connection's user chooses.
    std::map<std::uint64_t, std::function<void()>> whenDropped;
    /// When the peer last answered a call.
    MonotonicTime lastAnswer{};
  };

  /// A call and the connection that carries it, once there is one.
  struct CallInFlight
  {
    std::string address;
    MonotonicTime sentAt{};
    std::weak_ptr<Connection> connection;
    /// How many bytes the connection had brought when it got the call.
    std::uint64_t receivedBefore{ 0 };
  };

  explicit RpcConnections(EventLoop& aLoop)
    : loop(aLoop)
    , tasks(*this)
  {
  }
  RpcConnections(RpcConnections const&) = delete;
  RpcConnections& operator=(RpcConnections const&) = delete;
  ~RpcConnections() noexcept = default;

  /// Returns the open connection to an address, or null.
  Connection* Find(std::string const& aAddress)
  {
    auto const found = this->connections.find(aAddress);
    return found == this->connections.end() ? nullptr : found->second.get();
  }

  kj::Promise<std::shared_ptr<Connection>> Connect(std::string const& aAddress)
  {
    auto const found = this->connections.find(aAddress);
    if (found != this->connections.end())
      return found->second;
    auto connected =
      this->loop.Io().provider->getNetwork().parseAddress(aAddress).then([](kj::Own<kj::NetworkAddress> aParsed) {
        auto promise = aParsed->connect();
        return promise.attach(kj::mv(aParsed));
      });
    return this->Timer()
      .timeoutAfter(kConnectTimeout.count() * kj::MICROSECONDS, kj::mv(connected))
      .then([this, aAddress](kj::Own<kj::AsyncIoStream> aStream) {
        // Two calls may connect concurrently; both use the connection that was established first.
        auto& connection = this->connections[aAddress];
        if (!connection) {
          connection = std::make_shared<Connection>();
          connection->stream = kj::heap<ReceivingStream>(kj::mv(aStream), this->loop.RuntimeClock());
          SetUpStream(*connection->stream);
          connection->client = kj::heap<capnp::TwoPartyClient>(*connection->stream);
          connection->server = connection->client->bootstrap().template castAs<Interface>();
          this->DropWhenClosed(aAddress, connection);
        }
        return connection;
      });
  }

  /// Throws when the connection has been dropped since it was looked up. Inside a promise chain this rejects the
  /// promise.
  static typename Interface::Client ClientOf(Connection& aConnection)
  {
    KJ_REQUIRE(aConnection.server.has_value(), "the connection was dropped");
    return *aConnection.server;
  }

  std::shared_ptr<CallInFlight> BeginCall(std::string const& aAddress) const
  {
    return std::make_shared<CallInFlight>(CallInFlight{ aAddress, this->loop.RuntimeClock().Now(), {}, 0 });
  }

  static void Assign(CallInFlight& aCall, std::shared_ptr<Connection> const& aConnection)
  {
    aCall.connection = aConnection;
    // The connection may have been dropped since it was looked up.
    if (aConnection->stream.get() != nullptr)
      aCall.receivedBefore = aConnection->stream->Received().count;
  }

  void OnAnswer(CallInFlight const& aCall)
  {
    if (auto const connection = aCall.connection.lock())
      connection->lastAnswer = this->loop.RuntimeClock().Now();
  }

  /// Logs a failed call, and closes its connection if the failure is that of the connection or of the whole peer.
  void OnFailure(CallInFlight const& aCall, kj::Exception const& aException, WhenLate aWhenLate)
  {
    auto const connection = aCall.connection.lock();
    this->failedCalls.Add(aCall.address, aException, connection ? this->ReceiptOf(aCall, *connection) : CallReceipt());
    if (!connection)
      return;
    switch (ClassifyFailure(aException)) {
      case CallFailure::Rejected:
        this->OnAnswer(aCall);
        return;
      case CallFailure::Late:
        if (aWhenLate == WhenLate::DropIfSilent && connection->lastAnswer > aCall.sentAt)
          return;
        break;
      case CallFailure::Disconnected:
        break;
    }
    this->Drop(aCall.address, connection);
  }

  /// Closes a connection on the next iteration of the event loop, because its own callbacks may be running now. Does
  /// nothing if another connection to the address has replaced it.
  void Drop(std::string const& aAddress, std::shared_ptr<Connection> const& aConnection)
  {
    auto const found = this->connections.find(aAddress);
    if (found == this->connections.end() || found->second != aConnection)
      return;
    auto const connection = found->second;
    this->connections.erase(found);
    PART_WARNING("peers") << "event=connection-dropped address=" << aAddress
                          << " users=" << connection->whenDropped.size();
    auto const callbacks = std::move(connection->whenDropped);
    connection->whenDropped.clear();
    this->loop.RuntimeClock().Schedule(Duration::zero(), [&loop = this->loop, connection, callbacks] {
      for (auto const& [id, callback] : callbacks)
        callback();
      // The callbacks release their promises on the next iteration, and those promises still use the client.
      loop.RuntimeClock().Schedule(Duration::zero(), [connection] { Close(*connection); });
    });
  }

  /// Runs one call with a timeout. aCall takes the client and returns a promise of the result. When the call fails or
  /// times out, aDone receives std::nullopt. While a message arrives on the connection, the call is not late: the
  /// message is its response, or one ahead of it.
  template<typename Result, typename Call>
  void Run(std::string const& aAddress,
           Duration aTimeout,
           Call aCall,
           std::function<void(std::optional<Result>)> aDone,
           WhenLate aWhenLate = WhenLate::DropIfSilent)
  {
    auto const inFlight = this->BeginCall(aAddress);
    auto const done = std::make_shared<std::function<void(std::optional<Result>)>>(std::move(aDone));
    // Using a connection that has just been closed throws; evalNow turns the exception into a rejected promise.
    auto result = kj::evalNow([&] {
      return this->Connect(aAddress).then(
        [aCall = kj::mv(aCall), inFlight](std::shared_ptr<Connection> aConnection) mutable {
          Assign(*inFlight, aConnection);
          auto client = ClientOf(*aConnection);
          return aCall(client);
        });
    });
    auto promise = result.exclusiveJoin(this->FailWhenLate<Result>(inFlight, aTimeout));
    this->tasks.add(promise.then(
      [this, done, inFlight](Result&& aResult) {
        this->OnAnswer(*inFlight);
        (*done)(std::move(aResult));
        this->loop.Wake();
      },
      [this, done, inFlight, aWhenLate](kj::Exception&& aException) {
        this->OnFailure(*inFlight, aException, aWhenLate);
        (*done)(std::nullopt);
        this->loop.Wake();
      }));
    this->loop.Wake();
  }

  /// Background tasks that live as long as this object.
  kj::TaskSet& Tasks() { return this->tasks; }

private:
  static constexpr Duration kConnectTimeout = 700ms;
  /// A message of which nothing arrives for this long does not arrive any more.
  static constexpr Duration kMaxArrivalPause = 300ms;
  /// A call takes no longer than this, however much arrives.
  static constexpr Duration kMaxTransferTime = 4s;
  static constexpr Duration kArrivalCheckInterval = 50ms;
  /// TCP_USER_TIMEOUT: the kernel closes a connection whose sent data stays unacknowledged for this long.
  static constexpr int kTcpUserTimeoutMs = 1000;

  kj::Timer& Timer() { return this->loop.Io().provider->getTimer(); }

  /// Whether a message arrives that may be the response to a call, or be ahead of it.
  bool IsReceiving(CallInFlight const& aCall) const
  {
    auto const connection = aCall.connection.lock();
    if (!connection || connection->stream.get() == nullptr)
      return false;
    auto const& received = connection->stream->Received();
    auto const now = this->loop.RuntimeClock().Now();
    return received.partial && now - received.lastAt <= kMaxArrivalPause && now - aCall.sentAt < kMaxTransferTime;
  }

  template<typename Result>
  kj::Promise<Result> FailWhenLate(std::shared_ptr<CallInFlight> const& aCall, Duration aDelay)
  {
    return this->Timer().afterDelay(aDelay.count() * kj::MICROSECONDS).then([this, aCall]() -> kj::Promise<Result> {
      if (this->IsReceiving(*aCall))
        return this->FailWhenLate<Result>(aCall, kArrivalCheckInterval);
      return KJ_EXCEPTION(OVERLOADED, "operation timed out");
    });
  }

  CallReceipt ReceiptOf(CallInFlight const& aCall, Connection const& aConnection) const
  {
    if (aConnection.stream.get() == nullptr)
      return {};
    auto const& received = aConnection.stream->Received();
    if (received.count == aCall.receivedBefore)
      return {};
    return { received.count - aCall.receivedBefore, this->loop.RuntimeClock().Now() - received.lastAt };
  }

  static void SetUpStream(kj::AsyncIoStream& aStream)
  {
    int const on = 1;
    aStream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    aStream.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
  }

  static void Close(Connection& aConnection)
  {
    // Cap'n Proto throws when it shuts down a connection that the peer has already closed.
    kj::runCatchingExceptions([&] { aConnection.server.reset(); });
    kj::runCatchingExceptions([&] { aConnection.client = nullptr; });
    kj::runCatchingExceptions([&] { aConnection.stream = nullptr; });
  }

  /// Removes a connection as soon as the peer closes it, so that no later call uses it.
  void DropWhenClosed(std::string const& aAddress, std::weak_ptr<Connection> const& aConnection)
  {
    this->tasks.add(aConnection.lock()->client->onDisconnect().then([this, aAddress, aConnection] {
      if (auto const connection = aConnection.lock())
        this->Drop(aAddress, connection);
      this->loop.Wake();
    }));
  }

  void taskFailed(kj::Exception&& aException) override
  {
    PART_WARNING("peers") << "event=task-failed reason=\"" << aException.getDescription().cStr() << "\"";
  }

  EventLoop& loop;
  std::map<std::string, std::shared_ptr<Connection>> connections;
  FailedCallLog failedCalls;
  kj::TaskSet tasks;
};

/// Listens on a numeric address and serves aInterface. Logs a warning and returns false when the address cannot be
/// bound.
bool
ListenForRpc(EventLoop& aLoop,
             std::string const& aAddress,
             capnp::Capability::Client aInterface,
             kj::Own<kj::ConnectionReceiver>& aReceiver,
             kj::Own<capnp::TwoPartyServer>& aServer);

}
