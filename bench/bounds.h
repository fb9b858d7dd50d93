#pragma once

#include "comparison.h"

#include <set>
#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Result of one bound.
struct bound_result {
    std::string name; ///< with the workload, as KNOWN-RED.txt lists it
    std::string text; ///< what was compared
    double value = 0;
    double limit = 0;
    bool met = false;
    bool known_red = false;
};

/// Checks the goals of section 4 of docs/design.md on one workload. A ratio compares medians over the seeds; a limit
/// in units holds for every seed.
std::vector<bound_result> check_bounds(const comparison& c, const std::set<std::string>& known_red);

/// Names in the lines `bench: <name>` of a file; empty when there is no such file.
std::set<std::string> read_known_red(const std::string& path);

} // namespace lagoonferry::bench
