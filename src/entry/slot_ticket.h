#pragma once

#include "dispatch/slot_holder.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <optional>
#include <variant>

namespace lagoonferry {

/// One request for a slot, shared by the thread that waits for it and the slot controller. Thread-safe.
class slot_ticket {
public:
    using result = std::variant<granted_slot, slot_refuse>;

    /// Sets the answer and wakes the waiting thread.
    void set_result(result value);

    /// Waits for the answer, or returns nothing after `timeout`.
    std::optional<result> wait(std::chrono::milliseconds timeout);

    /// The request id that the slot controller has given; 0 before that.
    void set_request(std::uint64_t request) { m_request = request; }
    std::uint64_t request() const { return m_request; }

    /// The dispatcher asks for the slot back.
    void preempt() { m_preempted = true; }
    bool preempted() const { return m_preempted; }

    /// Tokens received on the slot so far.
    void add_token() { ++m_tokens; }
    std::uint32_t take_tokens() { return m_tokens.exchange(0); }

private:
    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::optional<result> m_result;
    std::atomic<std::uint64_t> m_request{0};
    std::atomic<bool> m_preempted{false};
    std::atomic<std::uint32_t> m_tokens{0};
};

} // namespace lagoonferry
