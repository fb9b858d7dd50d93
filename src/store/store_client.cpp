#include "store/store_client.h"

#include "util/log.h"

#include <string>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// The store counts as unreachable after this many consecutive failed calls, and only for this period after the last of
/// them. The list of targets is read at least every 1.3 s, so a store that is back is noticed within the period.
constexpr int unreachable_after_failures = 2;
constexpr milliseconds unreachable_period{2'500};

/// Idle connections kept for reuse. Usually at most a watch and two other calls are in flight.
constexpr std::size_t max_idle_connections = 3;

/// Limit on the body of a response, in bytes. A page holds about 1 MB of values; base64 and the other fields add to it.
constexpr std::size_t max_response_bytes = 4'000'000;

} // namespace

store_client::store_client(asio::any_io_executor loop, const platform_adapter& adapter, call_observer observer)
    : m_loop(std::move(loop)), m_adapter(adapter), m_observer(std::move(observer))
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

asio::awaitable<store_reply> store_client::call(std::string_view name, http_request request, milliseconds timeout)
{
    const deadline until = deadline_after(timeout);
    const tcp::endpoint address = m_address;
    store_reply reply;
    reply.status = store_status::unavailable;
    request.set(http::field::host, m_host);
    request.prepare_payload();
    auto connection = take_idle();
    error_code ec;
    if (!connection) {
        connection = std::make_unique<client_connection>(m_loop);
        ec = co_await connection->connect(address, until);
    }
    if (!ec) {
        reply.status = store_status::unknown;
        ec = co_await connection->send(request, until);
    }
    if (!ec) {
        response_reader reader(*connection);
        std::string body;
        ec = co_await reader.read_header(until);
        if (!ec) {
            ec = co_await reader.read_remaining(body, max_response_bytes, until);
        }
        if (!ec) {
            reply = m_adapter.read_reply(reader.status(), body);
            if (reader.allows_reuse() && address == m_address && m_idle.size() < max_idle_connections) {
                m_idle.push_back(std::move(connection));
            }
        }
    }
    if (ec) {
        m_idle.clear(); // what silenced or closed this connection may have done the same to the idle ones
    }
    const bool failed = reply.status == store_status::unavailable || reply.status == store_status::unknown;
    m_consecutive_failures = failed ? m_consecutive_failures + 1 : 0;
    m_last_failure_at = failed ? loop_clock::now() : m_last_failure_at;
    log(log_part::platform, log_level::debug, "The store was called.", field("call", name),
        field("target", to_std(request.target())), field("status", static_cast<int>(reply.status)));
    m_observer(name, reply.status);
    co_return reply;
}

bool store_client::is_unreachable() const
{
    return m_consecutive_failures >= unreachable_after_failures &&
           loop_clock::now() - m_last_failure_at < unreachable_period;
}

asio::awaitable<store_reply> store_client::read_all(std::string_view prefix, bool may_be_stale)
{
    store_reply merged = co_await call("range", m_adapter.read_range(prefix, {}, may_be_stale), call_timeout);
    while (merged.status == store_status::ok && merged.found.more && !merged.found.items.empty()) {
        const std::string last = merged.found.items.back().key;
        store_reply page = co_await call("range", m_adapter.read_range(prefix, last, may_be_stale), call_timeout);
        if (page.status != store_status::ok) {
            co_return page;
        }
        std::move(page.found.items.begin(), page.found.items.end(), std::back_inserter(merged.found.items));
        merged.found.more = page.found.more && !page.found.items.empty();
    }
    co_return merged;
}

asio::awaitable<store_reply> store_client::read(std::string_view key)
{
    co_return co_await call("read", m_adapter.read_key(key), call_timeout);
}

asio::awaitable<store_reply> store_client::watch(std::string_view prefix, std::uint64_t after, milliseconds wait,
                                                 milliseconds response_timeout)
{
    co_return co_await call("watch", m_adapter.watch(prefix, after, wait), wait + response_timeout);
}

asio::awaitable<store_reply> store_client::write(std::span<const store_condition> conditions,
                                                 std::span<const store_item> items)
{
    co_return co_await call("write", m_adapter.write(conditions, items), call_timeout);
}

asio::awaitable<store_reply> store_client::open_lease(milliseconds ttl)
{
    co_return co_await call("lease", m_adapter.open_lease(ttl), call_timeout);
}

} // namespace lagoonferry
