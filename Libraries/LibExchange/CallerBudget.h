#pragma once

#include <LibCore/LibCore.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Hornbeam::Gateway {

/// Identifies an open connection of a caller. Zero is never a valid id.
using CallerId = std::uint64_t;

/// What all callers together may hold of one process.
struct CallerBudgetLimits
{
  /// Bytes of all connections of all listening addresses.
  std::size_t bytes{ 64 << 20 };
  /// Open connections at the address for callers.
  std::size_t connections{ 1948 };
  /// Open connections at the addresses for readiness, directory and metrics together, so that callers cannot keep the
  /// platform from reaching them.
  std::size_t internalConnections{ 128 };
};

enum class CallerGroup
{
  Callers,
  Internal,
};

enum class CallerState
{
  /// No request has begun.
  Idle,
  /// A request has begun and has not been handed to its handler. Refusing it guarantees that it has not run.
  Receiving,
  /// A request is in progress. It is never refused for memory.
  Serving,
  /// The last response has been written; the connection is about to be closed.
  Closing,
};

/// What one connection holds now.
struct CallerUsage
{
  CallerState state{ CallerState::Idle };
  /// Capacity of all buffers of the request in progress, and the cost of the connection itself.
  std::size_t requestBytes{ 0 };
  /// Bytes received after the request in progress.
  std::size_t pipelinedBytes{ 0 };
  /// Bytes of responses that the operating system has not accepted yet.
  std::size_t unsentBytes{ 0 };
  /// Bytes moved in the direction of the state since the connection was opened: received ones while a request is
  /// received, else sent ones.
  std::uint64_t bytesMoved{ 0 };
  std::uint64_t requestsCompleted{ 0 };
  /// What handling a complete request needs besides its own bytes. It does not count against the request when the one
  /// that gives way is chosen, so that a complete request is not refused rather than one that stopped short.
  std::size_t copyBytes{ 0 };
};

struct CallerAccount
{
  CallerGroup group{ CallerGroup::Callers };
  /// The caller's address without its port.
  std::string address;
  CallerUsage usage;
  MonotonicTime opened{};
  MonotonicTime lastProgress{};
  std::uint64_t bytesAtProgress{ 0 };
};

/// The accounts of all open connections, with the sums that the decisions need.
struct CallerBudget
{
  CallerBudgetLimits limits;
  std::map<CallerId, CallerAccount> accounts;
  /// The sum of what all accounts hold.
  std::size_t bytes{ 0 };
  std::size_t callers{ 0 };
  std::size_t internalCallers{ 0 };
  /// Bytes of requests that are being received, by the address of their callers.
  std::map<std::string, std::size_t> receivingByAddress;
  CallerId lastId{ 0 };
  /// The highest sum since memory was last returned to the system.
  std::size_t peakBytes{ 0 };
  std::optional<MonotonicTime> lastReturned;
};

/// The number of bytes that a connection holds.
std::size_t
HeldBytes(CallerUsage const& aUsage);

/// Adds an account for a new connection, and returns its id. Room is made by ConnectionToClose().
CallerId
OpenAccount(CallerBudget& aBudget, CallerGroup aGroup, std::string aAddress, MonotonicTime aNow);

/// Replaces what a connection holds. Unknown ids are ignored.
void
UpdateAccount(CallerBudget& aBudget, CallerId aId, CallerUsage const& aUsage, MonotonicTime aNow);

/// Removes an account; its bytes are free from then on. Unknown ids are ignored.
void
CloseAccount(CallerBudget& aBudget, CallerId aId);

enum class RoomAction
{
  /// Refuse the request, which has not run, and close the connection.
  RefuseRequest,
  /// Discard the pipelined input, and close the connection after the response in progress.
  DropPipelined,
  /// Close the connection of a caller that does not read its response.
  CloseUnread,
};

struct RoomDecision
{
  CallerId id{ 0 };
  RoomAction action{ RoomAction::RefuseRequest };
};

/// Decides what gives way next while all accounts hold more than the limit; nothing if they do not, or if only requests
/// in progress are left. First come requests that are being received: those of the address that holds most with them,
/// and of these the one with the greatest product of bytes and time without progress. Then pipelined input, then
/// callers that do not read, both by the same product.
std::optional<RoomDecision>
NextForRoom(CallerBudget const& aBudget, MonotonicTime aNow);

/// Decides which connection to close while a group has more of them than its limit; nothing if it does not. First come
/// connections that never completed a request, the oldest of them first, then the longest idle. If requests are in
/// progress on all others, it is the newest one, aNewest.
std::optional<CallerId>
ConnectionToClose(CallerBudget const& aBudget, CallerId aNewest);

/// The size of the kernel's receive buffer of a new connection, in bytes. The sum over all connections stays near the
/// byte limit, because received bytes count for the process before they are read.
std::size_t
ReceiveBufferBytes(CallerBudget const& aBudget);

/// Returns when free memory is to be returned to the system, if a crowd has ended: the sum has fallen from above half
/// of the limit to below an eighth. At most once a second.
std::optional<MonotonicTime>
TimeToReturnMemory(CallerBudget const& aBudget, MonotonicTime aNow);

/// Records that memory was returned to the system.
void
OnMemoryReturned(CallerBudget& aBudget, MonotonicTime aNow);

}
