#pragma once

#include "util/time.h"

#include <cstddef>
#include <list>
#include <memory>
#include <mutex>
#include <string>

namespace lagoonferry {

class http_connection;

/// Kept-alive connections to any number of addresses, bounded in total. Thread-safe. The pool outlives its handles.
class connection_pool {
public:
    /// Returns a connection to its pool.
    struct return_to_pool {
        connection_pool* pool = nullptr;
        void operator()(http_connection* connection) const;
    };
    using handle = std::unique_ptr<http_connection, return_to_pool>;

    /// `max_connections` counts those in use and idle ones.
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

    void give_back(std::unique_ptr<http_connection> connection);
    std::list<idle_connection> remove_expired(timestamp now);

    const std::size_t m_max_connections;
    std::mutex m_mutex;
    std::size_t m_in_use = 0;
    std::list<idle_connection> m_idle; ///< longest idle first
};

} // namespace lagoonferry
