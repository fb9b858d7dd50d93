#include "store/store_client.h"

#include "util/log.h"

#include <string>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Time for one call, besides the time that a watch may wait. The store answers in 4 ms, and in 240 ms when it is slow.
constexpr milliseconds call_limit{1'000};

/// Failed calls in a row after which the store counts as out of reach, and for how long after the last of them. The
/// list of targets is read at least each 1.3 s, so the store's return is noticed.
constexpr int failures_out_of_reach = 2;
constexpr milliseconds out_of_reach_memory{2'500};

/// Idle connections that are kept; a watch and two calls are under way at most times.
constexpr std::size_t most_idle = 3;

/// Most that an answer may have, bytes: a page holds about 1 MB, in base64 and with the other fields.
constexpr std::size_t answer_limit = 4'000'000;

} // namespace

store_client::store_client(asio::any_io_executor loop, const platform_adapter& speech, call_observer observer)
    : m_loop(std::move(loop)), m_speech(speech), m_observer(std::move(observer))
{
}

void store_client::set_address(const tcp::endpoint& address)
{
    if (address != m_address) {
        m_idle.clear();
    }
    m_address = address;
    m_host = address.address().to_string() + ":" + std::to_string(address.port());
}

std::unique_ptr<client_connection> store_client::take_idle()
{
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->is_reusable()) {
            return connection;
        }
    }
    return nullptr;
}

asio::awaitable<store_reply> store_client::call(std::string_view name, http_request request, milliseconds limit)
{
    const deadline until = deadline_after(limit);
    store_reply reply;
    reply.status = store_status::unavailable;
    request.set(http::field::host, m_host);
    request.prepare_payload();
    auto connection = take_idle();
    error_code ec;
    if (!connection) {
        connection = std::make_unique<client_connection>(m_loop);
        ec = co_await connection->connect(m_address, until);
    }
    if (!ec) {
        reply.status = store_status::unknown;
        ec = co_await connection->send(request, until);
    }
    if (!ec) {
        response_reader answer(*connection);
        std::string body;
        ec = co_await answer.read_header(until);
        if (!ec) {
            ec = co_await answer.read_remaining(body, answer_limit, until);
        }
        if (!ec) {
            reply = m_speech.read_reply(answer.status(), body);
            if (answer.allows_reuse() && m_idle.size() < most_idle) {
                m_idle.push_back(std::move(connection));
            }
        }
    }
    const bool failed = reply.status == store_status::unavailable || reply.status == store_status::unknown;
    m_failures = failed ? m_failures + 1 : 0;
    m_failed_at = failed ? loop_clock::now() : m_failed_at;
    log(log_part::platform, log_level::debug, "The store was called.", field("call", name),
        field("target", to_std(request.target())), field("status", static_cast<int>(reply.status)));
    m_observer(name, reply.status);
    co_return reply;
}

bool store_client::is_unreachable() const
{
    return m_failures >= failures_out_of_reach && loop_clock::now() - m_failed_at < out_of_reach_memory;
}

asio::awaitable<store_reply> store_client::read_all(std::string_view prefix)
{
    store_reply all = co_await call("range", m_speech.read_range(prefix, {}, false), call_limit);
    while (all.status == store_status::ok && all.found.more && !all.found.items.empty()) {
        const std::string last = all.found.items.back().key;
        store_reply page = co_await call("range", m_speech.read_range(prefix, last, false), call_limit);
        if (page.status != store_status::ok) {
            co_return page;
        }
        std::move(page.found.items.begin(), page.found.items.end(), std::back_inserter(all.found.items));
        all.found.more = page.found.more && !page.found.items.empty();
    }
    co_return all;
}

asio::awaitable<store_reply> store_client::read(std::string_view key)
{
    co_return co_await call("read", m_speech.read_key(key), call_limit);
}

asio::awaitable<store_reply> store_client::watch(std::string_view prefix, std::uint64_t after, milliseconds wait)
{
    co_return co_await call("watch", m_speech.watch(prefix, after, wait), wait + call_limit);
}

asio::awaitable<store_reply> store_client::write(std::span<const store_condition> conditions,
                                                 std::span<const store_item> items)
{
    co_return co_await call("write", m_speech.write(conditions, items), call_limit);
}

} // namespace lagoonferry
