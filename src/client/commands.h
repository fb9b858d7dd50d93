#pragma once

#include "client/client_io.h"
#include "settings/command_table.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// The rows of the command table for all operators' commands. Thread-safe.
std::span<const command> client_commands();

/// Runs one operators' command with given streams and files. Returns the exit status.
int run_client_command(std::string_view name, const std::vector<std::string>& args, client_io& io);

} // namespace lagoonferry
