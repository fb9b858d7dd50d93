#include "net/client_connection_pool.h"

#include <algorithm>
#include <numeric>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Idle timeout assumed when the other side announces none.
constexpr milliseconds default_idle_timeout{4'000};

/// Fraction of the idle timeout after which a connection counts as expired. Near the timeout the other side could
/// close the connection while a request is on its way.
constexpr double usable_fraction = 0.8;

/// Maximum number of idle connections to one target. A gateway seldom needs more of them at once.
constexpr std::size_t max_idle_per_target = 32;

bool expired(const client_connection& item, loop_clock::time_point now)
{
    const auto usable = std::chrono::duration_cast<milliseconds>(item.idle_timeout * usable_fraction);
    return now - item.idle_since >= usable;
}

} // namespace

std::unique_ptr<client_connection> client_connection_pool::take(std::string_view key)
{
    const auto it = m_idle.find(key);
    if (it == m_idle.end()) {
        return nullptr;
    }
    const auto now = loop_clock::now();
    auto& connections = it->second;
    while (!connections.empty()) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (!expired(*connection, now) && connection->is_reusable()) {
            return connection;
        }
    }
    return nullptr;
}

void client_connection_pool::put(std::string_view key, std::unique_ptr<client_connection> connection,
                                 std::optional<std::chrono::seconds> idle_timeout)
{
    auto& connections = m_idle[std::string(key)];
    if (connections.size() >= max_idle_per_target || !connection->is_reusable()) {
        return;
    }
    connection->idle_since = loop_clock::now();
    connection->idle_timeout = idle_timeout ? milliseconds(*idle_timeout) : default_idle_timeout;
    connections.push_back(std::move(connection));
}

void client_connection_pool::close_idle(std::string_view key)
{
    if (const auto it = m_idle.find(key); it != m_idle.end()) {
        m_idle.erase(it);
    }
}

void client_connection_pool::sweep(const std::function<bool(std::string_view key)>& keep)
{
    const auto now = loop_clock::now();
    for (auto& [key, connections] : m_idle) {
        if (keep(key)) {
            std::erase_if(connections, [now](const auto& item) { return expired(*item, now); });
        }
        else {
            connections.clear();
        }
    }
    std::erase_if(m_idle, [](const auto& pair) { return pair.second.empty(); });
}

std::size_t client_connection_pool::size() const
{
    return std::accumulate(m_idle.begin(), m_idle.end(), std::size_t{0},
                           [](std::size_t sum, const auto& pair) { return sum + pair.second.size(); });
}

} // namespace lagoonferry
