#pragma once

#include "client/command_context.h"

namespace lagoonferry {

/// The operators' commands. Each returns the exit status; docs/operators.md describes them.
int run_put(command_context& call);
int run_get(command_context& call);
int run_diff(command_context& call);
int run_validate(command_context& call);
int run_history(command_context& call);
int run_programs(command_context& call);
int run_targets(command_context& call);
int run_instances(command_context& call);
int run_drain(command_context& call);
int run_burn(command_context& call);
int run_explain(command_context& call);

} // namespace lagoonferry
