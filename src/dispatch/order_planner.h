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

/// Parameters of the assignment of models to targets.
struct order_settings {
    timestamp load_interval = std::chrono::seconds(10); ///< minimum time between the starts of two model loads
    std::uint32_t loads_in_flight = 2; ///< loads that the weight store serves concurrently; bounds the reassignments
    timestamp min_residence = std::chrono::minutes(10);     ///< minimum time between two loads on one target
    timestamp min_shortage_time = std::chrono::seconds(15); ///< how long a shortage lasts before a target is reassigned
    timestamp demand_half_life = std::chrono::seconds(10);
    timestamp peak_half_life = std::chrono::seconds(120); ///< a model keeps the targets that its recent peak needs
    timestamp warm_up = std::chrono::seconds(120);      ///< no model gives up a target before this time after the start
    double shortage_threshold = 0.9;                    ///< demand per slot above which a model is short of slots
    double surplus_threshold = 0.6;                     ///< peak per remaining slot below which a model may give one up
    timestamp drain_timeout = std::chrono::seconds(60); ///< a target that still has calls then keeps its model
    timestamp load_timeout = std::chrono::minutes(5);   ///< a load without a result counts as failed then
};

/// Demand for one model. Models without demand are included.
struct model_demand {
    std::string model;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t arrivals = 0; ///< calls since the previous observation
};

/// Observed state of one target.
struct order_target {
    std::string id;
    std::string model; ///< currently loaded; empty if none
    std::uint32_t slots = 1;
    std::uint32_t in_flight = 0;
    bool live = true;
};

/// An order to one target: unload a model, then load another one. Either name can be empty.
struct target_order {
    std::string target;
    std::string unload;
    std::string load;
};

/// Assigns models to targets that hold one model each, according to the demand. A target that is to change its model
/// gets no new calls (`usable`) and receives the order once its running calls have ended. No I/O and no clock. Not
/// thread-safe.
class order_planner {
public:
    order_planner(const order_settings& settings, std::uint64_t seed) : m_settings(settings), m_random(seed) {}

    /// Records an observation and returns the orders that are due. Call it about once a second.
    std::vector<target_order> step(std::span<const model_demand> demand, std::span<const order_target> targets,
                                   timestamp now);

    /// Records the result of an order that `step` returned. Unknown targets are ignored.
    void on_order_finished(std::string_view target, bool loaded, timestamp now);

    /// Returns whether new calls may be sent to a target.
    bool usable(std::string_view target) const { return !m_moves.contains(target); }

    /// Returns the number of ordered loads that have not ended.
    std::size_t loading() const;

    /// Returns the number of loads ordered since the start.
    std::uint64_t loads() const { return m_loads; }

private:
    struct model_state {
        double demand = 0; ///< smoothed number of calls
        double peak = 0;   ///< decaying maximum of `demand`
        timestamp short_since{0};
        bool is_short = false;
        std::uint32_t slots = 0;    ///< of the targets that serve the model or are being assigned to it
        std::uint32_t targets = 0;  ///< targets that serve the model and are not being reassigned
        std::uint32_t incoming = 0; ///< targets that are being assigned to the model
    };
    struct move {
        std::string from;
        std::string to;
        timestamp since{0};
        bool ordered = false;
    };

    void observe(std::span<const model_demand> demand, timestamp now);
    void count_targets(std::span<const order_target> targets);
    void expire_moves(std::span<const order_target> targets, timestamp now);
    void plan(std::span<const order_target> targets, timestamp now);
    const std::string* most_overloaded_model(timestamp now) const;
    bool assign_empty_target(std::span<const order_target> targets, timestamp now);
    const order_target* find_donor(const std::string& model, std::span<const order_target> targets, timestamp now);
    bool can_donate(const order_target& target, const std::string& model, timestamp now) const;
    bool cooldown_over(const order_target& target, const std::string& model, timestamp now) const;
    std::vector<target_order> due(std::span<const order_target> targets, timestamp now);

    order_settings m_settings;
    random_source m_random;
    timestamp m_first_observation{0}; ///< 0 before the first observation
    timestamp m_last_observation{0};  ///< 0 before the first observation
    std::map<std::string, model_state, std::less<>> m_models;
    std::map<std::string, move, std::less<>> m_moves;                  ///< by target
    std::map<std::string, timestamp, std::less<>> m_last_load;         ///< by target
    std::map<std::pair<std::string, std::string>, timestamp> m_failed; ///< by target and model
    std::optional<timestamp> m_last_load_start;
    std::uint64_t m_loads = 0;
};

} // namespace lagoonferry
