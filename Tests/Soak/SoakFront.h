#pragma once

#include <LibCore/LibCore.h>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Hornbeam::Testing {

struct SoakFrontAddresses
{
  std::string callers;
  std::string readiness;
  std::string directory;
  std::string peers;
  std::string metrics;
  std::string store;
  std::string tunnels;
  /// Peer addresses of other fronts.
  std::vector<std::string> seeds;
};

/// Installs handlers so that a signal that terminates this program also kills the processes of the fronts.
void
KillFrontsOnSignals();

/// A front that runs as a real process. Only this object sends signals to it.
class SoakFront
{
public:
  /// Writes the settings file to aDirectory. The log also goes there. aLimits are the lines of the settings that follow
  /// machine.cores, such as "  memory_mb: 64\n".
  SoakFront(std::string aProgram,
            std::string aDirectory,
            std::string aName,
            SoakFrontAddresses aAddresses,
            Duration aGraceTime,
            std::string const& aLimits = "");
  SoakFront(SoakFront const&) = delete;
  SoakFront& operator=(SoakFront const&) = delete;
  ~SoakFront();

  std::string const& Name() const { return this->name; }
  SoakFrontAddresses const& Addresses() const { return this->addresses; }

  void Start();
  void Signal(int aSignal);

  /// Returns the wait status of the process if it has exited since the last call.
  std::optional<int> TakeExitStatus();

  bool IsRunning() const { return this->process > 0; }
  /// The id of the process; zero if none is running.
  pid_t Process() const { return this->process; }

private:
  std::string program;
  std::string name;
  std::string settingsFile;
  std::string logFile;
  SoakFrontAddresses addresses;
  pid_t process{ 0 };
};

}
