#pragma once

#include "dispatch/group_map.h"
#include "dispatch/retry_policy.h"
#include "dispatch/slot_dispatcher.h"
#include "dispatch/slot_holder.h"
#include "recovery_figures.h"
#include "recovery_scenario.h"
#include "virtual_clock.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoonferry::bench {

/// Simulates instances with holders and dispatchers, targets that run calls at a fixed speed, callers, and a network
/// that can be disconnected. Holders and dispatchers run the production slot protocol; membership and targets are
/// simplified fakes. Not thread-safe.
class recovery_simulation {
public:
    recovery_simulation(const recovery_size& size, std::uint64_t seed);

    /// Starts the ticks, the callers and the sampling.
    void start();

    void run_until(timestamp end);

    /// Returns the instance whose dispatcher serves the largest group.
    std::size_t busiest_dispatcher() const;

    void kill_dispatcher(std::size_t instance);
    void pause_dispatcher(std::size_t instance, timestamp length);
    void disconnect_dispatcher(std::size_t instance, timestamp length);
    void restart_all(timestamp span);
    void lose_domain(std::uint32_t domain);

    std::uint32_t domain_of(std::size_t instance) const { return m_instances.at(instance).domain; }

    recovery_figures figures(recovery_fault fault) const;

private:
    struct call {
        service_class priority = service_class::normal;
        std::size_t model = 0;
        std::uint32_t output = 0;
        std::uint64_t prefix = 0;
        timestamp waiting_since{0}; ///< arrival, or when the call last lost its slot, target or holder
        timestamp started{0};
        std::size_t holder = 0;
        std::uint32_t attempts = 0;
        std::uint64_t run_number = 0; ///< new for each run on a target, so that events of an earlier run are ignored
        bool waiting = false;
        std::string group;
        std::optional<std::size_t> target; ///< set while the call holds a slot
        std::vector<std::string> excluded;
    };

    struct instance {
        std::string holder_id;
        std::string dispatcher_id;
        std::uint32_t domain = 0;
        bool holder_up = true;
        bool dispatcher_up = true;
        timestamp paused_until{0};
        std::uint64_t incarnation = 1;
        std::unique_ptr<slot_holder> holder;
        std::unique_ptr<retry_policy> retries;
        std::map<std::uint64_t, std::size_t> calls; ///< by request id
        std::vector<bool> presumed_alive;           ///< by dispatcher, as this instance sees it
        bool dispatchers_changed = true;            ///< the holder does not have the current list of dispatchers
        std::map<std::string, slot_dispatcher> groups;
        std::vector<std::function<void()>> deferred; ///< handlers of datagrams for a paused dispatcher
    };

    struct target {
        target_info info;
        std::uint32_t domain = 0;
        bool alive = true;
        std::uint32_t held = 0;     ///< slots held by all holders
        std::uint32_t max_held = 0; ///< largest value of `held` since the fault
    };

    void add_targets(const recovery_size& size);
    void add_instances(const recovery_size& size);
    std::unique_ptr<slot_holder> make_holder(std::size_t n) const;

    void add_arrival();
    void acquire_slot(std::size_t call_index);
    void schedule_acquire(std::size_t call_index, timestamp delay);
    void on_slot_event(std::size_t holder, const slot_event& event);
    void start_call(std::size_t call_index, const slot_event& event);
    void finish_call(std::size_t call_index, std::uint64_t run_number);
    void fail_call(std::size_t call_index, std::uint64_t run_number);
    void fail_holder_calls(std::size_t holder);
    void release_target(call& item);
    std::uint32_t generated(const call& item) const;

    void tick_holder(std::size_t n);
    void tick_dispatcher(std::size_t n);
    void send_due_messages(std::size_t n);
    void update_dispatchers(std::size_t n);
    void send_to_dispatcher(std::size_t holder, std::size_t dispatcher, const std::string& group,
                            const slot_message& message);
    void send_to_holder(std::size_t dispatcher, const std::string& group, const outgoing_slot_message& message);
    slot_dispatcher& dispatcher_of(std::size_t n, const std::string& group);
    bool is_datagram_lost(std::size_t holder, std::size_t dispatcher);
    timestamp delay(std::uint32_t a, std::uint32_t b) const;
    bool paused(std::size_t n) const { return m_clock.now() < m_instances[n].paused_until; }

    void restart(std::size_t n);
    void schedule_detection(std::size_t dispatcher, bool alive, timestamp after);
    void remove_lost_targets();
    void sample_rates();
    bool all_slots_known() const;
    double recovery_time_s(timestamp from, double remaining_capacity) const;

    virtual_clock m_clock;
    std::uint64_t m_seed;
    random_source m_random;
    recovery_size m_size;
    std::vector<target> m_targets;
    std::unordered_map<std::string, std::size_t> m_target_index;
    std::unordered_map<std::string, std::size_t> m_holder_index;
    std::unordered_map<std::string, std::size_t> m_dispatcher_index;
    std::vector<instance> m_instances;
    std::shared_ptr<const group_map> m_group_map;
    std::unordered_map<std::string, std::vector<std::size_t>>
        m_dispatchers_by_group;                ///< by group, in order of preference
    std::vector<std::string> m_listed_holders; ///< holders that dispatchers presume alive
    std::vector<bool> m_disconnected_holders;  ///< by holder: cannot reach `m_disconnected_dispatcher`
    std::optional<std::size_t> m_disconnected_dispatcher;
    std::deque<call> m_calls;
    double m_calls_per_s = 0;
    std::map<std::string, std::size_t> m_held_slots; ///< slots held by all holders, by group
    std::uint64_t m_running_calls = 0;
    std::uint64_t m_started_calls = 0;
    double m_remaining_capacity = 1;
    std::vector<std::uint32_t> m_returning_callers; ///< refused callers that retry, in steps of 100 ms since the fault
    std::optional<timestamp> m_slots_known_at;
    recovery_figures m_figures;
};

} // namespace lagoonferry::bench
