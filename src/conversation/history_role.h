#pragma once

#include "gateway/gateway_role.h"

#include <string>
#include <vector>

namespace lagoonferry {

/// Runs `lagoonferry history`: a history node, until SIGTERM. `args` are the arguments after the name of the role.
/// Returns the exit status.
int run_history_role(const gateway_platform& platform, const std::vector<std::string>& args);

} // namespace lagoonferry
