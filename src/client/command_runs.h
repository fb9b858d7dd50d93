#pragma once

#include "client/client_call.h"

namespace lagoonferry {

/// The operators' commands. Each returns the exit status; docs/operators.md describes them.
int run_put(client_call& call);
int run_get(client_call& call);
int run_diff(client_call& call);
int run_validate(client_call& call);
int run_history(client_call& call);
int run_programs(client_call& call);
int run_targets(client_call& call);
int run_instances(client_call& call);
int run_drain(client_call& call);
int run_burn(client_call& call);
int run_explain(client_call& call);

} // namespace lagoonferry
