#pragma once

#include "comparison.h"

#include <set>
#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Result of checking one bound.
struct bound_result {
    std::string name; ///< includes the workload; KNOWN-RED.txt lists the bound under this name
    std::string text; ///< describes the value and the limit
    double value = 0;
    double limit = 0;
    bool met = false;
    bool known_red = false;
};

/// Checks the goals of section 4 of docs/design.md on one workload. Ratios compare medians over the seeds. Absolute
/// limits apply to every seed.
std::vector<bound_result> check_bounds(const comparison& c, const std::set<std::string>& known_red);

/// Reads the bound names from the lines `bench: <name>` of a file. Returns an empty set if the file does not exist.
std::set<std::string> read_known_red(const std::string& path);

} // namespace lagoonferry::bench
