#include "peer/bounded_thread_pool.h"

#include <algorithm>

namespace lagoonferry {

namespace {

thread_local bool g_is_overflow_task = false;

} // namespace

bounded_thread_pool::bounded_thread_pool(std::size_t max_threads, std::size_t max_queued)
    : m_max_threads(max_threads), m_max_queued(max_queued)
{
}

void bounded_thread_pool::enqueue(std::function<void()> task)
{
    std::unique_lock lock(m_mutex);
    const bool has_idle_thread = m_idle > m_tasks.size();
    if (!has_idle_thread && m_threads.size() >= m_max_threads && m_tasks.size() >= m_max_queued) {
        lock.unlock();
        g_is_overflow_task = true;
        task();
        g_is_overflow_task = false;
        return;
    }
    m_tasks.push_back(std::move(task));
    if (!has_idle_thread && m_threads.size() < m_max_threads) {
        m_threads.emplace_back([this] { work(); });
    }
    m_ready.notify_one();
}

bool bounded_thread_pool::has_queued_tasks()
{
    const std::lock_guard lock(m_mutex);
    return !m_tasks.empty();
}

bool bounded_thread_pool::is_overflow_task()
{
    return g_is_overflow_task;
}

void bounded_thread_pool::work()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++m_idle;
        m_ready.wait(lock, [this] { return m_stopping || !m_tasks.empty(); });
        --m_idle;
        if (m_tasks.empty()) {
            return;
        }
        const auto task = std::move(m_tasks.front());
        m_tasks.pop_front();
        lock.unlock();
        task();
        lock.lock();
    }
}

void bounded_thread_pool::shutdown()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_ready.notify_all();
    std::ranges::for_each(m_threads, &std::thread::join);
    m_threads.clear();
}

} // namespace lagoonferry
