#pragma once

#include <LibHttp/LibHttp.h>

namespace Hornbeam {

/// Runs the loop until aHasEnded holds.
inline void
RunUntilQuiet(EventLoop& aLoop, std::function<bool()> const& aHasEnded, std::vector<HttpServer*> const&)
{
  aLoop.RunUntil(aHasEnded);
}

}
