#pragma once

#include <glog/logging.h>

/// A log line with the fixed prefix of one part of the system, such as PART_LOG("routing") << "chose gen-1.".
#define PART_LOG(part) LOG(INFO) << part ": "
#define PART_WARNING(part) LOG(WARNING) << part ": "

namespace Hornbeam {

/// Sends the lines of glog to standard output, without files: VMs have no disks. Lines wait in memory until FlushLog();
/// beyond a bound for each second or in memory they are dropped and counted, so that logging never blocks.
void
StartLogging(char const* aProgram);

/// Writes waiting lines as far as standard output takes them now.
void
FlushLog();

}
