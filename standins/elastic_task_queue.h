#pragma once

#include <httplib.h>

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

namespace lagoonferry::standin {

/// Thread pool for connection handlers that starts threads on demand, up to a limit. cpp-httplib's own pool starts all
/// its threads at once, which is too many when one process runs about thirty servers. Thread-safe.
class elastic_task_queue final : public httplib::TaskQueue {
public:
    explicit elastic_task_queue(std::size_t max_threads);

    void enqueue(std::function<void()> job) override;
    void shutdown() override;

private:
    void run();

    const std::size_t m_max_threads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::queue<std::function<void()>> m_jobs;
    std::vector<std::thread> m_threads;
    std::size_t m_idle = 0;
    bool m_stopping = false;
};

} // namespace lagoonferry::standin
