#pragma once

#include "settings/exit_status.h"
#include "settings/settings_loader.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// The settings of a role, or the exit status if the process should end without running the role.
struct role_options_result {
    std::optional<settings> values;
    int status = exit_done;
};

/// Returns the docopt usage text of a role ("entry" or "dispatch"), generated from setting_rows(). Thread-safe.
std::string role_usage(std::string_view role);

/// Reads the settings of a role from the arguments after its name and from the environment of this process. Returns no
/// settings if it printed the help, the effective settings (`--check-settings`) or errors instead.
role_options_result read_role_options(std::string_view role, const std::vector<std::string>& args, std::ostream& out,
                                      std::ostream& err);

/// Configures the log of this process. Call it before other threads start.
void apply_log_settings(const log_settings& log);

} // namespace lagoonferry
