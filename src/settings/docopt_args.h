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

/// Parsed arguments, or the exit status to return at once.
struct docopt_result {
    std::optional<docopt_values> values;
    int status = exit_done;
};

/// Parses the arguments behind the name of a subcommand by its docopt text. Prints the text for --help to `out`, and
/// faults to `err`. Unlike docopt's own entry point it does not end the process. Thread-safe.
docopt_result parse_docopt(const std::string& command, const std::string& usage, const std::vector<std::string>& args,
                           std::ostream& out, std::ostream& err);

/// Returns the text of an option or argument, or nothing when it was not given. Thread-safe.
std::optional<std::string> argument_value(const docopt_values& values, const std::string& name);

/// Returns whether a flag without argument was given. Thread-safe.
bool has_flag(const docopt_values& values, const std::string& name);

} // namespace lagoonferry
