#include "backends/connection_pool.h"

#include "backends/http_connection.h"

#include <algorithm>

namespace lagoonferry {

namespace {

// Below the 5 s after which common HTTP servers close an idle connection. A request that is sent while the server
// closes the connection gets no response, and an irreversible call must then report "outcome unknown".
constexpr timestamp idle_timeout = std::chrono::seconds(4);

} // namespace

void connection_pool::return_to_pool::operator()(http_connection* connection) const
{
    pool->put_back(std::unique_ptr<http_connection>(connection));
}

connection_pool::connection_pool(std::size_t max_connections) : m_max_connections(max_connections) {}

connection_pool::~connection_pool() = default;

connection_pool::handle connection_pool::take(const std::string& address)
{
    std::list<idle_connection> closed; // the sockets are closed after the lock is released
    std::unique_ptr<http_connection> connection;
    const std::lock_guard lock(m_mutex);
    closed = remove_expired(steady_now());
    const auto same_address = [&](const idle_connection& it) { return it.connection->address() == address; };
    const auto newest = std::ranges::find_if(m_idle.rbegin(), m_idle.rend(), same_address);
    if (newest != m_idle.rend()) {
        connection = std::move(newest->connection);
        m_idle.erase(std::next(newest).base());
    }
    else if (m_in_use + m_idle.size() < m_max_connections) {
        connection = std::make_unique<http_connection>(address);
    }
    else if (!m_idle.empty()) {
        closed.splice(closed.end(), m_idle, m_idle.begin());
        connection = std::make_unique<http_connection>(address);
    }
    m_in_use += connection == nullptr ? 0 : 1;
    return {connection.release(), return_to_pool{this}};
}

void connection_pool::put_back(std::unique_ptr<http_connection> connection)
{
    std::list<idle_connection> closed;
    const std::lock_guard lock(m_mutex);
    --m_in_use;
    const timestamp now = steady_now();
    closed = remove_expired(now);
    if (connection->reusable()) {
        m_idle.push_back({std::move(connection), now});
    }
}

std::list<connection_pool::idle_connection> connection_pool::remove_expired(timestamp now)
{
    std::list<idle_connection> expired;
    const auto first_unexpired =
        std::ranges::find_if(m_idle, [&](const idle_connection& it) { return now - it.since < idle_timeout; });
    expired.splice(expired.end(), m_idle, m_idle.begin(), first_unexpired);
    return expired;
}

} // namespace lagoonferry
