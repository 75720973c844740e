#pragma once

#include <LibCore/LibCore.h>
#include <map>
#include <string>
#include <vector>

namespace Hornbeam {

using RequestId = std::uint64_t;

/// One stage of one request that waits for a slot.
struct QueueEntry
{
  RequestId request{ 0 };
  std::string account;
  int weight{ 1 };
  std::size_t stage{ 0 };
  MonotonicTime deadline{};
};

/// Weighted fair queueing between client accounts. Within an account the furthest stage goes first, then the earliest
/// deadline: work that has been paid for is not wasted.
struct FairQueue
{
  std::vector<QueueEntry> entries;
  /// The virtual time at which each account's next entry starts.
  std::map<std::string, double> virtualStart;
  double virtualNow{ 0 };
};

void
Enqueue(FairQueue& aQueue, QueueEntry aEntry);

/// The entry that is served next; empty when none waits. It stays in the queue.
std::optional<QueueEntry>
PeekNext(FairQueue const& aQueue);

/// Removes an entry that is served and charges its account.
void
DequeueEntry(FairQueue& aQueue, RequestId aRequest);

/// Removes an entry that is no longer wanted; its account is not charged.
void
RemoveEntry(FairQueue& aQueue, RequestId aRequest);

}
