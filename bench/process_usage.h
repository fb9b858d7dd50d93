#pragma once

#include <cstdint>

namespace lagoonferry::bench {

/// Resources used by a process.
struct process_usage {
    double resident_mb = 0;
    double cpu_s = 0; ///< user and system time since the process started
};

/// Reads the usage of a process from /proc. Returns zeros if the process does not exist.
process_usage read_process_usage(std::int64_t pid);

} // namespace lagoonferry::bench
