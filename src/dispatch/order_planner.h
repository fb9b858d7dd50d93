#pragma once

#include "dispatch/random_source.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lagoonferry {

/// Figures of the decision which target serves which model.
struct order_settings {
    timestamp load_interval = std::chrono::seconds(10);     ///< least time between two starts of loads
    std::uint32_t loads_in_flight = 2;                      ///< loads that the weight store serves at the same time
    timestamp min_residence = std::chrono::minutes(10);     ///< least time between two loads of one target
    timestamp min_shortage_time = std::chrono::seconds(15); ///< demand lasts this long before a target is moved
    timestamp demand_half_life = std::chrono::seconds(10);
    timestamp peak_half_life = std::chrono::seconds(120); ///< a model keeps the targets of its recent peak
    timestamp warm_up = std::chrono::seconds(120);        ///< observed before a target is taken from a model
    double shortage_threshold = 0.9;                      ///< demand per slot above which a model takes a target
    double surplus_threshold = 0.6;                       ///< peak per remaining slot below which a model gives one up
    timestamp drain_timeout = std::chrono::seconds(60);   ///< a target with calls after this time keeps its model
    timestamp load_timeout = std::chrono::minutes(5);     ///< a load without answer counts as failed after this time
};

/// Demand for one model. Models without demand are listed too.
struct model_demand {
    std::string model;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t arrivals = 0; ///< calls since the observation before
};

/// One target as observed.
struct order_target {
    std::string id;
    std::string model; ///< loaded now; empty if none
    std::uint32_t slots = 1;
    std::uint32_t in_flight = 0;
    bool live = true;
};

/// An order to one target: drop a model, then load another one. Either name can be empty.
struct target_order {
    std::string target;
    std::string unload;
    std::string load;
};

/// Decides which target serves which model, for targets that hold one model each. A target that changes its model first
/// gets no new calls (`usable`), then the order, once its calls have ended. Pure decision code: no I/O, no clock. Not
/// thread-safe.
class order_planner {
public:
    order_planner(const order_settings& settings, std::uint64_t seed) : m_settings(settings), m_random(seed) {}

    /// Notes an observation and returns the orders that are due. Call it about once a second.
    std::vector<target_order> step(std::span<const model_demand> demand, std::span<const order_target> targets,
                                   timestamp now);

    /// Notes the end of an order that `step` returned. Unknown targets are ignored.
    void on_order_finished(std::string_view target, bool loaded, timestamp now);

    /// Whether new calls may go to a target.
    bool usable(std::string_view target) const { return !m_moves.contains(target); }

    /// Loads that were ordered and have not ended.
    std::size_t loading() const;

    /// Loads ordered so far.
    std::uint64_t loads() const { return m_loads; }

private:
    struct model_state {
        double demand = 0; ///< smoothed calls
        double peak = 0;   ///< decaying maximum of `demand`
        timestamp short_since{0};
        bool is_short = false;
        std::uint32_t slots = 0;    ///< of targets that serve the model or will
        std::uint32_t targets = 0;  ///< that serve the model and keep it
        std::uint32_t incoming = 0; ///< targets that will serve it
    };
    struct move {
        std::string from;
        std::string to;
        timestamp since{0};
        bool ordered = false;
    };

    void observe(std::span<const model_demand> demand, timestamp now);
    void count(std::span<const order_target> targets);
    void drop_overdue(std::span<const order_target> targets, timestamp now);
    void plan(std::span<const order_target> targets, timestamp now);
    const std::string* neediest(timestamp now) const;
    bool fill_empty(std::span<const order_target> targets, timestamp now);
    const order_target* donor_for(const std::string& model, std::span<const order_target> targets, timestamp now);
    bool may_give(const order_target& target, const std::string& model, timestamp now) const;
    bool rested(const order_target& target, const std::string& model, timestamp now) const;
    std::vector<target_order> due(std::span<const order_target> targets, timestamp now);

    order_settings m_settings;
    random_source m_random;
    timestamp m_first{0};    ///< observation, 0 before it
    timestamp m_observed{0}; ///< last one
    std::map<std::string, model_state, std::less<>> m_models;
    std::map<std::string, move, std::less<>> m_moves;                  ///< by target
    std::map<std::string, timestamp, std::less<>> m_last_load;         ///< by target
    std::map<std::pair<std::string, std::string>, timestamp> m_failed; ///< by target and model
    std::optional<timestamp> m_last_start;
    std::uint64_t m_loads = 0;
};

} // namespace lagoonferry
