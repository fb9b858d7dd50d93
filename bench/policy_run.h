#pragma once

#include "policies.h"
#include "run_figures.h"
#include "scenario.h"
#include "workload.h"

#include <cstdint>

namespace lagoonferry::bench {

/// Runs one policy on one workload. The same arguments give the same figures. Thread-safe.
run_figures run_policy(const workload& w, scenario s, const policy_row& policy, std::uint64_t seed);

} // namespace lagoonferry::bench
