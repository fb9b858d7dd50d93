#include "journal/head_store.h"

#include "util/ensure.h"

#include <algorithm>

namespace lagoonferry {

namespace {

/// Bound on the attempts that are remembered for one version. Only attempts with a lost reply accumulate, at most one
/// per retry delay.
constexpr std::size_t max_attempts = 64;

} // namespace

head_store::head_store(std::uint32_t partition, std::string writer, kv_outbox& outbox, const journal_settings& settings)
    : m_partition(partition), m_writer(std::move(writer)), m_settings(&settings), m_channel(outbox, settings)
{
}

void head_store::load()
{
    m_channel.cancel();
    m_attempts.clear();
    m_step = step::load;
}

void head_store::write(head_record next)
{
    ensure(idle(), "a head write is already in flight");
    next.write_id = m_writer + "." + std::to_string(++m_last_attempt);
    std::string id = next.write_id;
    m_attempts.push_back({std::move(id), std::move(next)});
    m_step = step::write;
}

head_event head_store::poll(timestamp now)
{
    if (m_step == step::idle) {
        return head_event::none;
    }
    if (m_channel.timed_out(now)) {
        const kv_reply lost_reply{.request = 0, .status = kv_status::unknown, .value = {}, .version = 0, .keys = {}};
        return m_step == step::write ? on_write(lost_reply) : on_read(lost_reply);
    }
    if (m_channel.ready(now)) {
        send(now);
    }
    return head_event::none;
}

void head_store::send(timestamp now)
{
    if (m_step == step::write) {
        if (m_failures == 0) {
            m_write_started = now;
        }
        m_channel.send({.request = 0,
                        .operation = kv_operation::compare_and_swap,
                        .key = head_key(m_partition),
                        .expected = m_version,
                        .value = encode_head(m_attempts.back().record)},
                       now);
        return;
    }
    m_channel.send(
        {.request = 0, .operation = kv_operation::get, .key = head_key(m_partition), .expected = 0, .value = {}}, now);
}

head_event head_store::handle(const kv_reply& reply, timestamp now)
{
    if (!m_channel.accept(reply, now)) {
        return head_event::none;
    }
    return m_step == step::write ? on_write(reply) : on_read(reply);
}

head_event head_store::on_write(const kv_reply& reply)
{
    m_step = step::idle;
    if (reply.status == kv_status::ok) {
        set_record(std::move(m_attempts.back().record), reply.version);
        return head_event::committed;
    }
    if (reply.status == kv_status::unavailable) {
        ++m_failures;
        m_attempts.pop_back();
        return head_event::retry;
    }
    if (!m_settings->read_back) {
        m_version = reply.status == kv_status::conflict ? reply.version : m_version;
        m_attempts.clear();
        return head_event::retry;
    }
    // An earlier attempt of this object may have caused the conflict, so the record is read back as after a lost reply.
    m_failures += reply.status == kv_status::unknown ? 1 : 0;
    m_step = step::read_back;
    return head_event::none;
}

head_event head_store::on_read(const kv_reply& reply)
{
    if (reply.status != kv_status::ok) {
        ++m_failures;
        return head_event::none;
    }
    std::optional<head_record> current = reply.version == 0 ? head_record{} : decode_head(reply.value);
    if (!current) {
        // The record cannot be decoded, for example because its format is newer. It is not replaced but read again
        // later.
        ++m_failures;
        return head_event::none;
    }
    const bool reading_back = m_step == step::read_back;
    m_step = step::idle;
    if (reading_back) {
        return resolve(std::move(*current), reply.version);
    }
    set_record(std::move(*current), reply.version);
    return head_event::loaded;
}

head_event head_store::resolve(head_record current, std::uint64_t version)
{
    if (version == m_version) {
        if (m_attempts.size() < max_attempts) {
            return head_event::retry;
        }
        // No further attempt can be remembered. The record is read again until one of the attempts has taken effect.
        m_step = step::read_back;
        return head_event::none;
    }
    const bool is_own_write = std::ranges::find(m_attempts, current.write_id, &attempt::write_id) != m_attempts.end();
    set_record(std::move(current), version);
    return is_own_write ? head_event::committed : head_event::replaced;
}

void head_store::set_record(head_record record, std::uint64_t version)
{
    m_record = std::move(record);
    m_version = version;
    m_attempts.clear();
    m_failures = 0;
}

} // namespace lagoonferry
