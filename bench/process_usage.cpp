#include "process_usage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace lagoonferry::bench {

process_usage read_process_usage(std::int64_t pid)
{
    constexpr double bytes_per_mb = 1e6;
    constexpr int fields_before_utime = 11; // after the process name in parentheses
    const std::string folder = "/proc/" + std::to_string(pid);
    process_usage usage;
    std::ifstream memory(folder + "/statm");
    std::uint64_t size = 0;
    std::uint64_t resident = 0;
    memory >> size >> resident;
    usage.resident_mb = static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / bytes_per_mb;

    std::ifstream stat(folder + "/stat");
    std::string line;
    std::getline(stat, line);
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int n = 0; n < fields_before_utime; ++n) {
        fields >> skipped;
    }
    std::uint64_t user = 0;
    std::uint64_t system = 0;
    fields >> user >> system;
    usage.cpu_s = static_cast<double>(user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
    return usage;
}

} // namespace lagoonferry::bench
