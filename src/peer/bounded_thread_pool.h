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
/// cpp-httplib's own pool starts all threads at once, which costs memory on small instances.
class bounded_thread_pool : public httplib::TaskQueue {
public:
    bounded_thread_pool(std::size_t max_threads, std::size_t max_queued);

    /// Runs `task` on an idle thread, or queues it. When the queue is full, `task` runs in the calling (accepting)
    /// thread and `is_overflow_task()` is true there. Such a task must not block, because no connection is accepted
    /// meanwhile.
    void enqueue(std::function<void()> task) override;

    /// Runs the queued tasks to their end and joins all threads.
    void shutdown() override;

    /// Returns whether tasks wait for a thread. Thread-safe.
    bool has_queued_tasks();

    /// Returns whether the calling thread runs a task for which the queue had no place.
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
