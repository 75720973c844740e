#pragma once

#include "CallerBudget.h"

namespace Hornbeam::Gateway {

class ServerConnection;

/// What has given way to the limits since the process was started.
struct CallerRefusals
{
  std::uint64_t requestsRefused{ 0 };
  std::uint64_t inputsDropped{ 0 };
  std::uint64_t unreadClosed{ 0 };
  std::uint64_t connectionsClosed{ 0 };
};

/// Keeps the accounts of all callers' connections of a process and carries out what CallerBudget decides. It must
/// outlive the connections.
class CallerMemory
{
public:
  CallerMemory(Clock& aClock, CallerBudgetLimits aLimits);
  CallerMemory(CallerMemory const&) = delete;
  CallerMemory& operator=(CallerMemory const&) = delete;

  /// Applies to what arrives from now on.
  void SetLimits(CallerBudgetLimits aLimits) { this->budget.limits = aLimits; }

  /// Opens the account of a new connection and closes another one if there are too many. Returns zero if the new one
  /// must be closed itself.
  CallerId Open(ServerConnection& aConnection, CallerGroup aGroup, std::string aAddress);
  void Update(CallerId aId, CallerUsage const& aUsage);
  void Close(CallerId aId);

  /// Refuses and closes until the limit holds. May end the connection that calls it.
  void MakeRoom();
  /// Does so in the next iteration of the event loop, for use inside the handling of a request.
  void MakeRoomLater();

  CallerBudget const& Budget() const { return this->budget; }
  CallerRefusals const& Refusals() const { return this->refusals; }

private:
  void CarryOutDecisions();
  void Apply(RoomDecision const& aDecision);
  void RefreshUnsent();
  /// Logs at most one line a second, with the counts since the one before.
  void ScheduleLog(CallerAccount const& aAccount);
  void ScheduleReturn();

  Clock& clock;
  CallerBudget budget;
  CallerRefusals refusals;
  CallerRefusals logged;
  std::map<CallerId, ServerConnection*> connections;
  /// The account that was refused last, for the log.
  std::string lastAddress;
  std::size_t lastBytes{ 0 };
  MonotonicTime lastRefreshed{};
  bool makingRoom{ false };
  bool roomScheduled{ false };
  bool logScheduled{ false };
  bool returnScheduled{ false };
};

}
