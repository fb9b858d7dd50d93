#include "entry/call_session.h"

namespace lagoonferry {

void call_session::post(item value)
{
    {
        const std::lock_guard lock(m_mutex);
        m_items.push_back(std::move(value));
    }
    m_ready.notify_one();
}

call_session::item call_session::wait()
{
    std::unique_lock lock(m_mutex);
    m_ready.wait(lock, [this] { return !m_items.empty(); });
    item value = std::move(m_items.front());
    m_items.pop_front();
    return value;
}

} // namespace lagoonferry
