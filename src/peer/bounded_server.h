#pragma once

#include "peer/request_stream.h"

#include <httplib.h>

#include <atomic>
#include <cstddef>

namespace lagoonferry {

class bounded_thread_pool;

/// cpp-httplib's server with limits on slow senders, on idle connections and on the number of connections.
///
/// * The connection of a request that exceeds `request_limits` is closed.
/// * An idle connection is closed earlier while accepted connections wait for a thread.
/// * When the pool and its queue are full, a new connection gets 503 `overloaded` and is closed; no request is read.
class bounded_server final : public httplib::Server {
public:
    bounded_server(std::size_t threads, std::size_t max_queued, const request_limits& limits);

private:
    bool process_and_close_socket(int socket) override;
    void serve(int socket);
    bool wait_for_request(const request_stream& stream) const;

    const request_limits m_limits;
    std::atomic<bounded_thread_pool*> m_pool = nullptr; ///< valid while connections are served; owned by the base class
};

} // namespace lagoonferry
