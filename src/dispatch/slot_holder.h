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
class slot_holder {
public:
    explicit slot_holder(std::string holder) : m_holder(std::move(holder)) {}

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

    /// Notes who serves a group; a change is followed by a report of all slots held there.
    void set_dispatcher(std::string_view group, std::string_view dispatcher);

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
    };

    struct group_state {
        std::string dispatcher;
        std::uint64_t epoch = 0;
        bool report_due = false;
        timestamp next_progress{0};
    };

    std::optional<slot_event> on_grant(std::string_view group, const slot_grant& m, timestamp now);
    std::optional<slot_event> on_refuse(const slot_refuse& m);
    std::optional<slot_event> on_preempt(std::string_view group, const slot_preempt& m) const;
    void on_released(std::string_view group, const slot_released& m);
    void add_acquires(std::vector<group_message>& out, timestamp now);
    void add_returns(std::vector<group_message>& out, timestamp now);
    void add_reports(std::vector<group_message>& out, timestamp now);
    void add_holding(const std::string& group, std::vector<group_message>& out) const;
    void return_unwanted(std::string_view group, std::uint64_t slot, timestamp now);

    std::string m_holder;
    std::uint64_t m_next_request = 1;
    std::map<std::uint64_t, waiting_request> m_waiting;
    std::map<std::uint64_t, held_request> m_held;
    std::vector<pending_return> m_returns;
    std::map<std::string, group_state, std::less<>> m_groups;
};

} // namespace lagoonferry
