#pragma once

#include "peer/request_stream.h"

#include <httplib.h>

#include <atomic>
#include <cstddef>

namespace lagoonferry {

class bounded_thread_pool;

/// cpp-httplib's server with bounds on slow senders, idle connections and their number.
///
/// * A request must arrive within the limits of `request_limits`, or its connection is closed.
/// * An idle connection is closed early while accepted connections wait for a thread.
/// * A connection beyond the pool and its queue is answered 503 `overloaded` and closed, with no request read.
class bounded_server final : public httplib::Server {
public:
    bounded_server(std::size_t threads, std::size_t max_queued, const request_limits& limits);

private:
    bool process_and_close_socket(int socket) override;
    void serve(int socket);
    bool wait_for_request(const request_stream& stream) const;

    const request_limits m_limits;
    std::atomic<bounded_thread_pool*> m_pool = nullptr; ///< lives while connections are served
};

} // namespace lagoonferry
