#include "routing/store_outage_tracker.h"

#include <algorithm>

namespace lagoonferry {

void store_outage_tracker::note_failure(timestamp now)
{
    m_last_failure = now;
    m_failing_since = m_failing_since.value_or(now);
}

void store_outage_tracker::note_response(timestamp now)
{
    const timestamp failing = now - m_failing_since.value_or(now);
    const timestamp silence = now - m_last_response.value_or(now - m_timing.min_outage);
    const bool may_be_outage = silence >= m_timing.min_outage;
    if (m_failing_since && may_be_outage && (failing >= m_timing.min_outage || silence >= m_timing.long_silence)) {
        m_back_at = now;
    }
    if (m_last_response && may_be_outage) {
        m_silent_until = now;
    }
    m_last_response = now;
    m_failing_since.reset();
    m_last_failure.reset();
}

timestamp store_outage_tracker::left_of_grace(timestamp store_back_at, timestamp now) const
{
    return std::max(store_back_at + m_timing.lapse_grace - now, timestamp{});
}

timestamp store_outage_tracker::grace_left(timestamp now) const
{
    if (m_last_failure) {
        return now - *m_last_failure <= m_timing.store_failure_window ? m_timing.lapse_grace : timestamp{};
    }
    return m_back_at ? left_of_grace(*m_back_at, now) : timestamp{};
}

timestamp store_outage_tracker::accept_grace(timestamp claimed, timestamp now)
{
    timestamp accepted = std::clamp(claimed, timestamp{}, m_timing.lapse_grace);
    if (m_last_response && now - *m_last_response < m_timing.min_outage) {
        accepted = std::min(accepted, m_silent_until ? left_of_grace(*m_silent_until, now) : timestamp{});
    }
    if (accepted > timestamp{}) {
        const timestamp back_at = now + accepted - m_timing.lapse_grace;
        m_back_at = std::max(m_back_at.value_or(back_at), back_at);
    }
    return accepted;
}

} // namespace lagoonferry
