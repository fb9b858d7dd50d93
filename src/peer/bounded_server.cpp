#include "peer/bounded_server.h"

#include "peer/bounded_thread_pool.h"

#include <string_view>

#include <sys/socket.h>
#include <unistd.h>

namespace lagoonferry {

namespace {

// An idle connection is closed after this time. It also bounds how long a stop waits for idle connections: with 30 s, a
// planned stop took more than 20 s after its last request.
constexpr timestamp idle_timeout = std::chrono::seconds(3);

// While connections wait for a thread, an idle connection is closed after this shorter time. It is not closed at once,
// because its next request may be on its way.
constexpr timestamp contended_idle_timeout = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds idle_poll_interval{100};

constexpr std::string_view overload_response =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Type: application/json\r\n"
    "Content-Length: 113\r\n\r\n"
    R"({"error":{"code":202,"name":"overloaded","message":"too many connections","run":"not_run","retry_after_ms":1000}})";

static_assert(overload_response.size() - overload_response.find('{') == 113);

} // namespace

bounded_server::bounded_server(std::size_t threads, std::size_t max_queued, const request_limits& limits)
    : m_limits(limits)
{
    new_task_queue = [this, threads, max_queued] {
        auto* pool = new bounded_thread_pool(threads, max_queued);
        m_pool = pool;
        return pool;
    };
}

bool bounded_server::process_and_close_socket(int socket)
{
    if (bounded_thread_pool::is_overflow_task()) {
        // This runs in the accepting thread, which must not block.
        ::send(socket, overload_response.data(), overload_response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    else {
        serve(socket);
    }
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
}

void bounded_server::serve(int socket)
{
    request_stream stream(socket, m_limits);
    bool open = true;
    while (open && wait_for_request(stream)) {
        stream.begin_request();
        bool closed = false;
        open = process_request(stream, !is_running(), closed, nullptr) && !closed;
    }
}

bool bounded_server::wait_for_request(const request_stream& stream) const
{
    const timestamp idle_since = steady_now();
    while (!stream.wait_for_request(idle_poll_interval)) {
        const timestamp idle_time = steady_now() - idle_since;
        const bool yield_thread = idle_time >= contended_idle_timeout && m_pool.load()->has_queued_tasks();
        if (!is_running() || yield_thread || idle_time >= idle_timeout) {
            return false;
        }
    }
    return true;
}

} // namespace lagoonferry
