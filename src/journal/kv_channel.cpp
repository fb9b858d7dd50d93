#include "journal/kv_channel.h"

#include "util/ensure.h"

#include <algorithm>

namespace lagoonferry {

kv_channel::kv_channel(kv_outbox& outbox, const journal_settings& settings) : m_outbox(&outbox), m_settings(&settings)
{
}

void kv_channel::send(kv_call call, timestamp now)
{
    ensure(ready(now), "a key-value call is already in flight");
    m_sent = now;
    m_request = m_outbox->add(std::move(call));
}

bool kv_channel::accept(const kv_reply& reply, timestamp now)
{
    if (m_request == 0 || reply.request != m_request) {
        return false;
    }
    finish(reply.status == kv_status::unavailable || reply.status == kv_status::unknown, now);
    return true;
}

bool kv_channel::timed_out(timestamp now)
{
    if (m_request == 0 || now < m_sent + m_settings->reply_timeout) {
        return false;
    }
    finish(true, now);
    return true;
}

timestamp kv_channel::next_wake() const
{
    return m_request == 0 ? m_not_before : m_sent + m_settings->reply_timeout;
}

void kv_channel::finish(bool failed, timestamp now)
{
    m_request = 0;
    m_failures = failed ? m_failures + 1 : 0;
    if (!failed) {
        m_not_before = now;
        return;
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(m_failures - 1, 16);
    m_not_before = now + std::min(m_settings->min_retry_delay * (1U << doublings), m_settings->max_retry_delay);
}

} // namespace lagoonferry
