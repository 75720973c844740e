#pragma once

#include <LibCore/LibCore.h>
#include <map>
#include <string>
#include <vector>

namespace Hornbeam {

using RequestId = std::uint64_t;

/// One stage of a request that is waiting for a slot.
struct QueueEntry
{
  RequestId request{ 0 };
  std::string account;
  int weight{ 1 };
  std::size_t stage{ 0 };
  MonotonicTime deadline{};
};

/// Weighted fair queueing between client accounts. Within an account, the furthest stage takes precedence, then the
/// earliest deadline, so that work already done for a request is not wasted.
struct FairQueue
{
  std::vector<QueueEntry> entries;
  /// Virtual time at which each account's next entry starts.
  std::map<std::string, double> virtualStart;
  double virtualNow{ 0 };
};

void
Enqueue(FairQueue& aQueue, QueueEntry aEntry);

/// Returns the entry that is served next without removing it; nothing if the queue is empty.
std::optional<QueueEntry>
PeekNext(FairQueue const& aQueue);

/// Removes an entry that is being served and charges its account.
void
DequeueEntry(FairQueue& aQueue, RequestId aRequest);

/// Removes an entry that is no longer needed without charging its account.
void
RemoveEntry(FairQueue& aQueue, RequestId aRequest);

}
