#pragma once

#include "program/action.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <variant>

namespace lagoonferry {

/// Connects the thread that serves one request with the partition's controller: the controller posts engine and tool
/// calls for the thread to run and finally the reply. Thread-safe.
class call_session {
public:
    using item = std::variant<start_engine_call, send_tool_call, owner_reply>;

    /// Posts a call or the reply.
    void post(item value);

    /// Waits for the next item. Every session ends with exactly one reply, so the wait is bounded by its deadline.
    item wait();

    /// Cancels the running engine call, because its result is no longer needed.
    void cancel() { m_cancelled = true; }
    bool cancelled() const { return m_cancelled; }

private:
    std::atomic<bool> m_cancelled = false;
    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::deque<item> m_items;
};

} // namespace lagoonferry
