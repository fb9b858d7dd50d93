#pragma once

#include "fleet.h"
#include "policies.h"
#include "run_figures.h"
#include "scenario.h"
#include "workload.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace lagoonferry::bench {

/// Model loads that the order planner started in a run.
struct order_log {
    std::vector<model_load_record> model_loads; ///< in order of their start
    std::size_t max_concurrent_loads = 0;       ///< largest number of loads in progress at once
};

/// Runs one policy on one workload. The same arguments give the same figures. With `orders`, an order planner
/// makes targets change their model as demand moves, and its model loads are stored in `recorded_orders`. Thread-safe.
run_figures run_policy(const workload& w, scenario s, const policy_row& policy, std::uint64_t seed,
                       const order_settings* orders = nullptr, order_log* recorded_orders = nullptr);

} // namespace lagoonferry::bench
