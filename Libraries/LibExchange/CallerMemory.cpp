#include "CallerMemory.h"
#include "ServerConnection.h"
#include <cstdlib>
#include <malloc.h>

namespace Hornbeam::Gateway {

static constexpr Duration kLogInterval = 1s;
/// How often the unsent bytes of all connections are read while the limit is exceeded; nothing reports that they fall.
static constexpr Duration kRefreshInterval = 50ms;

CallerMemory::CallerMemory(Clock& aClock, CallerBudgetLimits aLimits)
  : clock(aClock)
{
  this->budget.limits = aLimits;
}

CallerId
CallerMemory::Open(ServerConnection& aConnection, CallerGroup aGroup, std::string aAddress)
{
  auto const id = OpenAccount(this->budget, aGroup, std::move(aAddress), this->clock.Now());
  this->connections.emplace(id, &aConnection);
  auto const closed = ConnectionToClose(this->budget, id);
  if (!closed)
    return id;
  ++this->refusals.connectionsClosed;
  this->ScheduleLog(this->budget.accounts.at(*closed));
  if (*closed == id) {
    this->Close(id);
    return 0;
  }
  this->connections.at(*closed)->CloseForRoom();
  return id;
}

void
CallerMemory::Update(CallerId aId, CallerUsage const& aUsage)
{
  UpdateAccount(this->budget, aId, aUsage, this->clock.Now());
  this->ScheduleReturn();
}

void
CallerMemory::Close(CallerId aId)
{
  CloseAccount(this->budget, aId);
  this->connections.erase(aId);
  this->ScheduleReturn();
}

void
CallerMemory::RefreshUnsent()
{
  auto const now = this->clock.Now();
  if (now < this->lastRefreshed + kRefreshInterval)
    return;
  this->lastRefreshed = now;
  for (auto const& [id, connection] : this->connections)
    if (this->budget.accounts.at(id).usage.unsentBytes > 0)
      connection->UpdateUsage();
}

void
CallerMemory::MakeRoom()
{
  if (this->makingRoom || this->budget.bytes <= this->budget.limits.bytes)
    return;
  this->makingRoom = true;
  // The callback of a request that is closed may throw; the limit must hold all the same from then on.
  RunGuarded("make-room", [this] { this->CarryOutDecisions(); });
  this->makingRoom = false;
}

void
CallerMemory::CarryOutDecisions()
{
  this->RefreshUnsent();
  // Each connection gives way at most once in each way.
  auto left = 3 * this->connections.size();
  for (; left > 0; --left) {
    auto const decision = NextForRoom(this->budget, this->clock.Now());
    if (!decision)
      break;
    this->Apply(*decision);
  }
}

void
CallerMemory::Apply(RoomDecision const& aDecision)
{
  this->ScheduleLog(this->budget.accounts.at(aDecision.id));
  this->connections.at(aDecision.id)->GiveWay(aDecision.action);
  switch (aDecision.action) {
    case RoomAction::RefuseRequest:
      ++this->refusals.requestsRefused;
      return;
    case RoomAction::DropPipelined:
      ++this->refusals.inputsDropped;
      return;
    case RoomAction::CloseUnread:
      ++this->refusals.unreadClosed;
      return;
  }
}

void
CallerMemory::MakeRoomLater()
{
  if (this->roomScheduled || this->budget.bytes <= this->budget.limits.bytes)
    return;
  this->roomScheduled = true;
  this->clock.Schedule(Duration::zero(), [this] {
    this->roomScheduled = false;
    this->MakeRoom();
  });
}

void
CallerMemory::ScheduleLog(CallerAccount const& aAccount)
{
  this->lastAddress = aAccount.address;
  this->lastBytes = HeldBytes(aAccount.usage);
  if (this->logScheduled)
    return;
  this->logScheduled = true;
  this->clock.Schedule(kLogInterval, [this] {
    this->logScheduled = false;
    auto const& now = this->refusals;
    auto const before = std::exchange(this->logged, now);
    PART_LOG("callers") << "event=over-limit requests_refused=" << now.requestsRefused - before.requestsRefused
                        << " inputs_dropped=" << now.inputsDropped - before.inputsDropped
                        << " unread_closed=" << now.unreadClosed - before.unreadClosed
                        << " connections_closed=" << now.connectionsClosed - before.connectionsClosed
                        << " bytes=" << this->budget.bytes << " limit_bytes=" << this->budget.limits.bytes
                        << " connections=" << this->budget.callers
                        << " limit_connections=" << this->budget.limits.connections
                        << " last_address=" << this->lastAddress << " last_bytes=" << this->lastBytes;
  });
}

void
CallerMemory::ScheduleReturn()
{
  if (this->returnScheduled)
    return;
  auto const now = this->clock.Now();
  auto const time = TimeToReturnMemory(this->budget, now);
  if (!time)
    return;
  this->returnScheduled = true;
  this->clock.Schedule(*time - now, [this] {
    this->returnScheduled = false;
    // A crowd may have come back in the meantime.
    if (!TimeToReturnMemory(this->budget, this->clock.Now()))
      return;
#ifdef __GLIBC__
    malloc_trim(0);
#endif
    OnMemoryReturned(this->budget, this->clock.Now());
  });
}

}
