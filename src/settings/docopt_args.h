#pragma once

#include "settings/exit_status.h"

#include <docopt/docopt.h>

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoonferry {

using docopt_values = std::map<std::string, docopt::value>;

/// The parsed arguments, or the exit status if the process should end without running the command.
struct docopt_result {
    std::optional<docopt_values> values;
    int status = exit_done;
};

/// Parses the arguments after the name of a subcommand as its docopt usage text describes them. Prints the usage text
/// to `out` for --help, and errors to `err`. Unlike docopt::docopt it does not exit the process. Thread-safe.
docopt_result parse_docopt(const std::string& command, const std::string& usage, const std::vector<std::string>& args,
                           std::ostream& out, std::ostream& err);

/// Returns the value of an option or positional argument, or nothing when it was not given. Thread-safe.
std::optional<std::string> argument_value(const docopt_values& values, const std::string& name);

/// Returns whether a flag without argument was given. Thread-safe.
bool has_flag(const docopt_values& values, const std::string& name);

} // namespace lagoonferry
