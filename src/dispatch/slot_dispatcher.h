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

/// A message and the holder it goes to.
struct outgoing_slot_message {
    std::string to;
    slot_message message;
};

/// Grants slots on one group of targets. Pure decision code: it does no I/O and reads no clock. Not thread-safe.
///
/// Call `tick` every 50 ms to 100 ms: it expires slots, adapts limits and serves calls that were held back.
class slot_dispatcher {
public:
    /// Starts with empty memory; `slot_recovery` says what is granted until the slots that are held are known. `epoch`
    /// is the incarnation of this dispatcher and differs on every start of the same instance; it rises when a holder
    /// has accepted a higher one. `seed` drives jitter and random choices.
    slot_dispatcher(const dispatch_settings& settings, std::unique_ptr<target_selector> choice,
                    std::unique_ptr<queue_order> order, std::uint64_t epoch, std::uint64_t seed, timestamp now);

    /// Adds a target or changes its state. Slots on a target that is gone are dropped.
    void set_target(const target_info& target, timestamp now);

    /// Replaces the share of each limit that a class and the classes below it may fill.
    void set_class_share(const per_class<double>& share) { m_room.set_class_share(share); }

    /// Sets the weights of accounts in the order of the queue; see `account_usage`.
    void set_account_weights(const std::map<std::string, double, std::less<>>& weights)
    {
        m_shares.set_weights(weights);
    }

    /// Sets the holders that may hold slots of the group: the dispatcher asks each of them before it grants.
    void set_holders(std::vector<std::string> holders) { m_recovery.set_holders(std::move(holders)); }

    /// Notes a late load report. Unknown targets are ignored.
    void report_load(const load_report& report);

    /// Notes a late cache event. Unknown targets are ignored.
    void report_cache(const cache_event& event);

    /// Handles a message of a holder. Messages that only dispatchers send are ignored.
    std::vector<outgoing_slot_message> handle(const slot_message& message, timestamp now);

    /// Handles the passing of time.
    std::vector<outgoing_slot_message> tick(timestamp now);

    dispatch_counters counters() const;

    /// Estimates by target, for metrics and tests. Valid until the next call that changes the dispatcher.
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
    std::optional<slot_refuse> refusal(const slot_acquire& m, timestamp left);
    void refuse(const slot_acquire& m, const slot_refuse& why, output& out);
    std::chrono::milliseconds retry_after(double wait_us);
    bool any_usable(const slot_acquire& m) const;
    double expected_wait_us(service_class c) const;
    double expected_run_us(const slot_acquire& m) const;

    void serve(timestamp now, output& out);
    per_class<bool> open_classes(timestamp now) const;
    bool fill_views(const waiting_call& call, timestamp now);
    void grant(const waiting_call& call, std::size_t index, timestamp now, output& out);
    void free_slot(slot_record& slot);
    void observe(const slot_release& m, const slot_record& slot, timestamp now);
    void observe_progress(slot_record& slot, std::uint32_t tokens, timestamp now);
    void observe_step(target_stats& target, double per_token_us, double batch, timestamp now);
    void adopt(const held_slot& held, const std::string& holder, timestamp now);
    void drop_unlisted(std::string_view holder, std::span<const std::uint64_t> listed, timestamp now);
    void ask_holders(timestamp now, output& out);
    void ask_about_unlisted(timestamp now, output& out);

    void refuse_late(timestamp now, output& out);
    void refuse_without_target(output& out);
    void note_heard(std::string_view holder, timestamp now);
    void expire_slots(timestamp now);
    void preempt_for_urgent(timestamp now, output& out);
    slot_record* youngest_bulk();
    void request_preempt(slot_record& slot, timestamp now, output& out);

    double step_us(const target_stats& target, timestamp now) const;
    double prefill_us(const target_stats& target) const;
    void update_typical();
    std::optional<std::size_t> find_target(std::string_view id) const;

    dispatch_settings m_settings;
    std::unique_ptr<target_selector> m_choice;
    std::unique_ptr<queue_order> m_order;
    slot_recovery m_recovery;
    random_source m_random;
    std::vector<target_stats> m_targets;
    slot_table m_slots;
    waiting_queue m_queue;
    prefix_table m_prefixes;
    account_usage m_shares;
    class_limits m_room;
    std::vector<target_view> m_views;
    std::uint64_t m_next_slot = 1;
    std::uint64_t m_next_call = 1;
    double m_typical_step_us;    ///< for targets without observations
    double m_typical_prefill_us; ///< for targets without observations
    double m_typical_hold_us = 0;
    timestamp m_next_ask{0}; ///< about slots that no report lists
    dispatch_counters m_counters;
};

} // namespace lagoonferry
