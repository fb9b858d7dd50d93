#pragma once

#include "settings/exit_status.h"

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// One subcommand of the binary. `run` receives the arguments behind the name of the subcommand and returns the exit
/// status; it answers `--help` itself.
struct command {
    std::string_view name;
    std::string_view summary;
    int (*run)(const std::vector<std::string>& args);
};

/// Runs the subcommand that `args` (without the name of the binary) names. Without arguments or with `--help` it
/// prints the table. Returns the exit status, exit_usage for an unknown subcommand.
int run_command(std::span<const command> commands, const std::vector<std::string>& args, std::ostream& out,
                std::ostream& err);

} // namespace lagoonferry
