#pragma once

#include <glog/logging.h>

/// Logs a line with the prefix of one component, for example PART_LOG("routing") << "chose gen-1.".
#define PART_LOG(part) LOG(INFO) << part ": "
#define PART_WARNING(part) LOG(WARNING) << part ": "

namespace Hornbeam {

/// Redirects glog to standard output and disables log files, because VMs have no disks. Lines are buffered in memory
/// until FlushLog(). Lines beyond the rate limit or the buffer limit are dropped and counted, so that logging never
/// blocks.
void
StartLogging(char const* aProgram);

/// Writes buffered lines as far as standard output accepts them without blocking.
void
FlushLog();

}
