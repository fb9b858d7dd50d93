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

/// A message to a dispatcher about a group.
struct group_message {
    std::string group;
    slot_message message;
    std::string to; ///< id of the dispatcher; empty while none is known
};

/// A slot that this process holds.
struct granted_slot {
    std::string group;
    std::uint64_t slot = 0;
    std::uint64_t request = 0;
    std::string target;
};

/// What a message from a dispatcher means for a waiting or running call.
struct slot_event {
    enum class kind { granted, refused, preempted };
    kind what = kind::granted;
    std::uint64_t request = 0;
    granted_slot slot;  ///< for `granted`
    slot_refuse refuse; ///< for `refused`
};

/// What a finished call observed; see `slot_release` for the units.
struct slot_observation {
    std::uint32_t first_token_us = 0;
    std::uint32_t per_token_us = 0;
    std::uint32_t tokens = 0;
    std::uint32_t cached_tokens = 0;
    bool failed = false;
    bool preempted = false;
};

/// The holder's side of the slot protocol: which slots this process waits for, holds and returns. Retransmits until it
/// is answered, and reports what it holds to a new dispatcher. Pure decision code; not thread-safe.
///
/// In each group it follows one dispatcher at a time and accepts grants of no other and of no lower epoch, so that a
/// dispatcher that was replaced without knowing it adds no call to a target. It follows the next dispatcher when the
/// present one leaves a request unanswered for 1 s, and any dispatcher that asks with a higher epoch.
class slot_holder {
public:
    /// `first_request` is higher than every request id of an earlier process with the same id: a dispatcher takes a
    /// repeated id for a retransmission.
    explicit slot_holder(std::string holder, std::uint64_t first_request = 1)
        : m_holder(std::move(holder)), m_next_request(first_request)
    {
    }

    /// Asks for a slot in a group. `wanted.request` and `wanted.holder` are set here. Returns the request id.
    std::uint64_t acquire(std::string_view group, slot_acquire wanted, timestamp now);

    /// Withdraws a request that has not been answered.
    void cancel(std::uint64_t request, timestamp now);

    /// Counts a token of a running call.
    void add_token(std::uint64_t request);

    /// Returns the slot of a finished call.
    void release(std::uint64_t request, const slot_observation& seen, timestamp now);

    /// Handles a message from the dispatcher `from` of a group.
    std::optional<slot_event> handle(std::string_view group, std::string_view from, const slot_message& message,
                                     timestamp now);

    /// Notes the live dispatchers of a group in the order to ask them. A new first one is followed, and so is the first
    /// one when the present dispatcher is not among them; a change is followed by a report of all slots held there.
    void set_dispatchers(std::string_view group, std::vector<std::string> order);

    /// The dispatcher that is followed in a group; empty for none.
    std::string_view dispatcher_of(std::string_view group) const;

    /// Returns the messages that are due. Call it after every change and at least every 50 ms.
    std::vector<group_message> due(timestamp now);

    std::size_t waiting() const { return m_waiting.size(); }
    std::size_t held() const { return m_held.size(); }

private:
    struct waiting_request {
        std::string group;
        slot_acquire wanted;
        timestamp next_send{0};
        timestamp interval{0};
        timestamp expires{0}; ///< 0 for none
    };

    struct held_request {
        granted_slot slot;
        slot_acquire wanted;
        std::uint32_t tokens = 0;
    };

    struct pending_return {
        std::string group;
        slot_message message;
        timestamp next_send{0};
        std::uint32_t sent = 0;
        std::string to; ///< empty for the dispatcher that is followed
    };

    struct group_state {
        std::vector<std::string> order; ///< live dispatchers
        std::string dispatcher;         ///< the one that is followed
        std::uint64_t epoch = 0;        ///< highest one accepted
        bool report_due = false;
        timestamp next_progress{0};
        timestamp unanswered{0}; ///< first acquire since the last message of the dispatcher, 0 for none
    };

    std::optional<slot_event> on_grant(std::string_view group, std::string_view from, const slot_grant& m,
                                       timestamp now);
    void on_query(const std::string& group, std::string_view from, const slot_query& m);
    void on_epoch(std::string_view group, std::string_view from, const slot_epoch& m);
    bool accepts(const std::string& group, std::string_view from, std::uint64_t epoch);
    void follow(const std::string& group, group_state& state, std::string_view dispatcher);
    void leave_silent(timestamp now);
    std::optional<slot_event> on_refuse(const slot_refuse& m);
    std::optional<slot_event> on_preempt(std::string_view group, const slot_preempt& m) const;
    void on_released(std::string_view group, const slot_released& m);
    void add_acquires(std::vector<group_message>& out, timestamp now);
    void add_returns(std::vector<group_message>& out, timestamp now);
    void add_reports(std::vector<group_message>& out, timestamp now);
    void add_holding(const std::string& group, const group_state& state, std::vector<group_message>& out);
    void return_unwanted(std::string_view group, std::string_view from, std::uint64_t slot, timestamp now);

    std::string m_holder;
    std::uint64_t m_next_request;
    std::uint32_t m_next_report = 1;
    std::map<std::uint64_t, waiting_request> m_waiting;
    std::map<std::uint64_t, held_request> m_held;
    std::vector<pending_return> m_returns;
    std::vector<group_message> m_answers; ///< sent once
    std::map<std::string, group_state, std::less<>> m_groups;
};

} // namespace lagoonferry
