#include "RunGateway.h"
#include "ExitCodes.h"
#include "StopSignal.h"

namespace Hornbeam {

using namespace Gateway;

/// After a kill, the former process may hold its addresses while its memory is being freed.
static constexpr Duration kListenRetryTime = 5s;

static kj::Promise<void>
AwaitReload(EventLoop& aLoop, GatewayFront& aFront, std::string const& aFile)
{
  return aLoop.Io().unixEventPort.onSignal(SIGHUP).then([&](siginfo_t&&) {
    std::vector<std::string> errors;
    auto const settings = LoadGatewaySettings(aFile, errors);
    if (settings)
      aFront.Reload(*settings);
    for (auto const& error : errors)
      PART_WARNING("front") << "event=reload-refused fault=\"" << error << "\"";
    aLoop.Wake();
    return AwaitReload(aLoop, aFront, aFile);
  });
}

int
RunGateway(GatewaySettings const& aSettings, std::string const& aFile)
{
  for (auto const signal : { SIGTERM, SIGINT, SIGHUP })
    kj::UnixEventPort::captureSignal(signal);
  std::signal(SIGPIPE, SIG_IGN);
  Clock clock(ClockMode::Running);
  EventLoop loop(clock);
  GatewayFront front(aSettings, loop, [&] { loop.Stop(); });
  if (!front.Open(kListenRetryTime)) {
    FlushLog();
    return kExitCannotListen;
  }
  auto const stop = AwaitStop(loop, [&] { front.BeginDraining(); }).eagerlyEvaluate(nullptr);
  auto const reload = AwaitReload(loop, front, aFile).eagerlyEvaluate(nullptr);
  front.Start();
  loop.Run();
  FlushLog();
  // Handles are closed only while the event loop runs, and it has ended; the kernel closes them at exit.
  std::quick_exit(0);
}

}
