#pragma once

#include "dispatch/slot_dispatcher.h"
#include "ground_truth.h"

#include <memory>
#include <span>
#include <string_view>

namespace lagoonferry::bench {

enum class policy_role { shipped, baseline, oracle, ablation };

/// Settings and strategies of the dispatchers of a run.
struct policy_parts {
    dispatch_settings settings;
    std::unique_ptr<target_selector> selector;
    std::unique_ptr<queue_order> order;
};

/// One policy of the comparison.
struct policy_row {
    std::string_view name;
    policy_role role;
    policy_parts (*make)(const ground_truth& truth);
};

/// Returns all policies, the shipped one first. Thread-safe.
std::span<const policy_row> policy_rows();

} // namespace lagoonferry::bench
