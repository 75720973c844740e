#pragma once

#include <LibExchange/LibExchange.h>
#include <sys/types.h>

namespace Hornbeam::Testing {

/// A tunnel server in a process of its own. Its kernel closes its connections when the process is killed.
class TunnelProcess
{
public:
  /// Serves on an address such as "127.0.0.1:20963".
  explicit TunnelProcess(std::string const& aAddress);
  TunnelProcess(TunnelProcess const&) = delete;
  TunnelProcess& operator=(TunnelProcess const&) = delete;
  ~TunnelProcess() { this->Kill(); }

  void Kill();

private:
  pid_t process;
};

}
