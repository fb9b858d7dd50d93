#pragma once

#include "dispatch/slot_dispatcher.h"
#include "ground_truth.h"

#include <memory>
#include <span>
#include <string_view>

namespace lagoonferry::bench {

enum class policy_role { shipped, baseline, oracle, ablation };

/// The parts from which the dispatchers of a run are made.
struct policy_parts {
    dispatch_settings settings;
    std::unique_ptr<target_selector> selector;
    std::unique_ptr<queue_order> order;
};

/// One row of the comparison.
struct policy_row {
    std::string_view name;
    policy_role role;
    policy_parts (*make)(const ground_truth& truth);
};

/// All policies, the shipped one first. Thread-safe.
std::span<const policy_row> policy_rows();

} // namespace lagoonferry::bench
