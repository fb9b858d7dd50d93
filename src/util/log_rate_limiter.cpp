#include "util/log_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace lagoonferry {

bool log_rate_limiter::try_acquire(timestamp now)
{
    const double seconds = std::chrono::duration<double>(now - m_last).count();
    m_available = std::min(m_burst, m_available + std::max(0.0, seconds) * m_rate);
    m_last = now;
    if (m_available < 1) {
        ++m_dropped;
        return false;
    }
    m_available -= 1;
    return true;
}

std::size_t log_rate_limiter::take_dropped_count()
{
    return std::exchange(m_dropped, 0);
}

} // namespace lagoonferry
