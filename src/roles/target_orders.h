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

/// Which model the targets of one service hold, from their reports and from the orders sent. Only targets that report
/// their models receive orders. Decision code without I/O; not thread-safe.
class target_orders {
public:
    /// A target of the service document.
    struct member {
        std::string id;
        std::string document_model; ///< model of the document
        std::uint32_t slots = 1;
        std::uint32_t in_flight = 0;
        bool live = true;
    };

    target_orders(const order_settings& settings, std::uint64_t seed) : m_planner(settings, seed) {}

    /// Notes which models a target says that it holds; nothing if it does not say. Reports may be late.
    void report(const load_report& report, timestamp now);

    /// Returns the model that the target serves: `document_model` for a target that does not report, empty while it
    /// serves none.
    std::string model_of(std::string_view target, const std::string& document_model) const;

    /// Whether a target may get new calls for the model it serves.
    bool usable(std::string_view target) const { return m_planner.usable(target); }

    /// Returns the orders that are due. A target that holds none of the models counts as empty.
    std::vector<target_order> step(std::span<const model_demand> demand, std::span<const member> members,
                                   timestamp now);

    /// Notes that a target did not accept an order. A lost reply is no refusal: the next reports show what happened.
    void refused(std::string_view target, timestamp now);

    const order_planner& planner() const { return m_planner; }

private:
    order_planner m_planner;
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> m_held; ///< by target, as reported
    std::map<std::string, std::string, std::less<>> m_ordered;                     ///< model by target
    std::map<std::string, std::string, std::less<>> m_assigned;                    ///< model by target, last order done
};

} // namespace lagoonferry
