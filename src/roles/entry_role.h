#pragma once

#include <string>
#include <vector>

namespace lagoonferry {

/// Runs `lagoonferry entry` until SIGTERM, and then until its requests are finished and its partitions handed over.
/// `args` are the arguments behind the name of the role. Returns the exit status.
int run_entry_role(const std::vector<std::string>& args);

} // namespace lagoonferry
