#pragma once

#include "HttpParsers.h"
#include "TcpStream.h"
#include <deque>
#include <map>

namespace Hornbeam::Gateway {

/// How an outgoing call ended.
enum class CallEnd
{
  /// The whole response came.
  Complete,
  /// No byte of the request left this process.
  NotSent,
  /// The request may have reached the endpoint; its response is missing, cut off or no HTTP.
  Broken,
  /// The deadline passed.
  TimedOut,
};

std::string_view
ToString(CallEnd aEnd);

/// What the owner of a call is told. Nothing is told after Abandon().
struct CallEvents
{
  std::function<void(ResponseHead const&)> onHead;
  std::function<void(std::string)> onBody;
  std::function<void(CallEnd)> onEnd;
};

struct OutgoingCall
{
  std::string address;
  RequestMessage request;
  /// For the whole call.
  Duration timeout{ 5s };
  Duration connectTimeout{ 500ms };
};

class ConnectionPool;
class ClientConnection;

/// A call that can be abandoned; abandoning closes its connection.
class CallHandle
{
public:
  CallHandle() = default;
  CallHandle(std::weak_ptr<ClientConnection> aConnection, std::uint64_t aCall)
    : connection(std::move(aConnection))
    , call(aCall)
  {
  }

  void Abandon() const;

  /// Stops or resumes reading the response, to pass a slow caller's back-pressure on.
  void PauseReading() const;
  void ResumeReading() const;

private:
  std::shared_ptr<ClientConnection> Find() const;

  std::weak_ptr<ClientConnection> connection;
  /// Tells this call from later ones on the same connection.
  std::uint64_t call{ 0 };
};

enum class Reuse
{
  Kept,
  /// A connection of its own, for calls that must not meet a connection the other side has just closed.
  Fresh,
};

struct PoolUsage
{
  std::uint64_t calls{ 0 };
  std::uint64_t connectionsMade{ 0 };
  std::uint64_t failures{ 0 };
};

/// Outgoing calls over kept connections. A connection carries one call at a time and is kept only after a response that
/// was whole, alone and after the whole request was sent.
class ConnectionPool
{
public:
  ConnectionPool(uv_loop_t& aLoop, Clock& aClock);
  ConnectionPool(ConnectionPool const&) = delete;
  ConnectionPool& operator=(ConnectionPool const&) = delete;

  CallHandle Send(OutgoingCall aCall, CallEvents aEvents, Reuse aReuse = Reuse::Kept);

  /// Closes the idle connections to an address, as after its endpoint has gone.
  void Forget(std::string const& aAddress);

  bool HasIdle(std::string const& aAddress) const;
  PoolUsage const& Usage() const { return this->usage; }

private:
  friend class ClientConnection;

  void Keep(std::shared_ptr<ClientConnection> aConnection, Duration aIdleTime);
  void Drop(ClientConnection* aConnection);

  uv_loop_t& loop;
  Clock& clock;
  PoolUsage usage;
  std::map<std::string, std::deque<std::shared_ptr<ClientConnection>>> idle;
};

/// A response that was collected. Status and body are only set when the call ended as Complete.
struct WholeResponse
{
  CallEnd end{ CallEnd::NotSent };
  unsigned status{ 0 };
  std::string body;
};

/// Sends a call and collects its response; aDone runs once.
void
SendWhole(ConnectionPool& aPool,
          OutgoingCall aCall,
          std::function<void(WholeResponse)> aDone,
          Reuse aReuse = Reuse::Kept);

}
