#pragma once

#include "client/command_context.h"

namespace lagoonferry {

/// The operators' commands. Each returns the exit status; docs/operators.md describes them.
int run_put(command_context& ctx);
int run_get(command_context& ctx);
int run_diff(command_context& ctx);
int run_validate(command_context& ctx);
int run_history(command_context& ctx);
int run_programs(command_context& ctx);
int run_targets(command_context& ctx);
int run_instances(command_context& ctx);
int run_drain(command_context& ctx);
int run_burn(command_context& ctx);
int run_explain(command_context& ctx);

} // namespace lagoonferry
