#include "journal/segment_reader.h"

#include "journal/segment_set.h"

namespace lagoonferry {

namespace {

/// The key-value service replies within milliseconds. A read that takes longer than this means that it is slow.
constexpr timestamp slow_read{std::chrono::milliseconds{500}};

} // namespace

void segment_reader::read(const std::string& key, timestamp now)
{
    m_key = key;
    m_started = now;
    m_channel.send({.request = 0, .operation = kv_operation::get, .key = key, .expected = 0, .value = {}}, now);
}

void segment_reader::handle(const kv_reply& reply, timestamp now)
{
    if (!m_channel.accept(reply, now)) {
        return;
    }
    m_result = segment_read{m_key, segment_read_status::failed, {}};
    if (reply.status != kv_status::ok) {
        return;
    }
    auto texts = reply.version == 0 ? std::nullopt : decode_segment(reply.value);
    m_result->result = texts ? segment_read_status::ok : segment_read_status::absent;
    if (texts) {
        m_result->texts = std::move(*texts);
    }
}

void segment_reader::poll(timestamp now)
{
    if (m_channel.timed_out(now)) {
        m_result = segment_read{m_key, segment_read_status::failed, {}};
    }
}

bool segment_reader::failing(timestamp now) const
{
    return m_channel.in_flight() ? now >= m_started + slow_read : !m_result && !m_channel.ready(now);
}

} // namespace lagoonferry
