#include "net/client_connection_pool.h"

#include <algorithm>
#include <numeric>

namespace lagoonferry {

namespace {

using std::chrono::milliseconds;

/// Idle time assumed when the other side does not tell its own.
constexpr milliseconds default_idle_limit{4'000};

/// Part of the idle time after which a connection is not used any more, so that a request does not cross the close.
constexpr double usable_part = 0.8;

/// Kept connections to one target. More are seldom in use at once by one gateway.
constexpr std::size_t most_for_one_target = 32;

bool expired(const client_connection& item, loop_clock::time_point now)
{
    const auto usable = std::chrono::duration_cast<milliseconds>(item.idle_timeout * usable_part);
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
    auto& kept = it->second;
    while (!kept.empty()) {
        auto connection = std::move(kept.back());
        kept.pop_back();
        if (!expired(*connection, now) && connection->is_reusable()) {
            return connection;
        }
    }
    return nullptr;
}

void client_connection_pool::put(std::string_view key, std::unique_ptr<client_connection> connection,
                                 std::optional<std::chrono::seconds> idle_timeout)
{
    auto& kept = m_idle[std::string(key)];
    if (kept.size() >= most_for_one_target || !connection->is_reusable()) {
        return;
    }
    connection->idle_since = loop_clock::now();
    connection->idle_timeout = idle_timeout ? milliseconds(*idle_timeout) : default_idle_limit;
    kept.push_back(std::move(connection));
}

void client_connection_pool::sweep(const std::function<bool(std::string_view key)>& keep)
{
    const auto now = loop_clock::now();
    for (auto& [key, kept] : m_idle) {
        if (keep(key)) {
            std::erase_if(kept, [now](const auto& item) { return expired(*item, now); });
        }
        else {
            kept.clear();
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
