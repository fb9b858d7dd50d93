#pragma once

#include <string>
#include <vector>

namespace lagoonferry {

/// Runs `lagoonferry entry` until SIGTERM, then finishes its requests and hands over its partitions.
/// `args` are the arguments after the role name. Returns the exit status.
int run_entry_role(const std::vector<std::string>& args);

} // namespace lagoonferry
