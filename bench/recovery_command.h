#pragma once

#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Runs `lagoonferry_bench recovery` and returns the exit status.
int recovery_command(const std::vector<std::string>& arguments);

} // namespace lagoonferry::bench
