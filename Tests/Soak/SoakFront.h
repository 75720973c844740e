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
  /// Peer addresses of other fronts.
  std::vector<std::string> seeds;
};

/// From now on a signal that ends this program ends the fronts' processes too.
void
EndFrontsOnSignals();

/// One front as a real process. Only this object sends signals to it.
class SoakFront
{
public:
  /// Its settings and its log stand in aDirectory.
  SoakFront(std::string aProgram, std::string aDirectory, std::string aName, SoakFrontAddresses aAddresses);
  SoakFront(SoakFront const&) = delete;
  SoakFront& operator=(SoakFront const&) = delete;
  ~SoakFront();

  std::string const& Name() const { return this->name; }
  SoakFrontAddresses const& Addresses() const { return this->addresses; }

  void Start();
  void Signal(int aSignal);

  /// The status of a process that has ended since the last call, as waitpid() gives it.
  std::optional<int> TakeEnd();

  bool Runs() const { return this->process > 0; }

private:
  std::string program;
  std::string name;
  std::string settingsFile;
  std::string logFile;
  SoakFrontAddresses addresses;
  pid_t process{ 0 };
};

}
