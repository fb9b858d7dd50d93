#pragma once

#include "settings/exit_status.h"

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// One subcommand of the binary. `run` receives the arguments after the name of the subcommand and returns the exit
/// status; it also handles `--help`.
struct command {
    std::string_view name;
    std::string_view summary;
    int (*run)(const std::vector<std::string>& args);
};

/// Runs the subcommand named by the first argument; `args` does not have the name of the binary. Prints the table of
/// commands for `--help`, and as an error for an unknown subcommand or no arguments. Returns the exit status,
/// exit_usage in case of such an error.
int run_command(std::span<const command> commands, const std::vector<std::string>& args, std::ostream& out,
                std::ostream& err);

} // namespace lagoonferry
