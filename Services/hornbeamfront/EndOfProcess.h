#pragma once

#include <LibHttp/LibHttp.h>
#include <algorithm>

namespace Hornbeam {

/// How long the servers must be quiet before the process ends. Callers that have just connected send their request
/// within this time.
static constexpr Duration kSilenceBeforeEnd = 200ms;
/// How long callers that are slow to send a request or to read a response can delay the end of the process.
static constexpr Duration kMaxEndDelay = 1s;

/// Runs the loop until aHasEnded holds and the servers are quiet, but not longer than kMaxEndDelay after the former.
/// The loop has handled everything that was readable when this returns.
inline void
RunUntilQuiet(EventLoop& aLoop, std::function<bool()> const& aHasEnded, std::vector<HttpServer*> const& aServers)
{
  std::optional<MonotonicTime> endedAt;
  aLoop.RunUntil([&] {
    if (!aHasEnded())
      return false;
    auto const now = aLoop.RuntimeClock().Now();
    if (!endedAt) {
      endedAt = now;
      std::ranges::for_each(aServers, [](HttpServer* aServer) { aServer->CloseAfterResponses(); });
    }
    if (now - *endedAt < kSilenceBeforeEnd)
      return false;
    if (std::ranges::all_of(aServers, [](HttpServer* aServer) { return aServer->IsQuiet(kSilenceBeforeEnd); }))
      return true;
    if (now - *endedAt < kMaxEndDelay)
      return false;
    std::size_t open = 0;
    for (auto const* server : aServers)
      open += server->OpenExchanges();
    PART_WARNING("shutdown") << "ending with " << open << " requests that callers have not sent or read completely.";
    return true;
  });
}

}
