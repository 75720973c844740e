#include "FairQueue.h"
#include <algorithm>

namespace Hornbeam {

static double
StartOf(FairQueue const& aQueue, std::string const& aAccount)
{
  auto const found = aQueue.virtualStart.find(aAccount);
  return found == aQueue.virtualStart.end() ? aQueue.virtualNow : std::max(found->second, aQueue.virtualNow);
}

void
Enqueue(FairQueue& aQueue, QueueEntry aEntry)
{
  aQueue.entries.push_back(std::move(aEntry));
}

std::optional<QueueEntry>
PeekNext(FairQueue const& aQueue)
{
  QueueEntry const* best = nullptr;
  double bestStart = 0;
  for (auto const& entry : aQueue.entries) {
    double const start = StartOf(aQueue, entry.account);
    bool better = best == nullptr || start < bestStart;
    if (best != nullptr && entry.account == best->account)
      better = entry.stage != best->stage ? entry.stage > best->stage : entry.deadline < best->deadline;
    if (!better)
      continue;
    best = &entry;
    bestStart = start;
  }
  if (best == nullptr)
    return std::nullopt;
  return *best;
}

void
DequeueEntry(FairQueue& aQueue, RequestId aRequest)
{
  auto const found = std::ranges::find(aQueue.entries, aRequest, &QueueEntry::request);
  VERIFY(found != aQueue.entries.end());
  double const start = StartOf(aQueue, found->account);
  aQueue.virtualNow = start;
  aQueue.virtualStart[found->account] = start + 1.0 / found->weight;
  aQueue.entries.erase(found);
  // An account whose virtual start has passed is treated like a new one; keeping its entry would only cost memory.
  std::erase_if(aQueue.virtualStart, [&](auto const& aStart) { return aStart.second <= aQueue.virtualNow; });
}

void
RemoveEntry(FairQueue& aQueue, RequestId aRequest)
{
  std::erase_if(aQueue.entries, [&](QueueEntry const& aEntry) { return aEntry.request == aRequest; });
}

}
