#include "SoakFront.h"
#include <array>
#include <atomic>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace Hornbeam::Testing {

/// The running processes, for the signal handler. Zero marks an unused slot.
static std::array<std::atomic<pid_t>, 512> processes;

static void
Register(pid_t aProcess)
{
  for (auto& slot : processes) {
    pid_t expected = 0;
    if (slot.compare_exchange_strong(expected, aProcess))
      return;
  }
  VerifyNotReached();
}

static void
Unregister(pid_t aProcess)
{
  for (auto& slot : processes) {
    auto expected = aProcess;
    slot.compare_exchange_strong(expected, 0);
  }
}

void
KillFrontsOnSignals()
{
  auto const handler = [](int) {
    for (auto const& slot : processes)
      if (auto const process = slot.load(); process > 0)
        kill(process, SIGKILL);
    _exit(2);
  };
  for (int const number : { SIGTERM, SIGINT, SIGHUP })
    std::signal(number, handler);
}

SoakFront::SoakFront(std::string aProgram,
                     std::string aDirectory,
                     std::string aName,
                     SoakFrontAddresses aAddresses,
                     Duration aGraceTime,
                     std::string const& aLimits)
  : program(std::move(aProgram))
  , name(std::move(aName))
  , settingsFile(aDirectory + "/" + this->name + ".yaml")
  , logFile(aDirectory + "/" + this->name + ".log")
  , addresses(std::move(aAddresses))
{
  std::ofstream settings(this->settingsFile);
  settings << "name: " << this->name << "\ndata_center: a\nregion: r\nmachine:\n  cores: 1\n"
           << aLimits << "addresses:\n"
           << "  callers: " << this->addresses.callers << "\n  readiness: " << this->addresses.readiness
           << "\n  directory: " << this->addresses.directory << "\n  peers: " << this->addresses.peers
           << "\n  metrics: " << this->addresses.metrics;
  if (!this->addresses.tunnels.empty())
    settings << "\n  tunnels: " << this->addresses.tunnels;
  settings << "\nstore:\n  address: " << this->addresses.store << "\nseeds: [";
  for (auto const& seed : this->addresses.seeds)
    settings << (seed == this->addresses.seeds.front() ? "" : ", ") << '"' << seed << '"';
  settings << "]\nshutdown:\n  grace_s: " << Milliseconds(aGraceTime) / 1000
           << "\ndirectory:\n  longest_lifetime_s: 2\n"
           << "retries:\n  ratio: 0.2\n  window_s: 10\n  slack: 50\ncold:\n  overshoot: 1.5\n  slack: 5\n";
}

SoakFront::~SoakFront()
{
  if (!this->IsRunning())
    return;
  kill(this->process, SIGKILL);
  waitpid(this->process, nullptr, 0);
  Unregister(this->process);
}

void
SoakFront::Start()
{
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, this->logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
  std::vector<std::string> argumentStrings{ this->program, "--platform", "--settings", this->settingsFile };
  std::vector<char*> arguments;
  for (auto& argument : argumentStrings)
    arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  VERIFY(posix_spawn(&this->process, this->program.c_str(), &files, nullptr, arguments.data(), environ) == 0);
  Register(this->process);
  posix_spawn_file_actions_destroy(&files);
}

void
SoakFront::Signal(int aSignal)
{
  if (this->IsRunning())
    kill(this->process, aSignal);
}

std::optional<int>
SoakFront::TakeExitStatus()
{
  int status = 0;
  if (!this->IsRunning() || waitpid(this->process, &status, WNOHANG) != this->process)
    return std::nullopt;
  Unregister(this->process);
  this->process = 0;
  return status;
}

}
