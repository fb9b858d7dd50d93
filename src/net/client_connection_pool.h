#pragma once

#include "net/client_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoonferry {

/// Idle connections for reuse. The key names a target and its start time, so that a restarted target gets new
/// connections. Runs on one event loop; not thread-safe.
class client_connection_pool {
public:
    explicit client_connection_pool(asio::any_io_executor loop) : m_loop(std::move(loop)) {}

    /// Returns an idle connection that is reusable, or nullptr. The most recently used one comes first, so that the
    /// others can expire.
    std::unique_ptr<client_connection> take(std::string_view key);

    /// Returns a new connection, not connected yet.
    std::unique_ptr<client_connection> make() const { return std::make_unique<client_connection>(m_loop); }

    /// Returns a connection to the pool. `idle_timeout` is the timeout that the other side announced, if any.
    /// The connection is closed if it is not reusable or if the pool is full for this key.
    void put(std::string_view key, std::unique_ptr<client_connection> connection,
             std::optional<std::chrono::seconds> idle_timeout);

    /// Closes the idle connections of a key.
    void close_idle(std::string_view key);

    /// Closes expired connections, and all connections whose key `keep` rejects.
    void sweep(const std::function<bool(std::string_view key)>& keep);

    std::size_t size() const;

private:
    asio::any_io_executor m_loop;
    std::map<std::string, std::vector<std::unique_ptr<client_connection>>, std::less<>> m_idle;
};

} // namespace lagoonferry
