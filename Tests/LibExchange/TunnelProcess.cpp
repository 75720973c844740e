#include "TunnelProcess.h"
#include <csignal>
#include <sys/wait.h>
#include <thread>

namespace Hornbeam::Testing {

using namespace Gateway;

/// Time for the process to listen.
static constexpr Duration kStartTime = 100ms;

[[noreturn]] static void
Serve(std::string const& aAddress)
{
  Clock clock{ ClockMode::Running };
  EventLoop loop{ clock };
  TunnelServer server(loop.UvLoop(),
                      clock,
                      TcpConnector(loop.UvLoop()),
                      { [](std::string const&) { return TunnelPermission::Granted; },
                        [](std::string const&, bool) {},
                        [](std::string const&, TunnelEnd, std::uint64_t) {} });
  if (server.Open(aAddress))
    loop.RunUntil([] { return false; });
  std::_Exit(1);
}

TunnelProcess::TunnelProcess(std::string const& aAddress)
  : process(fork())
{
  if (this->process == 0)
    Serve(aAddress);
  std::this_thread::sleep_for(kStartTime);
}

void
TunnelProcess::Kill()
{
  if (this->process <= 0)
    return;
  kill(this->process, SIGKILL);
  waitpid(std::exchange(this->process, 0), nullptr, 0);
}

}
