#pragma once

#include <string>
#include <vector>

namespace lagoonferry {

/// Runs `lagoonferry dispatch` until SIGTERM. `args` are the arguments after the role name. Returns the exit status.
int run_dispatch_role(const std::vector<std::string>& args);

} // namespace lagoonferry
