#include "journal/key_eraser.h"

namespace lagoonferry {

namespace {

// Keys beyond this number are left to the sweep after the next takeover.
constexpr std::size_t max_jobs = 1024;
constexpr std::uint32_t max_failures = 8;

} // namespace

key_eraser::key_eraser(kv_outbox& outbox, const journal_settings& settings) : m_channel(outbox, settings) {}

void key_eraser::erase(std::string key, std::uint64_t version)
{
    if (m_jobs.size() < max_jobs) {
        m_jobs.push_back({std::move(key), version, nullptr, 0});
    }
}

void key_eraser::sweep(std::string prefix, std::function<bool(const std::string&)> unused)
{
    m_jobs.push_back({std::move(prefix), 0, std::move(unused), 0});
}

void key_eraser::clear()
{
    m_jobs.clear();
}

void key_eraser::poll(timestamp now)
{
    if (m_channel.timed_out(now)) {
        count_failure();
    }
    if (m_jobs.empty() || !m_channel.ready(now)) {
        return;
    }
    const job& next = m_jobs.front();
    kv_call call{
        .request = 0, .operation = kv_operation::erase, .key = next.key, .expected = next.version, .value = {}};
    if (next.unused) {
        call.operation = kv_operation::list;
    }
    else if (next.version == 0) {
        call.operation = kv_operation::get;
    }
    m_channel.send(std::move(call), now);
}

void key_eraser::handle(const kv_reply& reply, timestamp now)
{
    if (!m_channel.accept(reply, now) || m_jobs.empty()) {
        return;
    }
    if (reply.status == kv_status::unavailable || reply.status == kv_status::unknown) {
        count_failure();
        return;
    }
    finish_job(reply);
}

void key_eraser::finish_job(const kv_reply& reply)
{
    job done = std::move(m_jobs.front());
    m_jobs.pop_front();
    if (done.unused) {
        for (const std::string& it : reply.keys) {
            if (done.unused(it)) {
                erase(it, 0);
            }
        }
        return;
    }
    if (done.version == 0 && reply.version != 0) {
        done.version = reply.version;
        m_jobs.push_front(std::move(done));
    }
}

void key_eraser::count_failure()
{
    if (!m_jobs.empty() && ++m_jobs.front().failures >= max_failures) {
        m_jobs.pop_front();
    }
}

std::optional<timestamp> key_eraser::next_wake() const
{
    if (m_jobs.empty() && !m_channel.in_flight()) {
        return std::nullopt;
    }
    return m_channel.next_wake();
}

} // namespace lagoonferry
