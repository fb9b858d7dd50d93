#pragma once

#include <string>
#include <vector>

namespace lagoonferry::bench {

/// Runs the recovery benchmark. Returns 0 if every bound is met or listed as known red, 1 if one is not, 2 on a usage
/// error or if the plots cannot be written.
int recovery_command(const std::vector<std::string>& arguments);

} // namespace lagoonferry::bench
