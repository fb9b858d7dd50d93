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

/// Instances with holders and dispatchers, targets that run calls at a fixed speed, callers, and a network with cuts.
/// The slot protocol is the real one; membership and targets are small fakes. Not thread-safe.
class recovery_simulation {
public:
    recovery_simulation(const recovery_size& size, std::uint64_t seed);

    /// Starts ticks and callers.
    void start();

    void run_until(timestamp end);

    /// Instance whose dispatcher serves the largest group.
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
        timestamp asked{0}; ///< first time, or the time when the call lost its target or holder
        timestamp started{0};
        std::size_t holder = 0;
        std::uint32_t attempts = 0;
        std::uint64_t run = 0; ///< number of the run, so that events of an earlier one are ignored
        bool waiting = false;
        std::string group;
        std::optional<std::size_t> target; ///< while it runs
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
        std::vector<bool> seen;                     ///< dispatchers that this instance takes for alive
        bool follow_due = true;                     ///< the holder does not know the present dispatchers
        std::map<std::string, slot_dispatcher> groups;
        std::vector<std::function<void()>> postponed; ///< datagrams that wait for a paused dispatcher
    };

    struct target {
        target_info info;
        std::uint32_t domain = 0;
        bool alive = true;
        std::uint32_t held = 0;    ///< slots that holders hold
        std::uint32_t largest = 0; ///< of `held` since the fault
    };

    void add_targets(const recovery_size& size);
    void add_instances(const recovery_size& size);
    std::unique_ptr<slot_holder> make_holder(std::size_t n) const;

    void arrive();
    void ask(std::size_t c);
    void ask_later(std::size_t c, timestamp delay);
    void on_event(std::size_t holder, const slot_event& event);
    void begin(std::size_t c, const slot_event& event);
    void finish(std::size_t c, std::uint64_t run);
    void fail(std::size_t c, std::uint64_t run);
    void lose_holder_calls(std::size_t holder);
    void leave_target(call& item);
    std::uint32_t generated(const call& item) const;

    void tick_holder(std::size_t n);
    void tick_dispatcher(std::size_t n);
    void flush(std::size_t n);
    void follow(std::size_t n);
    void to_dispatcher(std::size_t holder, std::size_t dispatcher, const std::string& group,
                       const slot_message& message);
    void to_holder(std::size_t dispatcher, const std::string& group, const outgoing_slot_message& message);
    slot_dispatcher& dispatcher_of(std::size_t n, const std::string& group);
    bool lost_datagram(std::size_t holder, std::size_t dispatcher);
    timestamp delay(std::uint32_t a, std::uint32_t b) const;
    bool paused(std::size_t n) const { return m_clock.now() < m_instances[n].paused_until; }

    void restart(std::size_t n);
    void notice(std::size_t dispatcher, bool alive, timestamp after);
    void take_out_lost_targets();
    void sample();
    bool all_known() const;
    double back_after(timestamp from, double share_left) const;

    virtual_clock m_clock;
    std::uint64_t m_seed;
    random_source m_random;
    recovery_size m_size;
    std::vector<target> m_targets;
    std::unordered_map<std::string, std::size_t> m_target_index;
    std::unordered_map<std::string, std::size_t> m_holder_index;
    std::unordered_map<std::string, std::size_t> m_dispatcher_index;
    std::vector<instance> m_instances;
    std::shared_ptr<const group_map> m_map;
    std::unordered_map<std::string, std::vector<std::size_t>> m_order; ///< dispatchers of a group, first one first
    std::vector<std::string> m_listed;                                 ///< holders that the dispatchers take for alive
    std::vector<bool> m_cut;                                           ///< holders that cannot reach `m_cut_from`
    std::optional<std::size_t> m_cut_from;
    std::deque<call> m_calls;
    double m_calls_per_s = 0;
    std::map<std::string, std::size_t> m_held; ///< slots that holders hold, by group
    std::uint64_t m_running = 0;
    std::uint64_t m_starts = 0;
    double m_capacity_left = 1;
    std::vector<std::uint32_t> m_returns; ///< returning callers in steps of 100 ms since the fault
    std::optional<timestamp> m_known;
    recovery_figures m_figures;
};

} // namespace lagoonferry::bench
