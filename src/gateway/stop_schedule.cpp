#include "gateway/stop_schedule.h"

#include <algorithm>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Time reserved between the end of a graceful stop and the platform's SIGKILL.
constexpr milliseconds kill_margin{500};

/// Time in which the response to a request that ended at its deadline reaches the caller.
constexpr milliseconds response_margin{200};

/// Requests of any duration are accepted in this part of the grace time.
constexpr std::int64_t open_parts = 36;
constexpr std::int64_t parts = 100;

/// The process may end after this time without requests, once callers no longer use its address.
constexpr milliseconds idle_before_exit{600};

/// Callers may use an address three times as long as its time to live of 2 s.
constexpr milliseconds address_lifetime{6'000};

} // namespace

void stop_schedule::begin(timestamp grace, timestamp now)
{
    m_began_at = now;
    m_idle_since = now;
    m_end = now + grace - kill_margin;
    m_open_until = now + grace * open_parts / parts;
}

bool stop_schedule::accepts(timestamp max_duration, timestamp now) const
{
    return !stopping() || now < m_open_until || now + max_duration <= m_end - response_margin;
}

bool stop_schedule::may_exit(std::size_t active_requests, timestamp now)
{
    m_idle_since = active_requests > 0 ? now : m_idle_since;
    return now >= m_end ||
           (now - m_began_at.value_or(now) >= address_lifetime && now - m_idle_since >= idle_before_exit);
}

} // namespace lagoonferry
