#pragma once

#include <LibCore/LibCore.h>
#include <csignal>

namespace Hornbeam {

/// Runs aAction on the event loop at SIGTERM or SIGINT. Both signals must have been captured by the event port.
inline kj::Promise<void>
AwaitStop(EventLoop& aLoop, std::function<void()> aAction)
{
  auto& port = aLoop.Io().unixEventPort;
  return port.onSignal(SIGTERM)
    .exclusiveJoin(port.onSignal(SIGINT))
    .then([&aLoop, aAction = kj::mv(aAction)](siginfo_t&&) {
      aAction();
      aLoop.Wake();
    });
}

}
