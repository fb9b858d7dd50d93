#pragma once

#include <httplib.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace lagoonferry {

/// A task queue for cpp-httplib that starts threads on demand, up to a limit.
/// cpp-httplib's own pool starts every thread at once, which costs memory on small instances.
class bounded_thread_pool : public httplib::TaskQueue {
public:
    bounded_thread_pool(std::size_t max_threads, std::size_t max_queued);

    /// Runs `task` on a free thread, or queues it. A task beyond the queue's limit runs in the accepting thread with
    /// `is_overflow_task` set. It must not wait, because no connection is accepted until it has finished.
    void enqueue(std::function<void()> task) override;

    /// Finishes queued tasks and joins all threads.
    void shutdown() override;

    /// Returns whether tasks wait for a thread. Thread-safe.
    bool has_queued_tasks();

    /// Returns whether the calling thread runs a task beyond the queue's limit.
    static bool is_overflow_task();

private:
    void work();

    const std::size_t m_max_threads;
    const std::size_t m_max_queued;
    std::mutex m_mutex;
    std::condition_variable m_ready;
    std::deque<std::function<void()>> m_tasks;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace lagoonferry
