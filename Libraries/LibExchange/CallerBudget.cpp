#include "CallerBudget.h"
#include <algorithm>

namespace Hornbeam::Gateway {

/// Bytes that count as progress, so that a caller cannot appear active by single bytes.
static constexpr std::uint64_t kProgressBytes = 1024;
/// Added to the time without progress, so that among callers that are all active the one that holds most gives way.
static constexpr Duration kMinStall = 100ms;
static constexpr std::size_t kMinReceiveBuffer = 16384;
/// The window of a connection before the kernel adapts it, so that ordinary callers send as fast as before.
static constexpr std::size_t kMaxReceiveBuffer = 65536;
static constexpr Duration kReturnInterval = 1s;

std::size_t
HeldBytes(CallerUsage const& aUsage)
{
  return aUsage.requestBytes + aUsage.copyBytes + aUsage.pipelinedBytes + aUsage.unsentBytes;
}

static std::size_t&
CountOf(CallerBudget& aBudget, CallerGroup aGroup)
{
  return aGroup == CallerGroup::Callers ? aBudget.callers : aBudget.internalCallers;
}

static void
AddToSums(CallerBudget& aBudget, CallerAccount const& aAccount)
{
  aBudget.bytes += HeldBytes(aAccount.usage);
  aBudget.peakBytes = std::max(aBudget.peakBytes, aBudget.bytes);
  if (aAccount.usage.state == CallerState::Receiving)
    aBudget.receivingByAddress[aAccount.address] += aAccount.usage.requestBytes;
}

static void
TakeFromSums(CallerBudget& aBudget, CallerAccount const& aAccount)
{
  aBudget.bytes -= HeldBytes(aAccount.usage);
  if (aAccount.usage.state != CallerState::Receiving)
    return;
  auto const found = aBudget.receivingByAddress.find(aAccount.address);
  found->second -= aAccount.usage.requestBytes;
  if (found->second == 0)
    aBudget.receivingByAddress.erase(found);
}

CallerId
OpenAccount(CallerBudget& aBudget, CallerGroup aGroup, std::string aAddress, MonotonicTime aNow)
{
  CallerAccount account;
  account.group = aGroup;
  account.address = std::move(aAddress);
  account.opened = account.lastProgress = aNow;
  ++CountOf(aBudget, aGroup);
  aBudget.accounts.emplace(++aBudget.lastId, std::move(account));
  return aBudget.lastId;
}

void
UpdateAccount(CallerBudget& aBudget, CallerId aId, CallerUsage const& aUsage, MonotonicTime aNow)
{
  auto const found = aBudget.accounts.find(aId);
  if (found == aBudget.accounts.end())
    return;
  auto& account = found->second;
  TakeFromSums(aBudget, account);
  bool const entersState = account.usage.state != aUsage.state;
  if (entersState || aUsage.bytesMoved >= account.bytesAtProgress + kProgressBytes) {
    account.lastProgress = aNow;
    account.bytesAtProgress = aUsage.bytesMoved;
  }
  account.usage = aUsage;
  AddToSums(aBudget, account);
}

void
CloseAccount(CallerBudget& aBudget, CallerId aId)
{
  auto const found = aBudget.accounts.find(aId);
  if (found == aBudget.accounts.end())
    return;
  TakeFromSums(aBudget, found->second);
  --CountOf(aBudget, found->second.group);
  aBudget.accounts.erase(found);
}

static double
StalledBytes(CallerAccount const& aAccount, std::size_t aBytes, MonotonicTime aNow)
{
  auto const stall = std::max(Duration::zero(), aNow - aAccount.lastProgress) + kMinStall;
  return double(aBytes) * double(stall.count());
}

/// Returns the account with the greatest product of the bytes that aBytesOf returns and the time without progress;
/// nothing if they are zero for all.
template<typename BytesOf>
static std::optional<CallerId>
FindMostStalled(CallerBudget const& aBudget, MonotonicTime aNow, BytesOf aBytesOf)
{
  std::optional<CallerId> result;
  double greatest = 0;
  for (auto const& [id, account] : aBudget.accounts) {
    auto const score = StalledBytes(account, aBytesOf(account), aNow);
    if (score <= greatest)
      continue;
    greatest = score;
    result = id;
  }
  return result;
}

std::optional<RoomDecision>
NextForRoom(CallerBudget const& aBudget, MonotonicTime aNow)
{
  if (aBudget.bytes <= aBudget.limits.bytes)
    return std::nullopt;
  auto const& sums = aBudget.receivingByAddress;
  auto const heaviest = std::ranges::max_element(sums, {}, [](auto const& aSum) { return aSum.second; });
  if (heaviest != sums.end()) {
    auto const receiving = FindMostStalled(aBudget, aNow, [&](CallerAccount const& aAccount) {
      bool const counts = aAccount.usage.state == CallerState::Receiving && aAccount.address == heaviest->first;
      return counts ? aAccount.usage.requestBytes : 0;
    });
    if (receiving)
      return RoomDecision{ *receiving, RoomAction::RefuseRequest };
  }
  auto const pipelined =
    FindMostStalled(aBudget, aNow, [](CallerAccount const& aAccount) { return aAccount.usage.pipelinedBytes; });
  if (pipelined)
    return RoomDecision{ *pipelined, RoomAction::DropPipelined };
  auto const unread =
    FindMostStalled(aBudget, aNow, [](CallerAccount const& aAccount) { return aAccount.usage.unsentBytes; });
  if (unread)
    return RoomDecision{ *unread, RoomAction::CloseUnread };
  return std::nullopt;
}

std::optional<CallerId>
ConnectionToClose(CallerBudget const& aBudget, CallerId aNewest)
{
  auto const newest = aBudget.accounts.find(aNewest);
  if (newest == aBudget.accounts.end())
    return std::nullopt;
  auto const group = newest->second.group;
  bool const fits = group == CallerGroup::Callers ? aBudget.callers <= aBudget.limits.connections
                                                  : aBudget.internalCallers <= aBudget.limits.internalConnections;
  if (fits)
    return std::nullopt;
  std::optional<CallerId> longestIdle;
  MonotonicTime idleSince = MonotonicTime::max();
  // The ids ascend, so the first one that never completed a request is the oldest.
  for (auto const& [id, account] : aBudget.accounts) {
    auto const& usage = account.usage;
    if (account.group != group || id == aNewest || usage.state == CallerState::Serving || usage.unsentBytes > 0)
      continue;
    if (usage.requestsCompleted == 0)
      return id;
    if (usage.state == CallerState::Receiving || account.lastProgress >= idleSince)
      continue;
    idleSince = account.lastProgress;
    longestIdle = id;
  }
  return longestIdle ? longestIdle : aNewest;
}

std::size_t
ReceiveBufferBytes(CallerBudget const& aBudget)
{
  auto const connections = std::max<std::size_t>(1, aBudget.accounts.size());
  return std::clamp(aBudget.limits.bytes / connections, kMinReceiveBuffer, kMaxReceiveBuffer);
}

std::optional<MonotonicTime>
TimeToReturnMemory(CallerBudget const& aBudget, MonotonicTime aNow)
{
  auto const limit = aBudget.limits.bytes;
  if (aBudget.peakBytes <= limit / 2 || aBudget.bytes >= limit / 8)
    return std::nullopt;
  return aBudget.lastReturned ? std::max(aNow, *aBudget.lastReturned + kReturnInterval) : aNow;
}

void
OnMemoryReturned(CallerBudget& aBudget, MonotonicTime aNow)
{
  aBudget.lastReturned = aNow;
  aBudget.peakBytes = aBudget.bytes;
}

}
