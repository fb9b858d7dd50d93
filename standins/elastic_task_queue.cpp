#include "elastic_task_queue.h"

#include <algorithm>

namespace lagoonferry::standin {

elastic_task_queue::elastic_task_queue(std::size_t max_threads) : m_max_threads(max_threads) {}

void elastic_task_queue::enqueue(std::function<void()> job)
{
    const std::lock_guard lock(m_mutex);
    m_jobs.push(std::move(job));
    if (m_jobs.size() > m_idle && m_threads.size() < m_max_threads) {
        m_threads.emplace_back([this] { run(); });
    }
    m_changed.notify_one();
}

void elastic_task_queue::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    std::ranges::for_each(m_threads, &std::thread::join);
}

void elastic_task_queue::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idle;
        m_changed.wait(lock, [&] { return m_stopping || !m_jobs.empty(); });
        --m_idle;
        if (m_jobs.empty()) {
            return;
        }
        const std::function<void()> job = std::move(m_jobs.front());
        m_jobs.pop();
        lock.unlock();
        job();
        lock.lock();
    }
}

} // namespace lagoonferry::standin
