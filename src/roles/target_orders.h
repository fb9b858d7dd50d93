#pragma once

#include "dispatch/order_planner.h"
#include "dispatch/target_info.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Tracks which model each target of one service holds, from load reports and from the orders sent, and plans further
/// orders. Only targets that report their models receive orders. Decision code without I/O; not thread-safe.
class target_orders {
public:
    /// A target of the service document.
    struct member {
        std::string id;
        std::string document_model; ///< model that lists the target in the document
        std::uint32_t slots = 1;
        std::uint32_t in_flight = 0;
        bool live = true;
    };

    target_orders(const order_settings& settings, std::uint64_t seed) : m_planner(settings, seed) {}

    /// Records the models that a target reports as loaded. Ignores a report without models. Reports may arrive late.
    void report(const load_report& report, timestamp now);

    /// Returns the model that the target serves: `document_model` for a target that does not report its models, empty
    /// while it serves none.
    std::string model_of(std::string_view target, const std::string& document_model) const;

    /// Returns whether a target may receive new calls for the model that it serves.
    bool usable(std::string_view target) const { return m_planner.usable(target); }

    /// Returns the orders that are due. A target that holds none of the models in `demand` counts as empty.
    std::vector<target_order> step(std::span<const model_demand> demand, std::span<const member> members,
                                   timestamp now);

    /// Records that a target refused an order. Not for lost replies: later reports show whether the order was executed.
    void refused(std::string_view target, timestamp now);

    const order_planner& planner() const { return m_planner; }

private:
    order_planner m_planner;
    /// Loaded models by target, as last reported.
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> m_reported_models;
    /// Model of the order in progress, by target. Ends when the target reports the model.
    std::map<std::string, std::string, std::less<>> m_pending_models;
    /// Model of the last completed order, by target.
    std::map<std::string, std::string, std::less<>> m_completed_models;
};

} // namespace lagoonferry
