#include "roles/target_orders.h"

#include <algorithm>

namespace lagoonferry {

void target_orders::report(const load_report& report, timestamp now)
{
    if (!report.models) {
        return;
    }
    m_reported_models[report.target] = {report.models->begin(), report.models->end()};
    const auto it = m_pending_models.find(report.target);
    if (it != m_pending_models.end() && m_reported_models[report.target].contains(it->second)) {
        m_completed_models[report.target] = it->second;
        m_pending_models.erase(it);
        m_planner.on_order_finished(report.target, true, now);
    }
}

std::string target_orders::model_of(std::string_view target, const std::string& document_model) const
{
    const auto reported = m_reported_models.find(target);
    if (reported == m_reported_models.end()) {
        return document_model;
    }
    if (m_pending_models.contains(target)) {
        return {};
    }
    const auto completed = m_completed_models.find(target);
    if (completed != m_completed_models.end() && reported->second.contains(completed->second)) {
        return completed->second;
    }
    if (reported->second.contains(document_model) || reported->second.empty()) {
        return reported->second.empty() ? std::string() : document_model;
    }
    return *reported->second.begin();
}

std::vector<target_order> target_orders::step(std::span<const model_demand> demand, std::span<const member> members,
                                              timestamp now)
{
    std::vector<order_target> targets;
    for (const member& item : members) {
        if (!m_reported_models.contains(item.id)) {
            continue;
        }
        std::string model = model_of(item.id, item.document_model);
        if (std::ranges::find(demand, model, &model_demand::model) == demand.end()) {
            model.clear();
        }
        targets.push_back({item.id, std::move(model), item.slots, item.in_flight, item.live});
    }
    auto orders = m_planner.step(demand, targets, now);
    std::erase_if(m_pending_models, [this](const auto& item) { return m_planner.usable(item.first); });
    for (target_order& order : orders) {
        // A target may hold a model that the planner does not know, which has to be unloaded as well.
        const auto& reported = m_reported_models[order.target];
        if (order.unload.empty() && !reported.empty()) {
            order.unload = *reported.begin();
        }
        m_pending_models[order.target] = order.load;
    }
    return orders;
}

void target_orders::refused(std::string_view target, timestamp now)
{
    const auto it = m_pending_models.find(target);
    if (it != m_pending_models.end()) {
        m_pending_models.erase(it);
        m_planner.on_order_finished(target, false, now);
    }
}

} // namespace lagoonferry
