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

/// What was ordered in a run.
struct order_log {
    std::vector<model_load_record> model_loads; ///< in the order of their starts
    std::size_t max_concurrent_loads = 0;       ///< largest number of loads in flight
};

/// Runs one policy on one workload. The same arguments give the same figures. With `orders`, targets change their model
/// with the demand, and `recorded_orders` receives what was ordered. Thread-safe.
run_figures run_policy(const workload& w, scenario s, const policy_row& policy, std::uint64_t seed,
                       const order_settings* orders = nullptr, order_log* recorded_orders = nullptr);

} // namespace lagoonferry::bench
