#include "roles/target_orders.h"

#include <algorithm>

namespace lagoonferry {

void target_orders::report(const load_report& report, timestamp now)
{
    if (!report.models) {
        return;
    }
    m_held[report.target] = {report.models->begin(), report.models->end()};
    const auto it = m_ordered.find(report.target);
    if (it != m_ordered.end() && m_held[report.target].contains(it->second)) {
        m_assigned[report.target] = it->second;
        m_ordered.erase(it);
        m_planner.on_order_finished(report.target, true, now);
    }
}

std::string target_orders::model_of(std::string_view target, const std::string& document_model) const
{
    const auto held = m_held.find(target);
    if (held == m_held.end()) {
        return document_model;
    }
    if (m_ordered.contains(target)) {
        return {};
    }
    const auto assigned = m_assigned.find(target);
    if (assigned != m_assigned.end() && held->second.contains(assigned->second)) {
        return assigned->second;
    }
    if (held->second.contains(document_model) || held->second.empty()) {
        return held->second.empty() ? std::string() : document_model;
    }
    return *held->second.begin();
}

std::vector<target_order> target_orders::step(std::span<const model_demand> demand, std::span<const member> members,
                                              timestamp now)
{
    std::vector<order_target> targets;
    for (const member& item : members) {
        if (!m_held.contains(item.id)) {
            continue;
        }
        std::string model = model_of(item.id, item.document_model);
        if (std::ranges::find(demand, model, &model_demand::model) == demand.end()) {
            model.clear();
        }
        targets.push_back({item.id, std::move(model), item.slots, item.in_flight, item.live});
    }
    auto orders = m_planner.step(demand, targets, now);
    std::erase_if(m_ordered, [this](const auto& item) { return m_planner.usable(item.first); });
    for (target_order& order : orders) {
        // A target may hold a model of which this planner knows nothing; it makes room too.
        const auto& held = m_held[order.target];
        if (order.unload.empty() && !held.empty()) {
            order.unload = *held.begin();
        }
        m_ordered[order.target] = order.load;
    }
    return orders;
}

void target_orders::refused(std::string_view target, timestamp now)
{
    const auto it = m_ordered.find(target);
    if (it != m_ordered.end()) {
        m_ordered.erase(it);
        m_planner.on_order_finished(target, false, now);
    }
}

} // namespace lagoonferry
