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

    /// Sets the result and wakes the waiting thread.
    void set_result(result value);

    /// Waits for the result. Returns nothing after `timeout`.
    std::optional<result> wait(std::chrono::milliseconds timeout);

    /// The request id that the slot controller has assigned; 0 before that.
    void set_request(std::uint64_t request) { m_request = request; }
    std::uint64_t request() const { return m_request; }

    /// Marks the slot as preempted: the dispatcher has requested its return.
    void preempt() { m_preempted = true; }
    bool preempted() const { return m_preempted; }

    /// Counts a token received on the slot. `take_tokens` returns the count since its previous call.
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
