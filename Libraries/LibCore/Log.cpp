#include "Log.h"
#include <array>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace Hornbeam {

/// Upper bound on log output that is buffered while the reader of standard output is slow.
static constexpr std::size_t kMaxBufferedBytes = 1 << 20;
/// Log rate limit. At peak load a front writes about two lines per request at some hundred requests per second.
static constexpr std::uint32_t kMaxLinesPerSecond = 2000;

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
      this->ReportDropped();
    }
    if (++this->linesThisSecond > kMaxLinesPerSecond || this->buffer.size() > kMaxBufferedBytes) {
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
    this->buffer.append(stamp.data(), std::size_t(written));
    this->buffer.append(aMessage, aLength);
    this->buffer += '\n';
  }

  void Flush()
  {
    if (this->buffer.empty())
      return;
    auto const written = write(STDOUT_FILENO, this->buffer.data(), this->buffer.size());
    if (written > 0)
      this->buffer.erase(0, std::size_t(written));
  }

private:
  void ReportDropped()
  {
    if (this->dropped == 0)
      return;
    this->buffer += "W log: event=dropped lines=" + std::to_string(this->dropped) + "\n";
    this->dropped = 0;
  }

  std::string buffer;
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
  // A slow reader of standard output must not block the process.
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
