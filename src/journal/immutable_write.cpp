#include "journal/immutable_write.h"

namespace lagoonferry {

immutable_write::immutable_write(std::string key, std::string value, kv_outbox& outbox,
                                 const journal_settings& settings)
    : m_key(std::move(key)), m_value(std::move(value)), m_channel(outbox, settings)
{
}

void immutable_write::poll(timestamp now)
{
    if (m_version) {
        return;
    }
    m_channel.timed_out(now);
    if (m_channel.ready(now)) {
        m_channel.send(
            {.request = 0, .operation = kv_operation::compare_and_swap, .key = m_key, .expected = 0, .value = m_value},
            now);
    }
}

void immutable_write::handle(const kv_reply& reply, timestamp now)
{
    if (!m_channel.accept(reply, now)) {
        return;
    }
    // No other object writes the key, so a conflict means that an earlier attempt took effect.
    if (reply.status == kv_status::ok || reply.status == kv_status::conflict) {
        m_version = reply.version;
    }
}

} // namespace lagoonferry
