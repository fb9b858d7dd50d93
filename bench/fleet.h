#pragma once

#include "dispatch/order_planner.h"
#include "dispatch/slot_dispatcher.h"
#include "fake_engine.h"
#include "policies.h"
#include "scenario.h"
#include "virtual_clock.h"
#include "workload.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonferry::bench {

/// A load that the planner ordered.
struct model_load_record {
    timestamp at{0};
    std::string target;
};

/// Engines of a workload with their dispatchers, one group for each model, and the late reports between them.
/// Not thread-safe.
class fleet {
public:
    using deliver_callback = std::function<void(const outgoing_slot_message&)>;

    /// `to_entry` receives what dispatchers send, after the network.
    fleet(virtual_clock& clock, const workload& w, scenario s, std::uint64_t seed,
          const fake_engine::listener& on_event, deliver_callback to_entry);

    /// Makes the dispatchers and starts ticks and reports.
    void start(const policy_row& policy, const ground_truth& truth);

    /// Lets a planner order targets to change their model. Call it after `start`.
    void start_order_planner(const order_settings& settings);

    /// Loads so far, in the order of their starts.
    const std::vector<model_load_record>& model_loads() const { return m_model_loads; }
    std::size_t max_concurrent_loads() const { return m_max_concurrent_loads; }

    /// Sends a message of an entry to the dispatcher of a model, over the network.
    void send(const std::string& model, std::uint32_t entry, slot_message message);

    fake_engine& engine(const std::string& id) { return m_engines.at(m_index.at(id)); }
    const fake_engine& engine(std::string_view id) const { return m_engines.at(m_index.at(std::string(id))); }
    std::deque<fake_engine>& engines() { return m_engines; }
    const std::deque<fake_engine>& engines() const { return m_engines; }

    /// One way between an entry and an engine.
    timestamp delay(std::uint32_t entry, const fake_engine& engine) const;

    /// Histogram of the times between tokens on all engines.
    const duration_histogram& token_gaps() const { return m_token_gaps; }

    /// Sum of the counters of all dispatchers.
    dispatch_counters counters() const;

    void stop() { m_stopped = true; }

private:
    struct group {
        std::string model;
        slot_dispatcher dispatcher;
        std::uint64_t seen_grants = 0;
    };

    void tick();
    void report_loads();
    void change_slowed();
    void plan_orders();
    void carry_out(const target_order& order);
    void show_target(std::size_t engine, target_state state);
    void deliver_all(std::vector<outgoing_slot_message> messages);
    void forward_cache_event(std::size_t engine, std::uint64_t prefix, std::uint32_t tokens);
    group& group_of(const std::string& model);
    std::string domain_of(std::uint32_t entry) const;
    timestamp delay_between(const std::string& a, const std::string& b) const;

    virtual_clock& m_clock;
    const workload& m_workload;
    scenario m_scenario;
    std::uint64_t m_seed;
    random_source m_random;
    deliver_callback m_to_entry;
    std::deque<fake_engine> m_engines;
    std::unordered_map<std::string, std::size_t> m_index;
    std::deque<group> m_groups;
    duration_histogram m_token_gaps;
    std::size_t m_first_slowed = 0;
    bool m_stopped = false;
    std::unique_ptr<order_planner> m_planner; ///< null without orders
    std::vector<bool> m_loading;              ///< by engine
    std::vector<model_load_record> m_model_loads;
    std::size_t m_max_concurrent_loads = 0;
};

} // namespace lagoonferry::bench
