#pragma once

#include "client/client_io.h"
#include "settings/command_table.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Returns the entries of the command table for the operators' commands. Thread-safe.
std::span<const command> client_commands();

/// Runs an operators' command with the given streams, files and clocks, and returns the exit status. Precondition:
/// `name` is in client_commands().
int run_client_command(std::string_view name, const std::vector<std::string>& args, client_io& io);

} // namespace lagoonferry
