#include "dispatch/order_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace lagoonferry {

namespace {

double decay(timestamp elapsed, timestamp half_life)
{
    return std::exp2(-static_cast<double>(elapsed.count()) / static_cast<double>(half_life.count()));
}

double per_slot(double calls, std::uint32_t slots)
{
    return slots > 0 ? calls / slots : calls * std::numeric_limits<float>::max();
}

} // namespace

std::vector<target_order> order_planner::step(std::span<const model_demand> demand,
                                              std::span<const order_target> targets, timestamp now)
{
    observe(demand, now);
    expire_moves(targets, now);
    count_targets(targets);
    plan(targets, now);
    return due(targets, now);
}

void order_planner::on_order_finished(std::string_view target, bool loaded, timestamp now)
{
    const auto it = m_moves.find(target);
    if (it == m_moves.end()) {
        return;
    }
    if (!loaded) {
        m_failed[{it->first, it->second.to}] = now;
    }
    m_moves.erase(it);
}

std::size_t order_planner::loading() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_moves, [](const auto& item) { return item.second.ordered; }));
}

void order_planner::observe(std::span<const model_demand> demand, timestamp now)
{
    m_first_observation = m_last_observation.count() > 0 ? m_first_observation : now;
    const double demand_decay =
        m_last_observation.count() > 0 ? decay(now - m_last_observation, m_settings.demand_half_life) : 0;
    const double peak_decay =
        m_last_observation.count() > 0 ? decay(now - m_last_observation, m_settings.peak_half_life) : 0;
    m_last_observation = now;
    std::erase_if(m_models, [&](const auto& item) {
        return std::ranges::find(demand, item.first, &model_demand::model) == demand.end();
    });
    for (const model_demand& item : demand) {
        model_state& state = m_models[item.model];
        // Calls that arrive and end between two observations are visible only in `arrivals`.
        const double calls = std::max<double>(item.running + item.waiting, item.arrivals > 0 ? 1 : 0);
        state.demand = state.demand * demand_decay + calls * (1 - demand_decay);
        state.peak = std::max(state.demand, state.peak * peak_decay);
    }
}

void order_planner::count_targets(std::span<const order_target> targets)
{
    for (auto& [model, state] : m_models) {
        state.slots = 0;
        state.targets = 0;
        state.incoming = 0;
    }
    for (const order_target& target : targets) {
        const auto move = m_moves.find(target.id);
        const bool moving = move != m_moves.end();
        const auto it = m_models.find(moving ? move->second.to : target.model);
        if (!target.live || it == m_models.end()) {
            continue;
        }
        it->second.slots += target.slots;
        (moving ? it->second.incoming : it->second.targets) += 1;
    }
}

void order_planner::expire_moves(std::span<const order_target> targets, timestamp now)
{
    std::erase_if(m_moves, [&](const auto& item) {
        const auto it = std::ranges::find(targets, item.first, &order_target::id);
        if (it == targets.end()) {
            return true;
        }
        const move& m = item.second;
        if (!m.ordered) {
            return !it->live || now - m.since > m_settings.drain_timeout;
        }
        const bool overdue = now - m.since > m_settings.load_timeout;
        if (overdue) {
            m_failed[{item.first, m.to}] = now;
        }
        return overdue;
    });
}

void order_planner::plan(std::span<const order_target> targets, timestamp now)
{
    for (auto& [model, state] : m_models) {
        const bool is_short = per_slot(state.demand, state.slots) > m_settings.shortage_threshold;
        if (is_short && !state.is_short) {
            state.short_since = now;
        }
        state.is_short = is_short;
    }
    // Draining targets count as well, so that no more targets are idle than the weight store can serve.
    if (m_moves.size() >= m_settings.loads_in_flight) {
        return;
    }
    if (assign_empty_target(targets, now)) {
        return;
    }
    const std::string* model = most_overloaded_model(now);
    if (model == nullptr) {
        return;
    }
    if (const order_target* donor = find_donor(*model, targets, now)) {
        m_moves[donor->id] = {donor->model, *model, now, false};
    }
}

/// Assigns the model with the highest demand per slot to a target without a model: its load has failed or it has
/// restarted.
bool order_planner::assign_empty_target(std::span<const order_target> targets, timestamp now)
{
    for (const order_target& target : targets) {
        if (!target.live || !target.model.empty() || m_moves.contains(target.id)) {
            continue;
        }
        const std::string* best = nullptr;
        double max_pressure = -1;
        for (const auto& [model, state] : m_models) {
            // The minimum puts a model without targets first while there is no demand.
            const double pressure = per_slot(std::max(state.demand, 1e-9), state.slots);
            if (pressure > max_pressure && cooldown_over(target, model, now)) {
                best = &model;
                max_pressure = pressure;
            }
        }
        if (best != nullptr) {
            m_moves[target.id] = {{}, *best, now, false};
            return true;
        }
    }
    return false;
}

const std::string* order_planner::most_overloaded_model(timestamp now) const
{
    const std::string* found = nullptr;
    double max_pressure = 0;
    for (const auto& [model, state] : m_models) {
        const bool lasting = state.is_short && now - state.short_since >= m_settings.min_shortage_time;
        const bool unserved = state.demand > 0 && state.slots == 0;
        const double pressure = per_slot(state.demand, state.slots);
        if ((lasting || unserved) && pressure > max_pressure) {
            found = &model;
            max_pressure = pressure;
        }
    }
    return found;
}

const order_target* order_planner::find_donor(const std::string& model, std::span<const order_target> targets,
                                              timestamp now)
{
    const order_target* best = nullptr;
    std::uint64_t equal = 0;
    for (const order_target& target : targets) {
        if (!can_donate(target, model, now)) {
            continue;
        }
        if (best != nullptr && target.in_flight > best->in_flight) {
            continue;
        }
        equal = best != nullptr && target.in_flight == best->in_flight ? equal + 1 : 1;
        if (m_random.below(equal) == 0) {
            best = &target;
        }
    }
    return best;
}

bool order_planner::can_donate(const order_target& target, const std::string& model, timestamp now) const
{
    if (!target.live || target.model == model || m_moves.contains(target.id) || !cooldown_over(target, model, now)) {
        return false;
    }
    const auto it = m_models.find(target.model);
    if (it == m_models.end()) {
        return true;
    }
    const model_state& state = it->second;
    // After a start without state the recent peaks are unknown.
    if (state.targets < 2 || now - m_first_observation < m_settings.warm_up) {
        return false;
    }
    return per_slot(state.peak, state.slots - target.slots) < m_settings.surplus_threshold;
}

bool order_planner::cooldown_over(const order_target& target, const std::string& model, timestamp now) const
{
    const auto last = m_last_load.find(target.id);
    // A target without a model serves no calls, so it does not wait; `m_failed` limits its repeated loads.
    if (!target.model.empty() && last != m_last_load.end() && now - last->second < m_settings.min_residence) {
        return false;
    }
    const auto failed = m_failed.find({target.id, model});
    return failed == m_failed.end() || now - failed->second >= m_settings.min_residence;
}

std::vector<target_order> order_planner::due(std::span<const order_target> targets, timestamp now)
{
    std::vector<target_order> orders;
    for (const order_target& target : targets) {
        const auto it = m_moves.find(target.id);
        if (it == m_moves.end() || it->second.ordered || target.in_flight > 0) {
            continue;
        }
        if (m_last_load_start && now - *m_last_load_start < m_settings.load_interval) {
            break;
        }
        it->second.ordered = true;
        it->second.since = now;
        m_last_load_start = now;
        m_last_load[target.id] = now;
        ++m_loads;
        orders.push_back({target.id, it->second.from, it->second.to});
    }
    return orders;
}

} // namespace lagoonferry
