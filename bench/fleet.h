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

/// A model load that the order planner started.
struct model_load_record {
    timestamp at{0};
    std::string target;
};

/// Engines of a workload and their dispatchers, with one group per model. Load reports and cache events reach the
/// dispatchers with a delay. Not thread-safe.
class fleet {
public:
    using deliver_callback = std::function<void(const outgoing_slot_message&)>;

    /// `deliver` receives the messages of dispatchers to entries after the network delay.
    fleet(virtual_clock& clock, const workload& w, scenario s, std::uint64_t seed,
          const fake_engine::listener& on_event, deliver_callback deliver);

    /// Creates the dispatchers and starts their ticks and the load reports.
    void start(const policy_row& policy, const ground_truth& truth);

    /// Starts an order planner, which makes targets change their model as demand moves. Precondition: `start` was
    /// called.
    void start_order_planner(const order_settings& settings);

    /// Returns all model loads so far in order of their start.
    const std::vector<model_load_record>& model_loads() const { return m_model_loads; }
    std::size_t max_concurrent_loads() const { return m_max_concurrent_loads; }

    /// Sends a message from an entry to the dispatcher of a model, with the network delay.
    void send(const std::string& model, std::uint32_t entry, slot_message message);

    fake_engine& engine(const std::string& id) { return m_engines.at(m_index.at(id)); }
    const fake_engine& engine(std::string_view id) const { return m_engines.at(m_index.at(std::string(id))); }
    std::deque<fake_engine>& engines() { return m_engines; }
    const std::deque<fake_engine>& engines() const { return m_engines; }

    /// Returns the one-way network delay between an entry and an engine.
    timestamp delay(std::uint32_t entry, const fake_engine& engine) const;

    /// Returns the histogram of the times between tokens on all engines.
    const duration_histogram& token_gaps() const { return m_token_gaps; }

    /// Returns the granted and preempted calls, summed over all dispatchers.
    dispatch_counters counters() const;

    void stop() { m_stopped = true; }

private:
    struct group {
        std::string model;
        slot_dispatcher dispatcher;
        std::uint64_t last_granted = 0;
    };

    void tick();
    void report_loads();
    void update_slowed_engines();
    void plan_orders();
    void execute_order(const target_order& order);
    void publish_target(std::size_t engine, target_state state);
    void send_to_entries(std::vector<outgoing_slot_message> messages);
    void forward_cache_event(std::size_t engine, std::uint64_t prefix, std::uint32_t tokens);
    group& group_of(const std::string& model);
    std::string domain_of(std::uint32_t entry) const;
    timestamp delay_between(const std::string& a, const std::string& b) const;

    virtual_clock& m_clock;
    const workload& m_workload;
    scenario m_scenario;
    std::uint64_t m_seed;
    random_source m_random;
    deliver_callback m_deliver;
    std::deque<fake_engine> m_engines;
    std::unordered_map<std::string, std::size_t> m_index;
    std::deque<group> m_groups;
    duration_histogram m_token_gaps;
    std::size_t m_first_slowed = 0;
    bool m_stopped = false;
    std::unique_ptr<order_planner> m_planner; ///< null unless the order planner was started
    std::vector<bool> m_loading;              ///< by engine: whether it is loading a model
    std::vector<model_load_record> m_model_loads;
    std::size_t m_max_concurrent_loads = 0;
};

} // namespace lagoonferry::bench
