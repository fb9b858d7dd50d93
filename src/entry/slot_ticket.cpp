#include "entry/slot_ticket.h"

namespace lagoonferry {

void slot_ticket::set_result(result value)
{
    {
        const std::lock_guard lock(m_mutex);
        m_result = std::move(value);
    }
    m_ready.notify_all();
}

std::optional<slot_ticket::result> slot_ticket::wait(std::chrono::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    m_ready.wait_for(lock, timeout, [this] { return m_result.has_value(); });
    return m_result;
}

} // namespace lagoonferry
