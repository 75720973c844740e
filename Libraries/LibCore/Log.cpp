#include "Log.h"
#include <array>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace Hornbeam {

/// Lines that may wait for a slow reader of standard output.
static constexpr std::size_t kMostWaitingBytes = 1 << 20;
/// A front at its highest load writes about two lines for each of some hundred requests a second.
static constexpr std::uint32_t kMostLinesPerSecond = 2000;

namespace {

class StandardOutputSink final : public google::LogSink
{
public:
  void send(google::LogSeverity aSeverity,
            char const*,
            char const*,
            int,
            std::tm const* aTime,
            char const* aMessage,
            std::size_t aLength) override
  {
    int const second = aTime->tm_sec + 60 * aTime->tm_min;
    if (second != this->currentSecond) {
      this->currentSecond = second;
      this->linesThisSecond = 0;
      this->TellDropped();
    }
    if (++this->linesThisSecond > kMostLinesPerSecond || this->waiting.size() > kMostWaitingBytes) {
      ++this->dropped;
      return;
    }
    timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    std::array<char, 48> stamp{};
    int const written = std::snprintf(stamp.data(),
                                      stamp.size(),
                                      "%c%02d:%02d:%02d.%03ld ",
                                      google::GetLogSeverityName(aSeverity)[0],
                                      aTime->tm_hour,
                                      aTime->tm_min,
                                      aTime->tm_sec,
                                      now.tv_nsec / 1000000);
    this->waiting.append(stamp.data(), std::size_t(written));
    this->waiting.append(aMessage, aLength);
    this->waiting += '\n';
  }

  void Flush()
  {
    if (this->waiting.empty())
      return;
    auto const written = write(STDOUT_FILENO, this->waiting.data(), this->waiting.size());
    if (written > 0)
      this->waiting.erase(0, std::size_t(written));
  }

private:
  void TellDropped()
  {
    if (this->dropped == 0)
      return;
    this->waiting += "W log: event=dropped lines=" + std::to_string(this->dropped) + "\n";
    this->dropped = 0;
  }

  std::string waiting;
  int currentSecond{ -1 };
  std::uint32_t linesThisSecond{ 0 };
  std::uint64_t dropped{ 0 };
};

StandardOutputSink&
Sink()
{
  static StandardOutputSink sink;
  return sink;
}

}

void
StartLogging(char const* aProgram)
{
  // A reader that does not keep up must not stop the process.
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  FLAGS_logtostderr = false;
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  for (auto const severity : { google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL })
    google::SetLogDestination(severity, "");
  google::InitGoogleLogging(aProgram);
  google::AddLogSink(&Sink());
}

void
FlushLog()
{
  Sink().Flush();
}

}
