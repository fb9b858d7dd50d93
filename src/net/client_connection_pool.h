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

/// Kept connections by the start of the target at their other end. Runs on one event loop; not thread-safe.
class client_connection_pool {
public:
    explicit client_connection_pool(asio::any_io_executor loop) : m_loop(std::move(loop)) {}

    /// Returns a kept connection that is safe to use, or nothing. The most recently used comes first, so that the
    /// others can time out.
    std::unique_ptr<client_connection> take(std::string_view key);

    /// Returns a new connection that is not connected yet.
    std::unique_ptr<client_connection> make() const { return std::make_unique<client_connection>(m_loop); }

    /// Keeps a connection for the next request. `idle_timeout` is how long the other side keeps it, if it said so.
    void put(std::string_view key, std::unique_ptr<client_connection> connection,
             std::optional<std::chrono::seconds> idle_timeout);

    /// Closes connections that are too old to use, and all to targets for which `keep` is false.
    void sweep(const std::function<bool(std::string_view key)>& keep);

    std::size_t size() const;

private:
    asio::any_io_executor m_loop;
    std::map<std::string, std::vector<std::unique_ptr<client_connection>>, std::less<>> m_idle;
};

} // namespace lagoonferry
