#pragma once

#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Runs the boat assignment program against running processes and prints a timeline. Returns 0 if every step had the
/// expected result, 1 if a step had not, 2 on a usage error.
int demo_command(const std::vector<std::string>& arguments);

} // namespace lagoonferry::bench
