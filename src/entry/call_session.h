#pragma once

#include "program/action.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <variant>

namespace lagoonferry {

/// Connects the thread that serves one request with the partition's controller: the controller posts work (a call to
/// an engine or tool) and, at the end, the answer. Thread-safe.
class call_session {
public:
    using item = std::variant<start_engine_call, send_tool_call, owner_reply>;

    /// Posts work or the answer.
    void post(item value);

    /// Waits for the next item. Every session ends with exactly one answer, so the wait is bounded by its deadline.
    item wait();

    /// Says that the result of the running engine call is not wanted any more.
    void cancel() { m_cancelled = true; }
    bool cancelled() const { return m_cancelled; }

private:
    std::atomic<bool> m_cancelled = false;
    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::deque<item> m_items;
};

} // namespace lagoonferry
