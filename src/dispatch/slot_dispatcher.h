#pragma once

#include "dispatch/account_usage.h"
#include "dispatch/class_limits.h"
#include "dispatch/dispatch_counters.h"
#include "dispatch/dispatch_settings.h"
#include "dispatch/prefix_table.h"
#include "dispatch/queue_order.h"
#include "dispatch/random_source.h"
#include "dispatch/slot_messages.h"
#include "dispatch/slot_recovery.h"
#include "dispatch/slot_table.h"
#include "dispatch/target_info.h"
#include "dispatch/target_selector.h"
#include "dispatch/target_stats.h"
#include "dispatch/waiting_queue.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace lagoonferry {

/// A message and the id of the holder that receives it.
struct outgoing_slot_message {
    std::string to;
    slot_message message;
};

/// Grants slots on one group of targets. No I/O and no clock. Not thread-safe.
///
/// Call `tick` every 50 ms to 100 ms: it frees expired slots, adapts the limits and serves waiting calls.
class slot_dispatcher {
public:
    /// Starts without state; `slot_recovery` limits the grants until the held slots are known. `epoch` is the
    /// incarnation of this dispatcher and differs on every start of the same instance; the dispatcher raises it when a
    /// holder has accepted a higher one. `seed` determines jitter and random choices.
    slot_dispatcher(const dispatch_settings& settings, std::unique_ptr<target_selector> selector,
                    std::unique_ptr<queue_order> order, std::uint64_t epoch, std::uint64_t seed, timestamp now);

    /// Adds a target or updates its state. Slots on a target that is gone are dropped.
    void set_target(const target_info& target, timestamp now);

    /// Replaces the fraction of each limit that a class and the less urgent classes together may use.
    void set_class_share(const per_class<double>& share) { m_class_limits.set_class_share(share); }

    /// Sets the weights of the accounts for the queue order; see `account_usage`.
    void set_account_weights(const std::map<std::string, double, std::less<>>& weights)
    {
        m_account_usage.set_weights(weights);
    }

    /// Sets the holders that may hold slots of the group. The dispatcher queries each of them before it grants.
    void set_holders(std::vector<std::string> holders) { m_recovery.set_holders(std::move(holders)); }

    /// Records a load report, which may be outdated. Unknown targets are ignored.
    void report_load(const load_report& report);

    /// Records a cache event, which may be outdated. Unknown targets are ignored.
    void report_cache(const cache_event& event);

    /// Handles a message of a holder and returns the messages to send. Messages that only dispatchers send are ignored.
    std::vector<outgoing_slot_message> handle(const slot_message& message, timestamp now);

    /// Performs the periodic work and returns the messages to send.
    std::vector<outgoing_slot_message> tick(timestamp now);

    dispatch_counters counters() const;

    /// Returns the statistics of all targets, for metrics and tests. Valid until the next call that changes the
    /// dispatcher.
    const std::vector<target_stats>& targets() const { return m_targets; }

private:
    using output = std::vector<outgoing_slot_message>;

    void on(const slot_acquire& m, timestamp now, output& out);
    void on(const slot_cancel& m, timestamp now, output& out);
    void on(const slot_release& m, timestamp now, output& out);
    void on(const slot_progress& m, timestamp now, output& out);
    void on(const slot_report& m, timestamp now, output& out);
    void on(const slot_epoch& m, timestamp now, output& out);
    template <class Other>
    void on(const Other& /*m*/, timestamp /*now*/, output& /*out*/)
    {
    }

    bool repeat_grant(const slot_acquire& m, output& out);
    std::optional<slot_refuse> check_admission(const slot_acquire& m, timestamp left);
    void refuse(const slot_acquire& m, const slot_refuse& reply, output& out);
    std::chrono::milliseconds retry_after(double wait_us);
    bool has_usable_target(const slot_acquire& m) const;
    double expected_wait_us(service_class c) const;
    double expected_run_us(const slot_acquire& m) const;

    void serve(timestamp now, output& out);
    per_class<bool> classes_with_headroom(timestamp now) const;
    bool fill_views(const waiting_call& call, timestamp now);
    void grant(const waiting_call& call, std::size_t index, timestamp now, output& out);
    void free_slot(slot_record& slot);
    void observe(const slot_release& m, const slot_record& slot, timestamp now);
    void observe_progress(slot_record& slot, std::uint32_t tokens, timestamp now);
    void observe_step(target_stats& target, double per_token_us, double batch, timestamp now);
    void adopt(const held_slot& held, const std::string& holder, timestamp now);
    void drop_unlisted(std::string_view holder, std::span<const std::uint64_t> listed, timestamp now);
    void query_holders(timestamp now, output& out);
    void query_unlisted_slots(timestamp now, output& out);

    void refuse_late(timestamp now, output& out);
    void refuse_without_target(output& out);
    void update_last_seen(std::string_view holder, timestamp now);
    void expire_slots(timestamp now);
    void preempt_for_urgent(timestamp now, output& out);
    slot_record* youngest_bulk();
    void request_preemption(slot_record& slot, timestamp now, output& out);

    double step_us(const target_stats& target, timestamp now) const;
    double prefill_us(const target_stats& target) const;
    void update_means();
    std::optional<std::size_t> find_target(std::string_view id) const;

    dispatch_settings m_settings;
    std::unique_ptr<target_selector> m_target_selector;
    std::unique_ptr<queue_order> m_queue_order;
    slot_recovery m_recovery;
    random_source m_random;
    std::vector<target_stats> m_targets;
    slot_table m_slots;
    waiting_queue m_queue;
    prefix_table m_prefixes;
    account_usage m_account_usage;
    class_limits m_class_limits;
    std::vector<target_view> m_views;
    std::uint64_t m_next_slot = 1;
    std::uint64_t m_next_call = 1;
    double m_mean_step_us;    ///< mean over the targets; used for targets without observations
    double m_mean_prefill_us; ///< mean over the targets; used for targets without observations
    double m_mean_hold_us = 0;
    timestamp m_next_query{0}; ///< time of the next query about slots that no report lists
    dispatch_counters m_counters;
};

} // namespace lagoonferry
