#pragma once

#include "util/time.h"

#include <cstddef>
#include <list>
#include <memory>
#include <mutex>
#include <string>

namespace lagoonferry {

class http_connection;

/// Pool of keep-alive HTTP connections to any number of addresses, with a bound on their total number. Thread-safe. The
/// pool outlives its handles.
class connection_pool {
public:
    /// Deleter of a handle: returns the connection to its pool.
    struct return_to_pool {
        connection_pool* pool = nullptr;
        void operator()(http_connection* connection) const;
    };
    using handle = std::unique_ptr<http_connection, return_to_pool>;

    /// `max_connections` bounds the connections in use plus the idle ones.
    explicit connection_pool(std::size_t max_connections);
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// Returns a connection for one thread's use, or an empty handle if all connections are in use.
    handle take(const std::string& address);

private:
    struct idle_connection {
        std::unique_ptr<http_connection> connection;
        timestamp since{};
    };

    void put_back(std::unique_ptr<http_connection> connection);
    std::list<idle_connection> remove_expired(timestamp now);

    const std::size_t m_max_connections;
    std::mutex m_mutex;
    std::size_t m_in_use = 0;
    std::list<idle_connection> m_idle; ///< longest idle first
};

} // namespace lagoonferry
