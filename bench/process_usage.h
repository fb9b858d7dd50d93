#pragma once

#include <cstdint>

namespace lagoonferry::bench {

/// What the system accounts to a process.
struct process_usage {
    double resident_mb = 0;
    double cpu_s = 0; ///< user and system time since its start
};

/// Reads the usage of a process; zeros if there is no such process.
process_usage read_process_usage(std::int64_t pid);

} // namespace lagoonferry::bench
