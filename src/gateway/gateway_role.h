#pragma once

#include "gateway/gateway_settings.h"
#include "util/failure.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

class platform_adapter;

/// The platform-specific parts of a gateway.
struct gateway_platform {
    const platform_adapter* adapter = nullptr;
    std::function<std::string()> settings_path;
    std::function<std::optional<gateway_settings>(std::string_view text, failure& reason)> read_settings;
};

/// Runs `lagoonferry gateway` until SIGTERM, and then until its requests are finished or the grace period is nearly
/// over. `args` are the arguments after the name of the role. Returns the exit status.
int run_gateway_role(const gateway_platform& platform, const std::vector<std::string>& args);

/// Runs `lagoonferry standby`: a process that does nothing until SIGTERM.
int run_standby_role(const std::vector<std::string>& args);

} // namespace lagoonferry
