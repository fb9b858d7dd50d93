#pragma once

#include "settings/exit_status.h"
#include "settings/settings_loader.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// The result of reading the command line of a role: settings to run with, or the exit status to return at once.
struct role_options_result {
    std::optional<settings> values;
    int status = exit_done;
};

/// Returns the docopt text of a role ("entry" or "dispatch"), generated from the table of settings. Thread-safe.
std::string role_usage(std::string_view role);

/// Reads the arguments behind the name of the role and the environment of this process. Prints the help, the effective
/// settings (`--check-settings`) or the faults, and returns no settings in these cases.
role_options_result read_role_options(std::string_view role, const std::vector<std::string>& args, std::ostream& out,
                                      std::ostream& err);

/// Applies the log settings to this process. Call before other threads start.
void apply_log_settings(const log_settings& log);

} // namespace lagoonferry
