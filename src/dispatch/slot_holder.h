#pragma once

#include "dispatch/slot_messages.h"
#include "util/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// A message to the dispatcher of a group.
struct group_message {
    std::string group;
    slot_message message;
    std::string to; ///< id of the dispatcher; empty if none is known
};

/// A slot that this process holds.
struct granted_slot {
    std::string group;
    std::uint64_t slot = 0;
    std::uint64_t request = 0;
    std::string target;
};

/// Effect of a dispatcher's message on a waiting or running call.
struct slot_event {
    enum class kind { granted, refused, preempted };
    kind what = kind::granted;
    std::uint64_t request = 0;
    granted_slot slot;  ///< for `granted`
    slot_refuse refuse; ///< for `refused`
};

/// Observations of a finished call; see `slot_release` for the units.
struct slot_observation {
    std::uint32_t first_token_us = 0;
    std::uint32_t per_token_us = 0;
    std::uint32_t tokens = 0;
    std::uint32_t cached_tokens = 0;
    bool failed = false;
    bool preempted = false;
};

/// Holder side of the slot protocol: the slots that this process requests, holds and returns. Retransmits requests
/// until they are answered, and reports the held slots to a new dispatcher. No I/O and no clock. Not thread-safe.
///
/// In each group the holder follows one dispatcher at a time. It rejects grants of any other dispatcher and of a lower
/// epoch, so that a dispatcher that has been replaced without noticing cannot add calls to a target. It switches to the
/// next dispatcher when the current one leaves a request unanswered for 1 s, and to any dispatcher that queries it with
/// an epoch that is not lower than the accepted one.
class slot_holder {
public:
    /// Precondition: `first_request` is higher than every request id of an earlier process with the same holder id,
    /// because a dispatcher treats a repeated request id as a retransmission.
    explicit slot_holder(std::string holder, std::uint64_t first_request = 1)
        : m_holder(std::move(holder)), m_next_request(first_request)
    {
    }

    /// Requests a slot in a group. Sets `acquire_message.request` and `acquire_message.holder`. Returns the request id.
    std::uint64_t acquire(std::string_view group, slot_acquire acquire_message, timestamp now);

    /// Withdraws a request that has not been granted or refused.
    void cancel(std::uint64_t request, timestamp now);

    /// Counts a token of a running call.
    void add_token(std::uint64_t request);

    /// Returns the slot of a finished call to the dispatcher.
    void release(std::uint64_t request, const slot_observation& observation, timestamp now);

    /// Handles a message from the dispatcher `from` of a group.
    std::optional<slot_event> handle(std::string_view group, std::string_view from, const slot_message& message,
                                     timestamp now);

    /// Sets the live dispatchers of a group in the order of preference. The holder switches to the first one if that
    /// one is new at this place or if the current dispatcher is not in the list. After a switch it reports all slots
    /// that it holds in the group.
    void set_dispatchers(std::string_view group, std::vector<std::string> dispatchers);

    /// Returns the dispatcher that is followed in a group; empty if there is none.
    std::string_view dispatcher_of(std::string_view group) const;

    /// Returns the messages to send now. Call it after every change and at least every 50 ms.
    std::vector<group_message> due(timestamp now);

    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t held() const { return m_held.size(); }

private:
    struct waiting_request {
        std::string group;
        slot_acquire acquire_message;
        timestamp next_send{0};
        timestamp interval{0};
        timestamp expires{0}; ///< 0 for none
    };

    struct held_request {
        granted_slot slot;
        slot_acquire acquire_message;
        std::uint32_t tokens = 0;
    };

    struct pending_return {
        std::string group;
        slot_message message;
        timestamp next_send{0};
        std::uint32_t sent = 0;
        std::string to; ///< empty: the dispatcher that is followed
    };

    struct group_state {
        std::vector<std::string> dispatchers; ///< live dispatchers
        std::string dispatcher;               ///< the dispatcher that is followed
        std::uint64_t epoch = 0;              ///< highest accepted epoch
        bool report_due = false;
        timestamp next_progress{0};
        timestamp unanswered_since{0}; ///< first acquire sent since the dispatcher's last message, 0 for none
    };

    std::optional<slot_event> on_grant(std::string_view group, std::string_view from, const slot_grant& m,
                                       timestamp now);
    void on_query(const std::string& group, std::string_view from, const slot_query& m);
    void on_epoch(std::string_view group, std::string_view from, const slot_epoch& m);
    bool accepts(const std::string& group, std::string_view from, std::uint64_t epoch);
    void follow(const std::string& group, group_state& state, std::string_view dispatcher);
    void leave_silent_dispatchers(timestamp now);
    std::optional<slot_event> on_refuse(const slot_refuse& m);
    std::optional<slot_event> on_preempt(std::string_view group, const slot_preempt& m) const;
    void on_released(std::string_view group, const slot_released& m);
    void add_acquires(std::vector<group_message>& out, timestamp now);
    void add_returns(std::vector<group_message>& out, timestamp now);
    void add_reports(std::vector<group_message>& out, timestamp now);
    void add_slot_report(const std::string& group, const group_state& state, std::vector<group_message>& out);
    void return_unwanted(std::string_view group, std::string_view from, std::uint64_t slot, timestamp now);

    std::string m_holder;
    std::uint64_t m_next_request;
    std::uint32_t m_next_report = 1;
    std::map<std::uint64_t, waiting_request> m_waiting;
    std::map<std::uint64_t, held_request> m_held;
    std::vector<pending_return> m_returns;
    std::vector<group_message> m_replies; ///< sent once, without retransmission
    std::map<std::string, group_state, std::less<>> m_groups;
};

} // namespace lagoonferry
