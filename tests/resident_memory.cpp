#include "resident_memory.h"

#include <fstream>
#include <string>

namespace lagoonferry::test {

std::size_t resident_kb()
{
    std::ifstream in("/proc/self/status");
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(6));
        }
    }
    return 0;
}

} // namespace lagoonferry::test
