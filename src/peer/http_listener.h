#pragma once

#include "peer/network_address.h"
#include "peer/request_stream.h"

#include <memory>
#include <optional>
#include <thread>

namespace lagoonferry {

/// Limits of an HTTP listener.
struct http_limits {
    std::size_t threads = 64;     ///< connections served at the same time
    std::size_t max_queued = 256; ///< accepted connections that wait for a thread
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    request_limits request;
};

/// A cpp-httplib server with a bounded thread pool, a listen backlog large enough for bursts of connections, and its
/// own accept thread. Connections beyond the limits are rejected at once; see bounded_server.h.
class http_listener {
public:
    explicit http_listener(const http_limits& limits);
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    /// Stops the server.
    ~http_listener();

    /// The server, for adding routes. Precondition: `serve` has not been called.
    httplib::Server& server() { return *m_server; }

    /// Binds to `address`; port 0 selects a free port. Returns the bound address, or nothing if binding fails.
    /// Connections wait in the backlog until `serve` is called.
    std::optional<network_address> bind(const network_address& address);

    /// Starts the accept thread. Precondition: `bind` succeeded, and all routes are added.
    void serve();

    /// Calls `bind` and, if it succeeds, `serve`.
    std::optional<network_address> start(const network_address& address);

    /// Stops accepting, lets running requests finish and joins the accept thread. Does nothing when not serving.
    void stop();

private:
    std::unique_ptr<httplib::Server> m_server;
    int m_listen_fd = -1;
    std::thread m_thread;
};

} // namespace lagoonferry
