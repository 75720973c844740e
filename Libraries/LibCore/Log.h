#pragma once

#include <glog/logging.h>

/// A log line with the fixed prefix of one part of the system, such as PART_LOG("routing") << "chose gen-1.".
#define PART_LOG(part) LOG(INFO) << part ": "
#define PART_WARNING(part) LOG(WARNING) << part ": "

namespace Hornbeam {

/// Starts glog on standard error, without files: VMs have no disks.
void
StartLogging(char const* aProgram);

}
