#pragma once

#include <LibCore/LibCore.h>
#include <capnp/rpc-twoparty.h>
#include <map>
#include <memory>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Hornbeam {

/// The client sides of Cap'n Proto RPC connections to other processes, by address. A connection that fails or stays
/// silent is closed and made anew by the next call.
template<typename Interface>
class RpcConnections : private kj::TaskSet::ErrorHandler
{
public:
  struct Connection
  {
    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    /// Run when the connection is dropped, by a number of the user's.
    std::map<std::uint64_t, std::function<void()>> whenDropped;
  };

  explicit RpcConnections(EventLoop& aLoop)
    : loop(aLoop)
    , tasks(*this)
  {
  }
  RpcConnections(RpcConnections const&) = delete;
  RpcConnections& operator=(RpcConnections const&) = delete;
  ~RpcConnections() noexcept = default;

  /// The connection to an address that stands now; null when there is none.
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

  /// Throws, which becomes a failed promise, when the connection was dropped after it had been found.
  static typename Interface::Client ClientOf(Connection& aConnection)
  {
    KJ_REQUIRE(aConnection.client.get() != nullptr, "the connection was dropped");
    return aConnection.client->bootstrap().template castAs<Interface>();
  }

  /// Closes a connection at the next turn of the loop: its own callbacks may be running now.
  void Drop(std::string const& aAddress)
  {
    auto const found = this->connections.find(aAddress);
    if (found == this->connections.end())
      return;
    auto const connection = found->second;
    this->connections.erase(found);
    auto const actions = std::move(connection->whenDropped);
    connection->whenDropped.clear();
    this->loop.RuntimeClock().Schedule(Duration::zero(), [&loop = this->loop, connection, actions] {
      for (auto const& [id, action] : actions)
        action();
      // The actions release their promises at the next turn, and those still use the client.
      loop.RuntimeClock().Schedule(Duration::zero(), [connection] { Close(*connection); });
    });
  }

  /// Runs one call within a time. aCall makes the promise of its result from the client; aDone gets nothing when it
  /// fails, and the connection is dropped.
  template<typename Result, typename Call>
  void Run(std::string const& aAddress, Duration aTimeout, Call aCall, std::function<void(std::optional<Result>)> aDone)
  {
    auto const done = std::make_shared<std::function<void(std::optional<Result>)>>(std::move(aDone));
    // A connection that has just broken throws when it is used; evalNow makes that a failed promise.
    auto result = kj::evalNow([&] {
      return this->Connect(aAddress).then([aCall = kj::mv(aCall)](std::shared_ptr<Connection> aConnection) mutable {
        auto client = ClientOf(*aConnection);
        return aCall(client);
      });
    });
    auto promise = this->Timer().timeoutAfter(aTimeout.count() * kj::MICROSECONDS, kj::mv(result));
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
    this->loop.Wake();
  }

  /// Tasks that live as long as the connections.
  kj::TaskSet& Tasks() { return this->tasks; }

private:
  static constexpr Duration kConnectTimeout = 700ms;
  /// Unacknowledged bytes end a connection after this.
  static constexpr int kUnacknowledgedMs = 1000;

  kj::Timer& Timer() { return this->loop.Io().provider->getTimer(); }

  static void SetUpStream(kj::AsyncIoStream& aStream)
  {
    int const on = 1;
    aStream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    aStream.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMs, sizeof(kUnacknowledgedMs));
  }

  static void Close(Connection& aConnection)
  {
    // Cap'n Proto throws when it is told to shut down a connection that the peer has closed.
    kj::runCatchingExceptions([&] { aConnection.client = nullptr; });
    kj::runCatchingExceptions([&] { aConnection.stream = nullptr; });
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

  void taskFailed(kj::Exception&& aException) override
  {
    PART_WARNING("peers") << "event=task-failed reason=\"" << aException.getDescription().cStr() << "\"";
  }

  EventLoop& loop;
  std::map<std::string, std::shared_ptr<Connection>> connections;
  kj::TaskSet tasks;
};

/// Listens on a numeric address and serves aInterface; false, with a log line, when it cannot be bound.
bool
ListenForRpc(EventLoop& aLoop,
             std::string const& aAddress,
             capnp::Capability::Client aInterface,
             kj::Own<kj::ConnectionReceiver>& aReceiver,
             kj::Own<capnp::TwoPartyServer>& aServer);

}
